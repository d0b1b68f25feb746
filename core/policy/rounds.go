package policy

import (
	"time"

	"waxwingpick"
)

const (
	// askAge is the age from which a report is refreshed for the role policy.
	askAge = 5 * time.Second
	// orderedAge is that age for engines whose configuration was changed in the last orderedFor.
	orderedAge = time.Second
	orderedFor = time.Minute
	// askRate bounds the probes a second of one service for the role policy, askBurst those at once.
	askRate  = 20.0
	askBurst = 6.0
)

// Heard tells when an engine's sidecar was last heard of and asked; zero times stand for never.
type Heard struct {
	Target waxwingpick.TargetID
	// At is when the newest report came.
	At time.Time
	// Asked is when Due last returned the target.
	Asked time.Time
	// Ordered is when the plan last gave the engine another configuration.
	Ordered time.Time
}

// due reports whether a report is to be asked for that no other part of the process has just got.
func (h Heard) due(now time.Time) bool {
	age := askAge
	if h.ordered(now) {
		age = orderedAge
	}
	return now.Sub(h.At) >= age && now.Sub(h.Asked) >= age
}

func (h Heard) ordered(now time.Time) bool {
	return !h.Ordered.IsZero() && now.Sub(h.Ordered) < orderedFor
}

// Rounds decides which engines the holder of a service's authority asks for the role policy. The policy needs every
// engine's report, but counts work from totals, so that a report may be much older than one for routing.
type Rounds struct {
	next   int
	tokens float64
	at     time.Time
}

// Due appends the targets to be asked now to dst; those whose configuration changes go first.
func (r *Rounds) Due(now time.Time, heard []Heard, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
	r.refill(now)
	for _, h := range heard {
		if r.tokens < 1 {
			return dst
		}
		if h.ordered(now) && h.due(now) {
			dst = r.take(h, dst)
		}
	}
	for range heard {
		if r.tokens < 1 {
			return dst
		}
		r.next = (r.next + 1) % len(heard)
		h := heard[r.next]
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
		r.tokens += now.Sub(r.at).Seconds() * askRate
	}
	r.tokens = min(r.tokens, askBurst)
	r.at = now
}
