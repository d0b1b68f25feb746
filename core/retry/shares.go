package retry

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds is a retry budget that all processes of a fleet share: in each Window at most Ratio times the number of requests,
// plus Slack.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// refillShare is the part of Ratio that each request adds to the budget.
	refillShare = 0.75
	// burstShare is the part of Ratio, times the requests of half a window, that may accumulate for the failure of a target.
	burstShare = 0.25
	// slackBurst and slackRefill are the parts of Slack that all processes together may accumulate, and that they get per
	// window.
	slackBurst  = 0.5
	slackRefill = 0.25
	// processCountRetention is how long the maximum number of processes is used. Processes that are no longer listed may
	// still run, and after an outage of the service that lists them not all of them are listed at once.
	processCountRetention = time.Minute
)

// shares computes the part of a shared budget that one process may use.
//
// The expected load is the loss of several targets at once in a large fleet, when each process uses its whole part.
// The parts earned by requests add up to a share of all requests, however these are distributed. Only Slack is divided
// equally. A process that has not received the number of processes gets no part of Slack, so that processes which start
// together can't exceed what their predecessors left.
type shares struct {
	bounds Bounds
	// requests is the number of requests of the last half window, with exponential decay.
	requests float64
	// processes is zero until the number of processes is received.
	processes int
	// confirmedAt is when a number that was not smaller was last received.
	confirmedAt time.Time
}

func (s *shares) observe(now time.Time, n int) {
	n = max(1, n)
	if n >= s.processes || now.Sub(s.confirmedAt) > processCountRetention {
		s.processes = n
		s.confirmedAt = now
	}
}

func (s *shares) decay(passed time.Duration) {
	s.requests *= math.Exp(-2 * passed.Seconds() / s.bounds.Window.Seconds())
}

// slack returns a process's equal part of the given part of Slack.
func (s *shares) slack(part float64) float64 {
	if s.processes == 0 {
		return 0
	}
	return part * s.bounds.Slack / float64(s.processes)
}

func (s *shares) burst() float64 {
	return s.slack(slackBurst) + burstShare*s.bounds.Ratio*s.requests
}

func (s *shares) perSecond() float64 {
	return s.slack(slackRefill) / s.bounds.Window.Seconds()
}

// Check returns an error if a value is out of range.
func (b Bounds) Check() error {
	if !(b.Ratio >= 0 && b.Ratio <= 1 && b.Slack >= 0) || math.IsInf(b.Slack, 0) || b.Window <= 0 {
		return eris.Errorf("retry bounds: ratio %v of 0 to 1, slack %v, window %v", b.Ratio, b.Slack, b.Window)
	}
	return nil
}
