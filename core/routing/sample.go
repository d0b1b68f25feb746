package routing

import (
	"time"

	"waxwingpick"
)

// Sample bounds how many targets an entry holds the load of, and how often it asks for it.
type Sample struct {
	// Total bounds the targets of all models together; zero leaves it at the bound for each model.
	Total int
	// Extra bounds the targets beyond those that are held for their cached prefixes.
	Extra int
	// PerSecond bounds the probes.
	PerSecond float64
}

// DefaultSample returns the sample of a fleet that is small enough to be known whole.
func DefaultSample() Sample {
	return Sample{
		Extra:     defaultExtraSlots,
		PerSecond: defaultProbeRate,
	}
}

// Sampled reports whether a target's load is held.
func (r *Router) Sampled(id waxwingpick.TargetID) bool {
	t, ok := r.byID[id]
	return ok && r.targets[t].slot != none
}

// SetSample changes the bounds; what is known of targets that stay in the sample is kept.
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

// trimSlots frees the idle slots beyond the subsets and the extra ones.
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
		r.uncount(s)
		s.clear()
		r.free = append(r.free, int32(i))
	}
}
