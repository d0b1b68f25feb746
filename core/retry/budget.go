package retry

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// defaultBurst is the maximum number of retries that accumulate while there are few failures.
	defaultBurst = 10
	// defaultPerSecond allows a few retries when there is little traffic.
	defaultPerSecond = 0.2
)

// Budget limits retries to a fraction of the requests. It is a token bucket.
type Budget struct {
	fraction float64
	// perSecond is the additional refill in tokens per second, burst the size of the bucket.
	perSecond float64
	burst     float64
	tokens    float64
	at        time.Time
	// shares is set if several processes share one budget.
	shares *shares
}

// NewBudget returns a budget that allows the fraction of requests, between 0 and 1, to be retried.
func NewBudget(fraction float64) (*Budget, error) {
	b := &Budget{
		perSecond: defaultPerSecond,
		burst:     defaultBurst,
		tokens:    defaultBurst,
	}
	if err := b.SetFraction(fraction); err != nil {
		return nil, err
	}
	return b, nil
}

// SetFraction changes the fraction, for example after a configuration change.
func (b *Budget) SetFraction(fraction float64) error {
	if math.IsNaN(fraction) || fraction < 0 || fraction > 1 {
		return eris.Errorf("retry budget %v is not between 0 and 1", fraction)
	}
	b.fraction = fraction
	if fraction == 0 {
		b.tokens = 0
	}
	return nil
}

// SetProcesses sets the number of processes that share the budget. It has no effect if the budget is not shared.
func (b *Budget) SetProcesses(now time.Time, n int) {
	if b.shares == nil {
		return
	}
	b.refill(now)
	b.shares.observe(now, n)
	b.applyShare()
}

// Request counts one first attempt.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	if b.shares != nil {
		b.shares.requests++
		b.applyShare()
	}
	b.add(b.fraction)
}

// Take takes tokens for the given number of retries from the budget and reports whether it had enough.
func (b *Budget) Take(now time.Time, retries int) bool {
	b.refill(now)
	if b.tokens < float64(retries) {
		return false
	}
	b.tokens -= float64(retries)
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.fraction > 0 && !b.at.IsZero() && now.After(b.at) {
		passed := now.Sub(b.at)
		b.add(passed.Seconds() * b.perSecond)
		if b.shares != nil {
			b.shares.decay(passed)
			b.applyShare()
		}
	}
	if now.After(b.at) {
		b.at = now
	}
}

// applyShare sets burst and refill to the current share of a shared budget.
func (b *Budget) applyShare() {
	b.burst, b.perSecond = b.shares.burst(), b.shares.perSecond()
	b.tokens = min(b.burst, b.tokens)
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.burst, b.tokens+tokens)
}
