package outage

import "time"

// DefaultThreshold is the default number of consecutive failed calls that make an outage. A single lost response or a
// restart of the dependency is below it.
const DefaultThreshold = 3

// Transition is a change of the state of a dependency.
type Transition struct {
	// Lost means that the dependency was lost; otherwise it recovered.
	Lost bool
	// Lasted is the time since the first failed call.
	Lasted time.Duration
	// Failures is the number of consecutive failed calls.
	Failures int
	// Err is the last failure if the dependency was lost, and nil if it recovered.
	Err error
}

// Tracker tracks the calls to one dependency. It is not safe for concurrent use.
type Tracker struct {
	threshold    int
	failures     int
	firstFailure time.Time
	err          error
}

// NewTracker returns a Tracker that reports an outage after the given number of consecutive failed calls.
func NewTracker(threshold int) *Tracker {
	return &Tracker{
		threshold: threshold,
	}
}

// Lost reports whether the dependency is lost.
func (t *Tracker) Lost() bool {
	return t.failures >= t.threshold
}

// Observe records the result of a call, and returns a Transition and true if the state changes. A nil error means
// success.
func (t *Tracker) Observe(now time.Time, err error) (Transition, bool) {
	if err == nil {
		return t.succeeded(now)
	}
	if t.failures == 0 {
		t.firstFailure = now
	}
	t.failures++
	t.err = err
	return t.transition(now, true), t.failures == t.threshold
}

func (t *Tracker) succeeded(now time.Time) (Transition, bool) {
	lost := t.Lost()
	t.err = nil
	transition := t.transition(now, false)
	t.failures = 0
	return transition, lost
}

func (t *Tracker) transition(now time.Time, lost bool) Transition {
	return Transition{
		Lost:     lost,
		Lasted:   now.Sub(t.firstFailure),
		Failures: t.failures,
		Err:      t.err,
	}
}
