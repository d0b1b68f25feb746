package balance

import (
	"time"

	"waxwingpick"
)

// Demand is a call that looks for a target.
type Demand struct {
	Arrived time.Time
	// Aim is the time from the arrival within which an answer is fully useful; zero where that is not known.
	Aim time.Duration
	// Deadline is when an answer is of no use any more; zero where there is none.
	Deadline time.Time
	// Sent says that the call was sent to a target before.
	Sent bool
	// Exclude holds the targets that were tried before.
	Exclude []waxwingpick.TargetID
}

// aimShare is the share of the aim within which an answer has to be predicted: others send to the target meanwhile.
const aimShare = 0.8

// late reports whether an answer at a time is not worth the wait that it makes for the calls behind it.
//
// The load pattern is more calls than a service can answer, for seconds: those that wait then make all behind them late, so
// that few answers come in time though the service answers as many as it can. Calls that were sent before have cost work,
// and get their whole time.
func (d Demand) late(answer time.Time) bool {
	if d.Aim > 0 && !d.Sent {
		return answer.After(d.Arrived.Add(time.Duration(aimShare * float64(d.Aim))))
	}
	return !d.Deadline.IsZero() && answer.After(d.Deadline)
}
