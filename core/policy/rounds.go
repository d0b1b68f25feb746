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

// Heard holds the times of the last report from an engine's sidecar and of the last probe. A zero time means never.
type Heard struct {
	Target waxwingpick.TargetID
	// At is when the newest report arrived.
	At time.Time
	// Asked is when Due last returned the target.
	Asked time.Time
	// Ordered is when the plan last gave the engine another configuration.
	Ordered time.Time
}

// due reports whether to probe the engine. Reports that other parts of the process received count as well.
func (h Heard) due(now time.Time) bool {
	age := refreshAge
	if h.ordered(now) {
		age = orderedRefreshAge
	}
	return now.Sub(h.At) >= age && now.Sub(h.Asked) >= age
}

func (h Heard) ordered(now time.Time) bool {
	return !h.Ordered.IsZero() && now.Sub(h.Ordered) < orderedPeriod
}

// Rounds decides which engines the holder of a service's authority probes for the role policy. The policy needs the
// reports of all engines, but computes work from totals, so that a report may be much older than one for routing.
type Rounds struct {
	next   int
	tokens float64
	at     time.Time
}

// Due appends the targets to probe now to dst, those with a recent change of configuration first.
func (r *Rounds) Due(now time.Time, contacts []Heard, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
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

func (r *Rounds) take(h Heard, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
	r.tokens--
	return append(dst, h.Target)
}

func (r *Rounds) refill(now time.Time) {
	if !r.at.IsZero() {
		r.tokens += now.Sub(r.at).Seconds() * probeRate
	}
	r.tokens = min(r.tokens, probeBurst)
	r.at = now
}
