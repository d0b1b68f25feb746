package admission

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// limiterTolerance is how far latency may rise over its floor before the limit falls.
	limiterTolerance = 1.5
	limiterSmoothing = 0.1
	limiterMinFactor = 0.5
	// limiterWindow is the number of samples after which the latency floor is measured anew at half the limit,
	// so that a service that became slower is learned and queueing is not taken for its floor.
	limiterWindow = 1000
)

// Limiter adapts the concurrency limit of a plain service to its latency.
type Limiter struct {
	least, most float64
	limit       float64
	// before and floor are the least latencies of the last and of this window.
	before, floor float64
	samples       int
}

// NewLimiter returns a limiter that starts at the least limit and stays within the bounds.
func NewLimiter(least, most int) (*Limiter, error) {
	if least < 1 || most < least {
		return nil, eris.Errorf("concurrency bounds %d to %d are not in order", least, most)
	}
	return &Limiter{
		least:  float64(least),
		most:   float64(most),
		limit:  float64(least),
		before: math.Inf(1),
		floor:  math.Inf(1),
	}, nil
}

// Limit returns the number of calls that may run at once.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// Observe takes the latency of one call and the number of calls that ran when it ended.
func (l *Limiter) Observe(latency time.Duration, running int) {
	sample := latency.Seconds()
	if sample <= 0 {
		return
	}
	l.measure(sample)
	factor := min(1, max(limiterMinFactor, limiterTolerance*min(l.before, l.floor)/sample))
	grown := l.limit*factor + math.Sqrt(l.limit)
	if grown > l.limit && float64(running)*2 < l.limit {
		return
	}
	l.limit += limiterSmoothing * (grown - l.limit)
	l.limit = min(l.most, max(l.least, l.limit))
}

func (l *Limiter) measure(sample float64) {
	l.floor = min(l.floor, sample)
	l.samples++
	if l.samples < limiterWindow {
		return
	}
	l.samples = 0
	l.before, l.floor = l.floor, math.Inf(1)
	l.limit = max(l.least, l.limit/2)
}

// Overloaded takes an overload answer of the service and cuts the limit.
func (l *Limiter) Overloaded() {
	l.limit = max(l.least, l.limit*(1-limiterSmoothing))
}
