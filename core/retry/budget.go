package retry

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// budgetBurst bounds the retries that quiet times save up.
	budgetBurst = 10
	// budgetPerSecond allows for a few retries where there is little traffic.
	budgetPerSecond = 0.2
)

// Budget bounds retries to a fraction of the requests.
type Budget struct {
	fraction float64
	tokens   float64
	at       time.Time
}

// NewBudget returns a budget that allows the fraction of requests, between 0 and 1, to be retried.
func NewBudget(fraction float64) (*Budget, error) {
	b := &Budget{
		tokens: budgetBurst,
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

// Request counts one first attempt.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.add(b.fraction)
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.fraction > 0 && !b.at.IsZero() && now.After(b.at) {
		b.add(now.Sub(b.at).Seconds() * budgetPerSecond)
	}
	if now.After(b.at) {
		b.at = now
	}
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(budgetBurst, b.tokens+tokens)
}
