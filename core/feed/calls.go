package feed

import "time"

const (
	// callInterval is the time between two calls for changes, since changes come in batches.
	callInterval = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the mean delay before a failed call is repeated.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 350 * time.Millisecond
	// ProbeInterval is the time between two probes of a service that does not respond. After a partition, noticing its end and
	// the delay of removals have to fit into the time after which this process has to be up to date.
	ProbeInterval = 250 * time.Millisecond
	// shortWait is how long the call after a failed one waits for changes. Its response shows that the service is back.
	shortWait = 10 * time.Millisecond
)

// callOutcome is how a call ended.
type callOutcome uint8

const (
	callAnswered callOutcome = iota
	callFailed
	// callAbandoned means that a probe was answered before the call.
	callAbandoned
)

// Calls schedules the calls of one process to the service. It is not safe for concurrent use.
//
// A call that is sent into a partition is lost, and its time-out may end long after the partition. While a call is overdue, and
// after one that was not answered, the service is therefore probed with cheap calls as well. The first answer ends the call
// under way, or the pause before it, and the next one follows at once. A service that responds with refusals is not probed.
type Calls struct {
	// wait is how long a call waits for changes, random returns a number in [0, n).
	wait   time.Duration
	random func(n int64) int64
	delay  time.Duration
	next   time.Time
	// began is when the call under way began; zero if there is none. expected is the time within which it should be answered.
	began    time.Time
	expected time.Duration
	last     callOutcome
	// probing means that the last call was not answered, nor any probe since.
	probing   bool
	lastProbe time.Time
}

// NewCalls returns a schedule whose first call is due. A call waits for changes up to the given time; random returns a number in
// [0, n).
func NewCalls(wait time.Duration, random func(n int64) int64) *Calls {
	return &Calls{
		wait:   wait,
		random: random,
		delay:  minRetryDelay,
	}
}

// Pause returns how long to wait before the next call.
func (c *Calls) Pause(now time.Time) time.Duration {
	return max(0, c.next.Sub(now))
}

// Begin records that a call begins, and returns how long it is to wait for changes.
func (c *Calls) Begin(now time.Time) time.Duration {
	wait := c.wait
	if c.last != callAnswered {
		wait = shortWait
	}
	c.began = now
	c.expected = wait + ProbeInterval
	return wait
}

// Reset makes the next call due, as if none had failed: the service has answered that all keys have to be read, or this process
// receives changes from relays meanwhile.
func (c *Calls) Reset() {
	c.ended(callAnswered, time.Time{})
	c.probing = false
	c.delay = minRetryDelay
}

// Succeeded records that the call was answered with what was asked for.
func (c *Calls) Succeeded(now time.Time) {
	c.Reset()
	c.next = now.Add(callInterval)
}

func (c *Calls) ended(outcome callOutcome, next time.Time) {
	c.began = time.Time{}
	c.last = outcome
	c.next = next
}

// Failed records that the call failed. A failure that took as long as a probe was no answer.
func (c *Calls) Failed(now time.Time) {
	c.probing = now.Sub(c.began) >= ProbeInterval
	c.ended(callFailed, now.Add(c.delay/2+time.Duration(c.random(int64(c.delay)))))
	c.delay = min(maxRetryDelay, 2*c.delay)
}

// Abandoned records that the call was given up because a probe was answered.
func (c *Calls) Abandoned() {
	c.ended(callAbandoned, time.Time{})
}

// ProbeDue reports whether the service is to be probed now.
func (c *Calls) ProbeDue(now time.Time) bool {
	if !c.probing && !c.overdue(now) || now.Sub(c.lastProbe) < ProbeInterval {
		return false
	}
	c.lastProbe = now
	return true
}

// UntilProbe returns how long no probe can become due.
func (c *Calls) UntilProbe(now time.Time) time.Duration {
	switch {
	case c.probing || c.overdue(now):
		return max(0, ProbeInterval-now.Sub(c.lastProbe))
	case c.last != callAbandoned && !c.began.IsZero():
		return c.expected - now.Sub(c.began)
	}
	return ProbeInterval
}

// overdue reports whether the call under way should have been answered. One after an abandoned call may take its time, as a slow
// service answers a probe sooner than a call.
func (c *Calls) overdue(now time.Time) bool {
	return c.last != callAbandoned && !c.began.IsZero() && now.Sub(c.began) >= c.expected
}

// ProbeAnswered records the answer to a probe and reports whether the call under way, or the pause before the next one, is to
// end now. A call that began after the probe may have been sent over the same path.
func (c *Calls) ProbeAnswered(now, sent time.Time) bool {
	if !c.probing && !c.overdue(now) || c.began.After(sent) {
		return false
	}
	c.probing = false
	c.next = time.Time{}
	return true
}
