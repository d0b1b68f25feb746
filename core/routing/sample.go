package routing

import (
	"time"

	"waxwingpick"
)

// Sample bounds the number of targets whose load an entry tracks, and the rate at which it probes them.
type Sample struct {
	// Total bounds the number of targets over all models. Zero means that only the bound for each model applies.
	Total int
	// Extra bounds the targets outside the subsets that are tracked for their cached prefixes.
	Extra int
	// PerSecond is the maximum number of probes per second.
	PerSecond float64
}

// DefaultSample returns the sample for a fleet that is small enough to be tracked completely.
func DefaultSample() Sample {
	return Sample{
		Extra:     defaultExtraSlots,
		PerSecond: defaultProbeRate,
	}
}

// Sampled reports whether a target's load is tracked.
func (r *Router) Sampled(id waxwingpick.TargetID) bool {
	t, ok := r.byID[id]
	return ok && r.targets[t].slot != none
}

// SetSample changes the bounds. The state of targets that stay in the sample is kept.
func (r *Router) SetSample(now time.Time, s Sample) {
	r.settings.extraSlots = s.Extra
	r.settings.probeRate = s.PerSecond
	if r.settings.total == s.Total {
		return
	}
	r.settings.total = s.Total
	for i := range r.slots {
		r.slots[i].pinned = false
	}
	r.buildGroups(now)
	r.trimSlots(now)
}

// trimSlots frees idle slots outside the subsets that exceed the number of extra slots.
func (r *Router) trimSlots(now time.Time) {
	extra := 0
	for i := range r.slots {
		s := &r.slots[i]
		if s.target == none || s.pinned {
			continue
		}
		extra++
		if extra <= r.settings.extraSlots || !s.idle(now) {
			continue
		}
		r.targets[s.target].slot = none
		r.removeFromTotal(s)
		s.clear()
		r.free = append(r.free, int32(i))
	}
}
