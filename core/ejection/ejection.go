package ejection

import "time"

const (
	// firstOut is how long a target stays out at first; a restarted one is listed anew after seconds.
	firstOut = 250 * time.Millisecond
	// mostOut bounds how long a target stays out; a probe costs a request one more connection.
	mostOut = 2 * time.Second
	// probeTime is how long one request has to show whether a target is back, before another may try.
	probeTime = 500 * time.Millisecond
	// lostInRow is how many answers in a row a target that takes connections may lose before it is out: single answers
	// are lost by sound targets too.
	lostInRow = 2
	// mostDoublings bounds the doublings of firstOut.
	mostDoublings = 8
)

// Change says how an event changed what is believed of a target.
type Change uint8

// The changes.
const (
	// ChangeNone says that the belief stays.
	ChangeNone Change = iota
	// ChangeOut says that a target is out that was not.
	ChangeOut
	// ChangeBack says that a target answers again.
	ChangeBack
)

// Target tells whether requests may be sent to one target; it is not safe for concurrent use, and its zero value is a
// target that answers.
type Target struct {
	// outs counts the times in a row that the target was put out, lost its answers in a row that were lost.
	outs  int
	lost  int
	until time.Time
	// probed says that until bounds a probe.
	probed bool
}

// Unreachable notes that the target took no connection.
func (t *Target) Unreachable(now time.Time) Change {
	return t.put(now)
}

// Lost notes that the target took a request and gave no answer.
func (t *Target) Lost(now time.Time) Change {
	if t.lost++; t.lost >= lostInRow || t.outs > 0 {
		return t.put(now)
	}
	return ChangeNone
}

// put puts the target out, for longer each time.
func (t *Target) put(now time.Time) Change {
	if t.Out(now) && !t.probed {
		// Requests that were under way together count once.
		return ChangeNone
	}
	t.until = now.Add(min(mostOut, firstOut<<min(t.outs, mostDoublings)))
	t.outs++
	t.probed = false
	if t.outs > 1 {
		return ChangeNone
	}
	return ChangeOut
}

// Answered notes that the target answered.
func (t *Target) Answered() Change {
	out := t.outs > 0
	*t = Target{}
	if out {
		return ChangeBack
	}
	return ChangeNone
}

// Out reports whether requests are to go elsewhere.
func (t *Target) Out(now time.Time) bool {
	return now.Before(t.until)
}

// Begin notes that a request is sent; after a time out it is the only one until it shows whether the target is back.
func (t *Target) Begin(now time.Time) {
	if t.outs > 0 && !t.Out(now) {
		t.until = now.Add(probeTime)
		t.probed = true
	}
}
