package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// affinityBuckets is the number of buckets to which prefixes are hashed.
	affinityBuckets = 1024
	// affinityChoices is the number of targets per bucket, in order of preference.
	affinityChoices = 3
	// otherZonesDivisor is the divisor of the subset size that gives the part reserved for other availability zones.
	otherZonesDivisor = 3
	none              = -1
)

// groupKey identifies the targets that can serve the same requests.
type groupKey struct {
	model   string
	adapter string
	stage   Stage
}

// group holds the targets that can serve the same requests.
type group struct {
	members []int32
	// anyRole is set when targets of other roles run both stages because no target is in the mixed role.
	anyRole bool
	// subset holds the members whose load this entry tracks.
	subset []int32
	// buckets maps each prefix bucket to its targets by rendezvous hashing over all members.
	buckets [affinityBuckets][affinityChoices]int32
}

type target struct {
	info     TargetInfo
	hash     uint64
	slot     int32
	sameZone bool
}

// SetTargets replaces the list of targets. The state of targets that stay in the list is kept.
func (r *Router) SetTargets(now time.Time, infos []TargetInfo) {
	if r.unchanged(infos) {
		return
	}
	old := r.targets
	moved := make([]int32, len(old))
	for i := range moved {
		moved[i] = none
	}
	r.targets = make([]target, len(infos))
	byID := make(map[waxwingpick.TargetID]int32, len(infos))
	for i, info := range infos {
		t := target{
			info:     info,
			hash:     xxhash.Sum64String(string(info.ID)),
			slot:     none,
			sameZone: info.Zone == r.settings.zone,
		}
		if before, ok := r.byID[info.ID]; ok {
			t.slot = old[before].slot
			moved[before] = int32(i)
		}
		r.targets[i] = t
		byID[info.ID] = int32(i)
	}
	r.byID = byID
	r.moveSlots(moved)
	r.hints.move(moved)
	r.buildGroups(now)
}

func (r *Router) unchanged(infos []TargetInfo) bool {
	return len(infos) == len(r.targets) && slices.EqualFunc(infos, r.targets, func(a TargetInfo, b target) bool {
		return a == b.info
	})
}

// moveSlots applies new target indices to the slots and frees the slots of removed targets.
func (r *Router) moveSlots(moved []int32) {
	r.free = r.free[:0]
	for i := range r.slots {
		s := &r.slots[i]
		if s.target != none {
			s.target = moved[s.target]
		}
		if s.target == none {
			r.removeFromTotal(s)
			s.clear()
			r.free = append(r.free, int32(i))
		}
		s.pinned = false
	}
}

func (r *Router) buildGroups(now time.Time) {
	members := make(map[groupKey][]int32)
	for i := range r.targets {
		t := &r.targets[i]
		if t.info.Leaving {
			continue
		}
		for stage := range stages {
			if !stage.takes(t.info.Role) {
				continue
			}
			k := groupKey{
				model:   t.info.Model,
				adapter: t.info.Adapter,
				stage:   stage,
			}
			members[k] = append(members[k], int32(i))
		}
	}
	fallback := fallbackGroups(members)
	r.subset = r.settings.subsetOf(distinct(members) + len(fallback))
	r.groups = make(map[groupKey]*group, len(members)+len(fallback))
	for _, k := range sortedKeys(members) {
		r.groups[k] = r.sharedGroup(now, k, members[k], members)
	}
	for _, k := range sortedKeys(fallback) {
		g := r.newGroup(now, fallback[k])
		g.anyRole = true
		r.groups[k] = g
	}
}

// sortedKeys returns the keys in a fixed order, so that equal inputs lead to equal choices.
func sortedKeys(members map[groupKey][]int32) []groupKey {
	return slices.SortedFunc(maps.Keys(members), func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter), cmp.Compare(a.stage, b.stage))
	})
}

// fallbackGroups returns, for each model without targets in the mixed role, the targets that run both stages instead.
// Running both on one such engine is worse than using two engines, but better than failing.
func fallbackGroups(members map[groupKey][]int32) map[groupKey][]int32 {
	fallback := make(map[groupKey][]int32)
	for k, m := range members {
		both := k
		both.stage = StageFull
		if _, ok := members[both]; ok {
			continue
		}
		fallback[both] = append(fallback[both], m...)
	}
	for k := range fallback {
		slices.Sort(fallback[k])
	}
	return fallback
}

// distinct counts the groups, counting stages of a model with the same members once.
func distinct(members map[groupKey][]int32) int {
	n := 0
	for k, m := range members {
		shared := false
		for stage := range k.stage {
			other := k
			other.stage = stage
			shared = shared || slices.Equal(m, members[other])
		}
		if !shared {
			n++
		}
	}
	return n
}

// sharedGroup returns the existing group of another stage of the same model if it has the same members, and a new
// group otherwise.
func (r *Router) sharedGroup(now time.Time, k groupKey, m []int32, members map[groupKey][]int32) *group {
	for stage := range stages {
		other := k
		other.stage = stage
		if g, ok := r.groups[other]; ok && slices.Equal(m, members[other]) {
			return g
		}
	}
	return r.newGroup(now, m)
}

func (r *Router) newGroup(now time.Time, members []int32) *group {
	g := &group{
		members: members,
		subset:  r.subsetOf(members),
	}
	for _, t := range g.subset {
		r.slots[r.slotOf(now, t)].pinned = true
	}
	for b := range g.buckets {
		g.buckets[b] = r.rendezvous(uint64(b), members)
	}
	return g
}

// subsetOf returns this entry's subset of the members, most of it in the entry's availability zone.
func (r *Router) subsetOf(members []int32) []int32 {
	if len(members) <= r.subset {
		return members
	}
	seed := xxhash.Sum64String(string(r.settings.entry))
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b int32) int {
		return cmp.Compare(mix(seed, r.targets[b].hash), mix(seed, r.targets[a].hash))
	})
	sameZoneSize := r.subset - r.subset/otherZonesDivisor
	subset := r.takeZone(make([]int32, 0, r.subset), ranked, true, sameZoneSize)
	subset = r.takeZone(subset, ranked, false, r.subset)
	if len(subset) < r.subset {
		subset = r.takeZone(subset, ranked, true, r.subset)
	}
	return subset
}

// takeZone appends ranked targets, of the entry's availability zone if sameZone is set and of the others if not, until
// the subset has the given size.
func (r *Router) takeZone(subset, ranked []int32, sameZone bool, size int) []int32 {
	for _, t := range ranked {
		if len(subset) >= size {
			break
		}
		if r.targets[t].sameZone == sameZone && !slices.Contains(subset, t) {
			subset = append(subset, t)
		}
	}
	return subset
}

// rendezvous returns the members with the highest rendezvous hashes for the key, highest first.
func (r *Router) rendezvous(key uint64, members []int32) [affinityChoices]int32 {
	best := [affinityChoices]int32{none, none, none}
	var scores [affinityChoices]uint64
	for _, t := range members {
		score := mix(key, r.targets[t].hash)
		candidate := t
		for i := range best {
			if best[i] == none || score > scores[i] {
				best[i], candidate = candidate, best[i]
				scores[i], score = score, scores[i]
			}
			if candidate == none {
				break
			}
		}
	}
	return best
}

// mix hashes two numbers into one with the finalizer of MurmurHash3.
func mix(a, b uint64) uint64 {
	h := a*0x9e3779b97f4a7c15 ^ b
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// slotOf returns the slot of a target and allocates one if it has none.
func (r *Router) slotOf(now time.Time, t int32) int32 {
	if s := r.targets[t].slot; s != none {
		return s
	}
	s := r.freeSlot(now)
	r.slots[s].target = t
	r.slots[s].used = now
	r.targets[t].slot = s
	return s
}

// freeSlot returns a free slot. Without one it reuses the least recently used idle slot if the number of extra slots
// is reached, and adds a slot otherwise.
func (r *Router) freeSlot(now time.Time) int32 {
	if n := len(r.free); n > 0 {
		s := r.free[n-1]
		r.free = r.free[:n-1]
		return s
	}
	extra := 0
	oldest := int32(none)
	for i := range r.slots {
		s := &r.slots[i]
		if s.pinned {
			continue
		}
		extra++
		if s.idle(now) && (oldest == none || s.used.Before(r.slots[oldest].used)) {
			oldest = int32(i)
		}
	}
	if extra >= r.settings.extraSlots && oldest != none {
		r.targets[r.slots[oldest].target].slot = none
		r.removeFromTotal(&r.slots[oldest])
		r.slots[oldest].clear()
		return oldest
	}
	r.slots = append(r.slots, slot{
		target: none,
		sends:  make([]send, 0, maxSends),
	})
	return int32(len(r.slots) - 1)
}
