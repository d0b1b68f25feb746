package callbudget

import (
	"math/rand/v2"
	"time"
)

// backoffGrowth bounds a delay to a multiple of the one before.
const backoffGrowth = 3

// Backoff yields the delays between tries: each is drawn between the least delay and three times the
// one before, up to the most, so that processes which failed together part.
type Backoff struct {
	least time.Duration
	most  time.Duration
	last  time.Duration
	rng   *rand.Rand
}

// NewBackoff returns a backoff between two delays that draws from rng.
func NewBackoff(least, most time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{
		least: least,
		most:  most,
		last:  least,
		rng:   rng,
	}
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	span := min(b.last*backoffGrowth, b.most) - b.least
	b.last = b.least
	if span > 0 {
		b.last += time.Duration(b.rng.Int64N(int64(span) + 1))
	}
	return b.last
}

// Reset starts again from the least delay.
func (b *Backoff) Reset() {
	b.last = b.least
}
