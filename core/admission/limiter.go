package admission

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// limiterTolerance is the ratio of latency to minimum latency above which the limit is reduced.
	limiterTolerance = 1.5
	limiterSmoothing = 0.1
	limiterMinFactor = 0.5
	// limiterWindow is the number of samples after which the minimum latency is measured again at half the limit. The
	// limiter thus adapts to a service that became slower and does not take queueing for its minimum latency.
	limiterWindow = 1000
)

// Limiter adapts the concurrency limit of a plain service to its latency.
type Limiter struct {
	minLimit, maxLimit float64
	limit              float64
	// previousMinLatency and minLatency are the minimum latencies of the previous and of the current window, in seconds.
	previousMinLatency, minLatency float64
	samples                        int
}

// NewLimiter returns a limiter that starts at minLimit and stays between minLimit and maxLimit.
func NewLimiter(minLimit, maxLimit int) (*Limiter, error) {
	if minLimit < 1 || maxLimit < minLimit {
		return nil, eris.Errorf("invalid concurrency limits: minimum %d, maximum %d", minLimit, maxLimit)
	}
	return &Limiter{
		minLimit:           float64(minLimit),
		maxLimit:           float64(maxLimit),
		limit:              float64(minLimit),
		previousMinLatency: math.Inf(1),
		minLatency:         math.Inf(1),
	}, nil
}

// Limit returns the number of calls that may run concurrently.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// Observe records the latency of one call and the number of calls that ran when it ended.
func (l *Limiter) Observe(latency time.Duration, running int) {
	sample := latency.Seconds()
	if sample <= 0 {
		return
	}
	l.measure(sample)
	factor := min(1, max(limiterMinFactor, limiterTolerance*min(l.previousMinLatency, l.minLatency)/sample))
	grown := l.limit*factor + math.Sqrt(l.limit)
	if grown > l.limit && float64(running)*2 < l.limit {
		return
	}
	l.limit += limiterSmoothing * (grown - l.limit)
	l.limit = min(l.maxLimit, max(l.minLimit, l.limit))
}

func (l *Limiter) measure(sample float64) {
	l.minLatency = min(l.minLatency, sample)
	l.samples++
	if l.samples < limiterWindow {
		return
	}
	l.samples = 0
	l.previousMinLatency, l.minLatency = l.minLatency, math.Inf(1)
	l.limit = max(l.minLimit, l.limit/2)
}

// Overloaded records an overload response of the service and reduces the limit.
func (l *Limiter) Overloaded() {
	l.limit = max(l.minLimit, l.limit*(1-limiterSmoothing))
}
