package entry

import (
	"golang.org/x/time/rate"

	"waxwingpick"
	"waxwingpick/core/callbudget"
	"waxwingpick/core/ledger"
)

// The parts of all entries' writes to the key-value service. What is not for claims is for plans and leases.
const (
	// ownedFraction is for claims by the owners of their shards, standbyFraction by those next in line.
	ownedFraction   = 0.5
	standbyFraction = 0.1
	// directFraction is for claims that an entry writes itself, and for opaque keys, in equal shares.
	directFraction = 0.2
	otherFraction  = 1 - ownedFraction - standbyFraction - directFraction
	claimBurst     = 4
)

// shareBudget gives this entry its share of the key-value budget among the entries of the list, and its shards.
func (p *Process) shareBudget(list []waxwingpick.Instance) {
	p.owners.SetEntries(stayingEntries(list))
	n := max(1, waxwingpick.CountKind(list, waxwingpick.KindEntry))
	p.budget.SetProcesses(n)
	claims, all := writeRates(n, p.owners)
	p.budget.SetRate(waxwingpick.CallSwap, all)
	p.claims.SetLimit(claims)
}

// stayingEntries returns the entries that are not leaving.
func stayingEntries(list []waxwingpick.Instance) []waxwingpick.InstanceID {
	var ids []waxwingpick.InstanceID
	for _, i := range list {
		if i.Kind == waxwingpick.KindEntry && !i.Leaving {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// writeRates returns the writes of claims a second of one of n entries, and what it may write in all; more claims wait
// and are written together.
func writeRates(n int, owners *ledger.Owners) (claims rate.Limit, all callbudget.Rate) {
	first, standby := owners.Shares()
	service := callbudget.ServiceRate(waxwingpick.CallSwap)
	equal := callbudget.Share(service, n)
	owned := (ownedFraction*float64(first) + standbyFraction*float64(standby)) / ledger.ClaimShards
	direct := equal.PerSecond * directFraction
	gathered := service.PerSecond * owned
	return rate.Limit(direct + gathered), callbudget.Rate{
		PerSecond: direct + gathered + equal.PerSecond*otherFraction,
		Burst:     max(equal.Burst, int(float64(service.Burst)*owned)),
	}
}
