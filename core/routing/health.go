package routing

import (
	"time"

	"waxwingpick"
)

// allowed reports whether the slot's target may receive requests.
func (r *Router) allowed(now time.Time, s *slot) bool {
	return !s.load.Leaving && !s.ejected(now)
}

// Usable reports whether this entry may send new work to a target now.
func (r *Router) Usable(now time.Time, id waxwingpick.TargetID) bool {
	t, ok := r.byID[id]
	if !ok || r.targets[t].info.Leaving {
		return false
	}
	return r.targets[t].slot == none || r.allowed(now, &r.slots[r.targets[t].slot])
}

// slowStartAdmits decides at random whether a target in slow start after an ejection may receive this request. The
// probability rises linearly over the slow-start period.
func (r *Router) slowStartAdmits(now time.Time, s *slot) bool {
	if !now.Before(s.slowStartEnd) {
		return true
	}
	left := s.slowStartEnd.Sub(now).Seconds() / r.settings.slowStart.Seconds()
	return r.settings.rand.Float64() >= left
}

// recordFailure counts a failure. It ejects the target after the configured number of failures in a row, or after a
// single one during slow start, unless the maximum share of targets is ejected already.
func (r *Router) recordFailure(now time.Time, s *slot) {
	s.failuresInRow++
	if s.ejected(now) || !r.canEject(now) {
		return
	}
	if inSlowStart := now.Before(s.slowStartEnd); !inSlowStart && s.failuresInRow < r.settings.failures {
		return
	}
	length := min(r.settings.ejection<<min(s.ejections, maxEjectionDoublings), r.settings.maxEjection)
	s.ejections++
	s.failuresInRow = 0
	s.ejectedUntil = now.Add(length)
	s.slowStartEnd = s.ejectedUntil.Add(r.settings.slowStart)
}

// maxEjectionDoublings bounds the shift of the ejection time.
const maxEjectionDoublings = 8

// resetEjections clears the count of earlier ejections once slow start is over.
func (r *Router) resetEjections(now time.Time, s *slot) {
	if !now.Before(s.slowStartEnd) {
		s.ejections = 0
	}
}

// canEject reports whether one more ejection stays within the maximum share of ejected targets.
func (r *Router) canEject(now time.Time) bool {
	tracked, numEjected := 0, 0
	for i := range r.slots {
		if r.slots[i].target == none {
			continue
		}
		tracked++
		if r.slots[i].ejected(now) {
			numEjected++
		}
	}
	return float64(numEjected+1) <= max(1, float64(tracked)*r.settings.ejectedShare)
}

// Ejected returns the targets that are ejected after failures.
func (r *Router) Ejected(now time.Time) []waxwingpick.TargetID {
	var ids []waxwingpick.TargetID
	for i := range r.slots {
		s := &r.slots[i]
		if s.target != none && s.ejected(now) {
			ids = append(ids, r.targets[s.target].info.ID)
		}
	}
	return ids
}

// prober schedules probes round-robin over the slots, limited by a token bucket.
type prober struct {
	next       int
	tokens     float64
	refilledAt time.Time
}

// Probes appends the targets to probe now to dst. It is meant to be called several times a second.
func (r *Router) Probes(now time.Time, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
	r.refillProbes(now)
	for range r.slots {
		if r.probe.tokens < 1 {
			return dst
		}
		r.probe.next = (r.probe.next + 1) % len(r.slots)
		s := &r.slots[r.probe.next]
		if s.target == none || !r.needsProbe(now, s) {
			continue
		}
		s.probed = now
		r.probe.tokens--
		dst = append(dst, r.targets[s.target].info.ID)
	}
	return dst
}

func (r *Router) refillProbes(now time.Time) {
	if !r.probe.refilledAt.IsZero() {
		r.probe.tokens += now.Sub(r.probe.refilledAt).Seconds() * r.settings.probeRate
	}
	r.probe.tokens = min(r.probe.tokens, r.settings.probeRate)
	r.probe.refilledAt = now
	if !r.means.initialized {
		r.probe.tokens = max(1, r.probe.tokens)
	}
}

func (r *Router) needsProbe(now time.Time, s *slot) bool {
	if now.Sub(s.probed) < r.settings.probeRefresh {
		return false
	}
	return !s.hasLoad || now.Sub(s.loadAt) >= r.settings.probeRefresh
}
