package balance

import (
	"time"

	"waxwingpick"
)

// Demand is a call to be placed on a target.
type Demand struct {
	Arrived time.Time
	// LatencyObjective counts from the arrival; zero if there is none.
	LatencyObjective time.Duration
	// Deadline is the time after which a response is useless; zero if there is none.
	Deadline time.Time
	// Sent means that the call was sent to a target before.
	Sent bool
	// Exclude holds the targets that were already tried.
	Exclude []waxwingpick.TargetID
	// Blocked holds the targets that accept no request now, according to what they state.
	Blocked waxwingpick.Set[waxwingpick.TargetID]
}

// objectiveShare is the fraction of the latency objective that a predicted response may use up, since other processes
// send calls to the target in the meantime.
const objectiveShare = 0.8

// late reports whether a response at the given time does not justify the delay of the calls queued behind this one.
//
// When a service receives more calls than it can process for some seconds, queued calls make all calls behind them
// late. Few responses then arrive in time although the service works at full capacity. Calls that were sent before have
// already cost work and may use their entire deadline.
func (d Demand) late(response time.Time) bool {
	if d.LatencyObjective > 0 && !d.Sent {
		return response.After(d.Arrived.Add(time.Duration(objectiveShare * float64(d.LatencyObjective))))
	}
	return !d.Deadline.IsZero() && response.After(d.Deadline)
}
