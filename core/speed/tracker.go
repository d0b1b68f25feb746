package speed

import (
	"math"
	"time"
)

const (
	// decay is the time constant with which a stated figure loses its weight to the target's usual one. Two figures of a target
	// that are 0.15 s apart have a correlation of 0.8, and of 0.3 if they are 0.7 s apart.
	decay = 500 * time.Millisecond
	// higherWeight and lowerWeight are the weights of a new figure in the target's usual one. The usual figure is the one without
	// disturbance, which is the lowest, so it follows lower figures faster.
	higherWeight = 0.01
	lowerWeight  = 0.3
	// minReportedGap is by how much a reported figure has to be newer. The age of a figure lacks the time of each message.
	minReportedGap = 20 * time.Millisecond
	// MinPercent is the lowest figure that is used. Lower ones count as it, so that a target that states a false one does not draw
	// all requests.
	MinPercent = 50
	// MaxPercent is the highest figure that is used.
	MaxPercent = 1000
	// usualPercent is the figure of a target on which work takes as long as usual.
	usualPercent = 100
)

// Tracker estimates the speed of one target from the figures that it states. It is not safe for concurrent use.
//
// The load it answers: targets share their machines with others, which slow them down by a factor of 2.5 for some hundred
// milliseconds, at different times on each machine.
type Tracker struct {
	// latest is the last figure, stated at the time at.
	latest float64
	at     time.Time
	// usual is the moving average of the figures.
	usual float64
}

// ObserveStated records a figure that the target stated at a time, in percent. Figures that are not newer than the last one are
// ignored, and it returns false for them.
func (t *Tracker) ObserveStated(at time.Time, percent int) bool {
	if !t.at.IsZero() && !at.After(t.at) {
		return false
	}
	figure := float64(max(MinPercent, min(MaxPercent, percent)))
	if t.at.IsZero() {
		t.usual = figure
	}
	weight := higherWeight
	if figure < t.usual {
		weight = lowerWeight
	}
	t.usual += weight * (figure - t.usual)
	t.latest = figure
	t.at = at
	return true
}

// ObserveReported records a figure that another process was stated at a time. One that is hardly newer than the last one is most likely
// the same, with the error of its age, and is ignored.
func (t *Tracker) ObserveReported(at time.Time, percent int) bool {
	return !at.Before(t.at.Add(minReportedGap)) && t.ObserveStated(at, percent)
}

// Factor returns by how much longer work takes on the target than usual; 1 if the target has stated nothing.
func (t *Tracker) Factor(now time.Time) float64 {
	if t.at.IsZero() {
		return 1
	}
	age := max(0, now.Sub(t.at))
	weight := math.Exp(-float64(age) / float64(decay))
	return (t.usual + weight*(t.latest-t.usual)) / usualPercent
}

// Latest returns the last figure and when it was stated; false if there is none.
func (t *Tracker) Latest() (percent int, at time.Time, ok bool) {
	return int(t.latest), t.at, !t.at.IsZero()
}
