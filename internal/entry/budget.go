package entry

import (
	"golang.org/x/time/rate"

	"waxwingpick"
	"waxwingpick/core/callbudget"
	"waxwingpick/core/ledger"
)

// Fractions of the key-value write budget of all entries. The rest is for plans and leases.
const (
	// ownedFraction is for claims written by the owners of their shards, standbyFraction for those by the standby owners.
	ownedFraction   = 0.5
	standbyFraction = 0.1
	// directFraction is for claims that entries write without the owner, and for opaque keys. Entries share it equally.
	directFraction = 0.2
	otherFraction  = 1 - ownedFraction - standbyFraction - directFraction
	claimBurst     = 4
)

// updateBudgetShare sets this entry's share of the key-value budget and its claim shards from the instance list.
func (p *Process) updateBudgetShare(list []waxwingpick.Instance) {
	p.owners.SetEntries(activeEntries(list))
	n := max(1, waxwingpick.CountKind(list, waxwingpick.KindEntry))
	p.budget.SetProcesses(n)
	claims, all := writeRates(n, p.owners)
	p.budget.SetRate(waxwingpick.CallSwap, all)
	p.claims.SetLimit(claims)
}

// activeEntries returns the entries of the list that are not leaving.
func activeEntries(list []waxwingpick.Instance) []waxwingpick.InstanceID {
	var ids []waxwingpick.InstanceID
	for _, i := range list {
		if i.Kind == waxwingpick.KindEntry && !i.Leaving {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// writeRates returns the claim writes per second of one of n entries, and its rate for all writes. Claims above the rate
// wait and are written in batches.
func writeRates(n int, owners *ledger.Owners) (claims rate.Limit, all callbudget.Rate) {
	first, standby := owners.ShardCounts()
	service := callbudget.ServiceRate(waxwingpick.CallSwap)
	equal := callbudget.Share(service, n)
	owned := (ownedFraction*float64(first) + standbyFraction*float64(standby)) / ledger.ClaimShards
	direct := equal.PerSecond * directFraction
	sharded := service.PerSecond * owned
	return rate.Limit(direct + sharded), callbudget.Rate{
		PerSecond: direct + sharded + equal.PerSecond*otherFraction,
		Burst:     max(equal.Burst, int(float64(service.Burst)*owned)),
	}
}
