package policy

import (
	"time"

	"waxwingpick"
)

const (
	// refreshAge is the age from which a report is refreshed for the role policy.
	refreshAge = 5 * time.Second
	// orderedRefreshAge is that age for engines whose configuration was changed within orderedPeriod.
	orderedRefreshAge = time.Second
	orderedPeriod     = time.Minute
	// probeRate is the maximum number of probes per second of one service for the role policy, probeBurst that at once.
	probeRate  = 20.0
	probeBurst = 6.0
)

// Contact holds the times of the last report from an engine's sidecar and of the last probe. A zero time means never.
type Contact struct {
	Target waxwingpick.TargetID
	// ReportedAt is when the newest report arrived.
	ReportedAt time.Time
	// ProbedAt is when Due last returned the target.
	ProbedAt time.Time
	// OrderedAt is when the plan last gave the engine another configuration.
	OrderedAt time.Time
}

// due reports whether to probe the engine. Reports that other parts of the process received count as well.
func (h Contact) due(now time.Time) bool {
	age := refreshAge
	if h.ordered(now) {
		age = orderedRefreshAge
	}
	return now.Sub(h.ReportedAt) >= age && now.Sub(h.ProbedAt) >= age
}

func (h Contact) ordered(now time.Time) bool {
	return !h.OrderedAt.IsZero() && now.Sub(h.OrderedAt) < orderedPeriod
}

// ProbeSchedule decides which engines the holder of a service's authority probes for the role policy. The policy needs
// the reports of all engines, but computes work from totals, so that a report may be much older than one for routing.
type ProbeSchedule struct {
	next   int
	tokens float64
	at     time.Time
}

// Due appends the targets to probe now to dst, those with a recent change of configuration first.
func (r *ProbeSchedule) Due(now time.Time, contacts []Contact, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
	r.refill(now)
	for _, h := range contacts {
		if r.tokens < 1 {
			return dst
		}
		if h.ordered(now) && h.due(now) {
			dst = r.take(h, dst)
		}
	}
	for range contacts {
		if r.tokens < 1 {
			return dst
		}
		r.next = (r.next + 1) % len(contacts)
		h := contacts[r.next]
		if !h.ordered(now) && h.due(now) {
			dst = r.take(h, dst)
		}
	}
	return dst
}

func (r *ProbeSchedule) take(h Contact, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
	r.tokens--
	return append(dst, h.Target)
}

func (r *ProbeSchedule) refill(now time.Time) {
	if !r.at.IsZero() {
		r.tokens += now.Sub(r.at).Seconds() * probeRate
	}
	r.tokens = min(r.tokens, probeBurst)
	r.at = now
}
