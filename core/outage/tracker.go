package outage

import "time"

// DefaultAfter is the number of failed calls in a row that make an outage: one lost answer or a restart is none.
const DefaultAfter = 3

// Turn is a change of what is believed of a dependency.
type Turn struct {
	// Lost says that it is lost, else it is back.
	Lost bool
	// Lasted is the time since the first failed call.
	Lasted time.Duration
	// Failures is the number of failed calls in a row.
	Failures int
	// Err is the last failure of a lost one; nil for one that is back.
	Err error
}

// Tracker follows the calls to one dependency; its caller serializes the calls of its methods.
type Tracker struct {
	after    int
	failures int
	began    time.Time
	err      error
}

// NewTracker returns a tracker for which a number of failed calls in a row make an outage.
func NewTracker(after int) *Tracker {
	return &Tracker{
		after: after,
	}
}

// Lost reports whether the dependency is lost.
func (t *Tracker) Lost() bool {
	return t.failures >= t.after
}

// Observe takes the end of a call, with no error where the dependency answered, and returns the turn that it makes.
func (t *Tracker) Observe(now time.Time, err error) (Turn, bool) {
	if err == nil {
		return t.answered(now)
	}
	if t.failures == 0 {
		t.began = now
	}
	t.failures++
	t.err = err
	return t.turn(now, true), t.failures == t.after
}

func (t *Tracker) answered(now time.Time) (Turn, bool) {
	lost := t.Lost()
	t.err = nil
	turn := t.turn(now, false)
	t.failures = 0
	return turn, lost
}

func (t *Tracker) turn(now time.Time, lost bool) Turn {
	return Turn{
		Lost:     lost,
		Lasted:   now.Sub(t.began),
		Failures: t.failures,
		Err:      t.err,
	}
}
