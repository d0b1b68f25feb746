package callbudget

import (
	"math/rand/v2"
	"time"
)

// backoffGrowth is the maximum ratio of a delay to the previous one.
const backoffGrowth = 3

// Backoff returns the delays between retries with decorrelated jitter. Each delay is drawn between the minimum and three
// times the previous delay, up to the maximum, so that processes that failed together do not retry together.
type Backoff struct {
	minDelay time.Duration
	maxDelay time.Duration
	last     time.Duration
	rng      *rand.Rand
}

// NewBackoff returns a backoff between two delays that uses rng for the jitter.
func NewBackoff(minDelay, maxDelay time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{
		minDelay: minDelay,
		maxDelay: maxDelay,
		last:     minDelay,
		rng:      rng,
	}
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	span := min(b.last*backoffGrowth, b.maxDelay) - b.minDelay
	b.last = b.minDelay
	if span > 0 {
		b.last += time.Duration(b.rng.Int64N(int64(span) + 1))
	}
	return b.last
}

// Reset resets the delay to the minimum.
func (b *Backoff) Reset() {
	b.last = b.minDelay
}
