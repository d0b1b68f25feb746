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
	// ClaimShards is the number of records that the claims of one second are spread over.
	ClaimShards = 16
	// ownerRanks is how many entries in a row are tried as the owner of a shard before an entry writes by itself.
	ownerRanks = 3
	// leastPause and mostPause bound how long an entry that did not take claims is passed over; each failure in a row
	// doubles it.
	leastPause = 5 * time.Second
	mostPause  = time.Minute
)

// Owners tells which entry gathers the claims of a shard, by rendezvous hash over the entries. It spares writes and
// conflicts; what holds for claims rests on compare-and-swap alone, so entries need not agree on it. It is safe for
// concurrent use.
type Owners struct {
	self waxwingpick.InstanceID

	mu      sync.Mutex
	entries []waxwingpick.InstanceID
	ranks   [ClaimShards][]waxwingpick.InstanceID
	paused  map[waxwingpick.InstanceID]pause
}

// pause is how long an entry is passed over.
type pause struct {
	until  time.Time
	length time.Duration
}

// NewOwners returns owners that name only the entry itself until others are known.
func NewOwners(self waxwingpick.InstanceID) *Owners {
	return &Owners{
		self:   self,
		paused: make(map[waxwingpick.InstanceID]pause),
	}
}

// SetEntries takes the entries that may own shards, without those that leave.
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
	maps.DeleteFunc(o.paused, func(id waxwingpick.InstanceID, _ pause) bool {
		return !slices.Contains(entries, id)
	})
}

// Owner returns the entry to hand a shard's claims to; none where this entry writes them.
func (o *Owners) Owner(now time.Time, shard int) waxwingpick.Option[waxwingpick.InstanceID] {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range o.ranks[shard] {
		if id == o.self {
			break
		}
		if now.Before(o.paused[id].until) {
			continue
		}
		return waxwingpick.Some(id)
	}
	return waxwingpick.None[waxwingpick.InstanceID]()
}

// Failed passes an entry over for a while that did not take claims or did not answer.
func (o *Owners) Failed(now time.Time, id waxwingpick.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	length := min(max(2*o.paused[id].length, leastPause), mostPause)
	o.paused[id] = pause{
		until:  now.Add(length),
		length: length,
	}
}

// Worked forgets the failures of an entry that took claims.
func (o *Owners) Worked(id waxwingpick.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.paused, id)
}

// Shares returns how many shards this entry owns, and for how many it stands in for a failed owner.
func (o *Owners) Shares() (first, standby int) {
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
