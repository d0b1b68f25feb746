package retry

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds is a retry budget that all processes of a fleet have together: in each Window at most Ratio of the requests, and
// Slack more.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// earnedShare is the part of Ratio that a request earns for its retries.
	earnedShare = 0.75
	// savedShare is the part of Ratio that is saved up for the failure of a target, of the requests of half a window.
	savedShare = 0.25
	// slackSaved and slackRefilled are the parts of Slack that all processes together save up and get anew in a window.
	slackSaved    = 0.5
	slackRefilled = 0.25
	// sizeKept is how long the greatest number of processes counts: processes that are not listed any more may still run,
	// and after an outage of the list's service not all are in it at once.
	sizeKept = time.Minute
)

// shares works out what one process may use of a budget of several.
//
// The load pattern is the loss of several targets at once in a large fleet, when each process uses up all that it may.
// What follows a process's own requests adds up to a share of all requests whoever gets them; only Slack is dealt out in
// equal parts. A process that does not know yet how many there are has no part of it, so that processes which start
// together have no more than those before them left.
type shares struct {
	bounds Bounds
	// requests are those of the last half window, older ones counting less.
	requests float64
	// processes is zero as long as their number is not known.
	processes int
	// confirmed is when the number was last seen to be as large.
	confirmed time.Time
}

func (s *shares) observe(now time.Time, n int) {
	n = max(1, n)
	if n >= s.processes || now.Sub(s.confirmed) > sizeKept {
		s.processes = n
		s.confirmed = now
	}
}

func (s *shares) forget(passed time.Duration) {
	s.requests *= math.Exp(-2 * passed.Seconds() / s.bounds.Window.Seconds())
}

// slack returns a process's equal part of a part of Slack.
func (s *shares) slack(part float64) float64 {
	if s.processes == 0 {
		return 0
	}
	return part * s.bounds.Slack / float64(s.processes)
}

func (s *shares) burst() float64 {
	return s.slack(slackSaved) + savedShare*s.bounds.Ratio*s.requests
}

func (s *shares) perSecond() float64 {
	return s.slack(slackRefilled) / s.bounds.Window.Seconds()
}

// Check fails where a bound is out of its range.
func (b Bounds) Check() error {
	if !(b.Ratio >= 0 && b.Ratio <= 1 && b.Slack >= 0) || math.IsInf(b.Slack, 0) || b.Window <= 0 {
		return eris.Errorf("retry bounds: ratio %v of 0 to 1, slack %v, window %v", b.Ratio, b.Slack, b.Window)
	}
	return nil
}
