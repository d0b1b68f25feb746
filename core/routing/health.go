package routing

import (
	"time"

	"waxwingpick"
)

// allowed reports whether a slot's target may get requests at all.
func (r *Router) allowed(now time.Time, s *slot) bool {
	return !s.load.Leaving && !s.ejected(now)
}

// Usable reports whether new work may go to a target now, as far as this entry knows.
func (r *Router) Usable(now time.Time, id waxwingpick.TargetID) bool {
	t, ok := r.byID[id]
	if !ok || r.targets[t].info.Leaving {
		return false
	}
	return r.targets[t].slot == none || r.allowed(now, &r.slots[r.targets[t].slot])
}

// takesShare draws whether a target that returns from an ejection takes this request; its share rises with time.
func (r *Router) takesShare(now time.Time, s *slot) bool {
	if !now.Before(s.returnedBy) {
		return true
	}
	left := s.returnedBy.Sub(now).Seconds() / r.settings.returnTime.Seconds()
	return r.settings.rand.Float64() >= left
}

// failed counts a failure and ejects the target after too many in a row, unless too many are ejected already.
func (r *Router) failed(now time.Time, s *slot) {
	s.failuresInRow++
	if s.ejected(now) || !r.mayEject(now) {
		return
	}
	if returning := now.Before(s.returnedBy); !returning && s.failuresInRow < r.settings.failures {
		return
	}
	length := min(r.settings.ejection<<min(s.ejections, maxEjectionDoublings), r.settings.maxEjection)
	s.ejections++
	s.failuresInRow = 0
	s.ejectedUntil = now.Add(length)
	s.returnedBy = s.ejectedUntil.Add(r.settings.returnTime)
}

// maxEjectionDoublings bounds the shift of the ejection time.
const maxEjectionDoublings = 8

// recovered forgets earlier ejections once the target has fully returned.
func (r *Router) recovered(now time.Time, s *slot) {
	if !now.Before(s.returnedBy) {
		s.ejections = 0
	}
}

// mayEject reports whether one more ejection stays within the share of targets that may be out.
func (r *Router) mayEject(now time.Time) bool {
	held, out := 0, 0
	for i := range r.slots {
		if r.slots[i].target == none {
			continue
		}
		held++
		if r.slots[i].ejected(now) {
			out++
		}
	}
	return float64(out+1) <= max(1, float64(held)*r.settings.ejectedShare)
}

// Ejected returns the targets that are out of use for their failures.
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

// prober spreads probes over the slots within the rate.
type prober struct {
	next   int
	tokens float64
	at     time.Time
}

// Probes appends the targets to be probed now to dst; it is called several times a second.
func (r *Router) Probes(now time.Time, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
	r.refillProbes(now)
	for range r.slots {
		if r.probe.tokens < 1 {
			return dst
		}
		r.probe.next = (r.probe.next + 1) % len(r.slots)
		s := &r.slots[r.probe.next]
		if s.target == none || !r.wantsProbe(now, s) {
			continue
		}
		s.probed = now
		r.probe.tokens--
		dst = append(dst, r.targets[s.target].info.ID)
	}
	return dst
}

func (r *Router) refillProbes(now time.Time) {
	if !r.probe.at.IsZero() {
		r.probe.tokens += now.Sub(r.probe.at).Seconds() * r.settings.probeRate
	}
	r.probe.tokens = min(r.probe.tokens, r.settings.probeRate)
	r.probe.at = now
	if !r.means.seen {
		r.probe.tokens = max(1, r.probe.tokens)
	}
}

func (r *Router) wantsProbe(now time.Time, s *slot) bool {
	if now.Sub(s.probed) < r.settings.probeRefresh {
		return false
	}
	return !s.known || now.Sub(s.loadAt) >= r.settings.probeRefresh
}
