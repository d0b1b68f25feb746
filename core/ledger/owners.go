package ledger

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"waxwingpick"
	"waxwingpick/core/plan"
)

const (
	// ClaimShards is the number of records over which the claims of one second are spread.
	ClaimShards = 16
	// ownerRanks is the number of ranked entries tried as the owner of a shard before an entry writes claims directly.
	ownerRanks = 3
	// minBackoff and maxBackoff bound the time for which an entry that did not accept claims is skipped. Each consecutive
	// failure doubles it.
	minBackoff = 5 * time.Second
	maxBackoff = time.Minute
)

// Owners selects the entry that commits the claims of a shard, by rendezvous hashing over the entries. This saves writes
// and conflicts. Correctness relies on compare-and-swap alone, so entries need not agree on the owner. It is safe for
// concurrent use.
type Owners struct {
	self waxwingpick.InstanceID

	mu       sync.Mutex
	entries  []waxwingpick.InstanceID
	ranks    [ClaimShards][]waxwingpick.InstanceID
	backoffs map[waxwingpick.InstanceID]backoff
}

// backoff is the time for which an entry is skipped.
type backoff struct {
	until  time.Time
	length time.Duration
}

// NewOwners returns owners with self as the only entry until SetEntries is called.
func NewOwners(self waxwingpick.InstanceID) *Owners {
	return &Owners{
		self:     self,
		backoffs: make(map[waxwingpick.InstanceID]backoff),
	}
}

// SetEntries sets the entries that may own shards, without those that are draining.
func (o *Owners) SetEntries(entries []waxwingpick.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Equal(entries, o.entries) {
		return
	}
	o.entries = slices.Clone(entries)
	for shard := range o.ranks {
		ranked := plan.Rank(fmt.Sprintf("%s%02d", issuedPrefix, shard), entries)
		o.ranks[shard] = ranked[:min(ownerRanks, len(ranked))]
	}
	maps.DeleteFunc(o.backoffs, func(id waxwingpick.InstanceID, _ backoff) bool {
		return !slices.Contains(entries, id)
	})
}

// Owner returns the entry to forward a shard's claims to, none if this entry writes them.
func (o *Owners) Owner(now time.Time, shard int) waxwingpick.Option[waxwingpick.InstanceID] {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range o.ranks[shard] {
		if id == o.self {
			break
		}
		if now.Before(o.backoffs[id].until) {
			continue
		}
		return waxwingpick.Some(id)
	}
	return waxwingpick.None[waxwingpick.InstanceID]()
}

// Failed skips an entry for some time after it did not accept claims or did not respond.
func (o *Owners) Failed(now time.Time, id waxwingpick.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	length := min(max(2*o.backoffs[id].length, minBackoff), maxBackoff)
	o.backoffs[id] = backoff{
		until:  now.Add(length),
		length: length,
	}
}

// Succeeded clears the failures of an entry that accepted claims.
func (o *Owners) Succeeded(id waxwingpick.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.backoffs, id)
}

// ShardCounts returns the number of shards that this entry owns, and of those that it owns if their first owner fails.
func (o *Owners) ShardCounts() (first, standby int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, rank := range o.ranks {
		switch slices.Index(rank, o.self) {
		case 0:
			first++
		case 1:
			standby++
		}
	}
	return first, standby
}
