package placement

import (
	"time"

	"waxwingpick"
)

const (
	// initialPause is the assumed time between two events of a stream at an engine with its usual speed, until it is measured.
	initialPause = 50 * time.Millisecond
	// pauseWeight is the weight of a measured pause in the mean, and maxPauseSample the longest that is measured.
	pauseWeight    = 0.01
	maxPauseSample = time.Second
	// maxAskDelay is how long after an event the next one has to be asked for to measure the pause between them.
	maxAskDelay = 5 * time.Millisecond
	// lateCost is the cost of a stream that is late by a pause, in the time by which a first event may be delayed instead.
	lateCost = 100 * time.Millisecond
)

// pauses is the time between two events of a stream at an engine that takes as long as usual.
type pauses struct {
	usual time.Duration
}

func (p *pauses) observe(took time.Duration, factor float64) {
	if took > maxPauseSample {
		return
	}
	p.usual += time.Duration(pauseWeight * (float64(took)/factor - float64(p.usual)))
}

// EventReceived records an event of the request's stream, for which this process waited since asked. The pause before it is that of
// the engine only if nothing else kept this process from asking, such as a caller that reads slowly.
func (l *Stage) EventReceived(asked, now time.Time) {
	if !l.lastEvent.IsZero() && asked.Sub(l.lastEvent) <= maxAskDelay {
		l.fleet.pauses.observe(now.Sub(l.lastEvent), l.engine.speed.Factor(now))
	}
	l.lastEvent = now
}

// pauseCost returns the cost of computing a prompt to the streams that an engine generates. It answers a load in which few long prompts
// make many short streams late: each stream that runs there pauses for as long as the computation takes, and is late if that exceeds
// what its usual pause leaves of the limit.
func (f *Fleet) pauseCost(e *engine, l load, computation time.Duration, factor float64, limit time.Duration) time.Duration {
	usual := slowed(f.pauses.usual, factor)
	if computation <= 0 || limit <= usual || e.target.Role == waxwingpick.RolePrefill {
		// Streams that are late anyway are not made late by it.
		return 0
	}
	return time.Duration(float64(l.running) * float64(lateCost) * exceeds(computation, limit-usual))
}

// streamCost returns the cost of an engine to a stream that it generates. The slower the engine, the more often a pause exceeds the limit.
// The more of its slots are taken as far as known, the more often requests that are not known take the rest, and the stream waits.
func (f *Fleet) streamCost(e *engine, l load, factor float64, limit time.Duration) time.Duration {
	if limit <= 0 || e.target.Role == waxwingpick.RolePrefill {
		return 0
	}
	taken := float64(l.running) / float64(max(1, e.target.Slots))
	return time.Duration(float64(lateCost) * (exceeds(slowed(f.pauses.usual, factor), limit) + min(1, taken*taken*taken*taken)))
}

// exceeds estimates the probability with which a time exceeds a limit.
func exceeds(d, limit time.Duration) float64 {
	if d >= limit {
		return 1
	}
	ratio := float64(d) / float64(limit)
	return ratio * ratio * ratio * ratio
}
