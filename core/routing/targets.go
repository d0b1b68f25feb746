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
	// affinityBuckets is the number of buckets that prefixes are spread over.
	affinityBuckets = 1024
	// affinityChoices is the number of targets that a bucket maps to, in order.
	affinityChoices = 3
	// farShare is the divisor of the subset that is kept for other availability zones.
	farShare = 3
	none     = -1
)

// groupKey names the targets that may serve the same requests.
type groupKey struct {
	model   string
	adapter string
	leg     Leg
}

// group is the targets that may serve the same requests.
type group struct {
	members []int32
	// anyRole says that the members serve whole requests for want of targets in the mixed role.
	anyRole bool
	// subset holds the targets that this entry samples.
	subset []int32
	// buckets maps each prefix bucket to its targets by rendezvous over the whole group.
	buckets [affinityBuckets][affinityChoices]int32
}

type target struct {
	info     TargetInfo
	hash     uint64
	slot     int32
	sameZone bool
}

// SetTargets replaces the list of targets; what is known of targets that stay is kept.
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

// moveSlots rewrites the target numbers of the slots and frees those of targets that are gone.
func (r *Router) moveSlots(moved []int32) {
	r.free = r.free[:0]
	for i := range r.slots {
		s := &r.slots[i]
		if s.target != none {
			s.target = moved[s.target]
		}
		if s.target == none {
			r.uncount(s)
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
		for leg := range legs {
			if !leg.takes(t.info.Role) {
				continue
			}
			k := groupKey{
				model:   t.info.Model,
				adapter: t.info.Adapter,
				leg:     leg,
			}
			members[k] = append(members[k], int32(i))
		}
	}
	fallBack := wholeByAny(members)
	r.subset = r.settings.subsetOf(distinct(members) + len(fallBack))
	r.groups = make(map[groupKey]*group, len(members)+len(fallBack))
	for _, k := range sortedKeys(members) {
		r.groups[k] = r.sharedGroup(now, k, members[k], members)
	}
	for _, k := range sortedKeys(fallBack) {
		g := r.newGroup(now, fallBack[k])
		g.anyRole = true
		r.groups[k] = g
	}
}

// sortedKeys returns the keys in a fixed order, so that equal inputs lead to equal choices.
func sortedKeys(members map[groupKey][]int32) []groupKey {
	return slices.SortedFunc(maps.Keys(members), func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter), cmp.Compare(a.leg, b.leg))
	})
}

// wholeByAny returns, for each model without targets in the mixed role, the targets that serve whole requests in
// their place: one engine is a worse choice than two, but better than none.
func wholeByAny(members map[groupKey][]int32) map[groupKey][]int32 {
	fallBack := make(map[groupKey][]int32)
	for k, m := range members {
		whole := k
		whole.leg = LegWhole
		if _, ok := members[whole]; ok {
			continue
		}
		fallBack[whole] = append(fallBack[whole], m...)
	}
	for k := range fallBack {
		slices.Sort(fallBack[k])
	}
	return fallBack
}

// distinct counts the groups that share no members with another leg of the same model.
func distinct(members map[groupKey][]int32) int {
	n := 0
	for k, m := range members {
		shared := false
		for leg := range k.leg {
			other := k
			other.leg = leg
			shared = shared || slices.Equal(m, members[other])
		}
		if !shared {
			n++
		}
	}
	return n
}

// sharedGroup returns the group that another leg of the same model has already, where its members are the same.
func (r *Router) sharedGroup(now time.Time, k groupKey, m []int32, members map[groupKey][]int32) *group {
	for leg := range legs {
		other := k
		other.leg = leg
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

// subsetOf returns the entry's own sample of the members, most of it in its own availability zone.
func (r *Router) subsetOf(members []int32) []int32 {
	if len(members) <= r.subset {
		return members
	}
	seed := xxhash.Sum64String(string(r.settings.entry))
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b int32) int {
		return cmp.Compare(mix(seed, r.targets[b].hash), mix(seed, r.targets[a].hash))
	})
	near := r.subset - r.subset/farShare
	subset := r.takeZone(make([]int32, 0, r.subset), ranked, true, near)
	subset = r.takeZone(subset, ranked, false, r.subset)
	if len(subset) < r.subset {
		subset = r.takeZone(subset, ranked, true, r.subset)
	}
	return subset
}

// takeZone appends ranked targets of the own or of other zones until the subset has the given size.
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

// rendezvous returns the members with the highest scores for the key, highest first.
func (r *Router) rendezvous(key uint64, members []int32) [affinityChoices]int32 {
	best := [affinityChoices]int32{none, none, none}
	var scores [affinityChoices]uint64
	for _, t := range members {
		score := mix(key, r.targets[t].hash)
		place := t
		for i := range best {
			if best[i] == none || score > scores[i] {
				best[i], place = place, best[i]
				scores[i], score = score, scores[i]
			}
			if place == none {
				break
			}
		}
	}
	return best
}

// mix hashes two numbers into one (the finalizer of MurmurHash3).
func mix(a, b uint64) uint64 {
	h := a*0x9e3779b97f4a7c15 ^ b
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// slotOf returns the slot of a target and takes one for it where it has none.
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

// freeSlot returns an unused slot, or the idle one that was unused for the longest time.
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
		r.uncount(&r.slots[oldest])
		r.slots[oldest].clear()
		return oldest
	}
	r.slots = append(r.slots, slot{
		target: none,
		sends:  make([]send, 0, maxSends),
	})
	return int32(len(r.slots) - 1)
}
