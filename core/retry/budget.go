package retry

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// defaultBurst bounds the retries that quiet times save up.
	defaultBurst = 10
	// defaultPerSecond allows for a few retries where there is little traffic.
	defaultPerSecond = 0.2
)

// Budget bounds retries to a fraction of the requests.
type Budget struct {
	fraction float64
	// perSecond is what comes besides, burst the most that is saved up.
	perSecond float64
	burst     float64
	tokens    float64
	at        time.Time
	// shares is set where several processes have one budget.
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

// SetFraction changes the fraction, as a configuration change does.
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

// SetProcesses tells how many processes have the budget together; it changes nothing where that of this process is its own.
func (b *Budget) SetProcesses(now time.Time, n int) {
	if b.shares == nil {
		return
	}
	b.refill(now)
	b.shares.observe(now, n)
	b.bound()
}

// Request counts one first attempt.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	if b.shares != nil {
		b.shares.requests++
		b.bound()
	}
	b.add(b.fraction)
}

// Take takes retries from the budget and reports whether there were as many.
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
			b.shares.forget(passed)
			b.bound()
		}
	}
	if now.After(b.at) {
		b.at = now
	}
}

// bound takes the present share of a budget of several processes.
func (b *Budget) bound() {
	b.burst, b.perSecond = b.shares.burst(), b.shares.perSecond()
	b.tokens = min(b.burst, b.tokens)
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.burst, b.tokens+tokens)
}
