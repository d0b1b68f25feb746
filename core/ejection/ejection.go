package ejection

import "time"

const (
	// initialEjection is the duration of the first ejection. A restarted target only reappears in the list after seconds.
	initialEjection = 250 * time.Millisecond
	// maxEjection is the maximum duration of an ejection. Each probe costs a request one more connection.
	maxEjection = 2 * time.Second
	// probeTimeout is the time for one request to show whether a target has recovered, before another one may try.
	probeTimeout = 500 * time.Millisecond
	// lostThreshold is the number of consecutive lost responses after which a target is ejected although it accepts
	// connections. Healthy targets lose single responses, too.
	lostThreshold = 2
	// maxDoublings is the maximum number of doublings of initialEjection.
	maxDoublings = 8
)

// Change is the effect of an event on the state of a target.
type Change uint8

// The effects of events.
const (
	// ChangeNone means that the state did not change.
	ChangeNone Change = iota
	// ChangeEjected means that the target was ejected.
	ChangeEjected
	// ChangeRestored means that the target responds again.
	ChangeRestored
)

// Target tracks whether requests may be sent to one target. It is not safe for concurrent use. The zero value is a
// responsive target.
type Target struct {
	// ejections is the number of consecutive ejections, lost the number of consecutive lost responses.
	ejections    int
	lost         int
	ejectedUntil time.Time
	// probing means that ejectedUntil is the end of a probe.
	probing bool
}

// Unreachable records that the target did not accept a connection.
func (t *Target) Unreachable(now time.Time) Change {
	return t.eject(now)
}

// Lost records that the target accepted a request but did not respond.
func (t *Target) Lost(now time.Time) Change {
	if t.lost++; t.lost >= lostThreshold || t.ejections > 0 {
		return t.eject(now)
	}
	return ChangeNone
}

// eject ejects the target, each time for longer.
func (t *Target) eject(now time.Time) Change {
	if t.Ejected(now) && !t.probing {
		// Failures of concurrent requests count once.
		return ChangeNone
	}
	t.ejectedUntil = now.Add(min(maxEjection, initialEjection<<min(t.ejections, maxDoublings)))
	t.ejections++
	t.probing = false
	if t.ejections > 1 {
		return ChangeNone
	}
	return ChangeEjected
}

// Responded records a response of the target.
func (t *Target) Responded() Change {
	ejected := t.ejections > 0
	*t = Target{}
	if ejected {
		return ChangeRestored
	}
	return ChangeNone
}

// Ejected reports whether requests should be sent to other targets.
func (t *Target) Ejected(now time.Time) bool {
	return now.Before(t.ejectedUntil)
}

// Begin records that a request is sent. The first one after an ejection is a probe, and blocks others until it ends or
// probeTimeout has passed.
func (t *Target) Begin(now time.Time) {
	if t.ejections > 0 && !t.Ejected(now) {
		t.ejectedUntil = now.Add(probeTimeout)
		t.probing = true
	}
}
