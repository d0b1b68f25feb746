package executor

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// The defaults of an Executor.
const (
	// DefaultOrderTimeout bounds the hand-over of an order to the engine, not its run.
	DefaultOrderTimeout = time.Second
	// DefaultMargin is added to the order's timeout wherever an order may still be on its way.
	DefaultMargin = time.Second
	// DefaultLeaseTTL is how long the lease on a target's key lasts.
	DefaultLeaseTTL = 6 * time.Second
	// DefaultSettledPoll and DefaultBusyPoll space the reads of the engine's state.
	DefaultSettledPoll = 2 * time.Second
	DefaultBusyPoll    = 200 * time.Millisecond
	// DefaultRetryDelay is the first delay after a failed try; it doubles up to MaxRetryDelay.
	DefaultRetryDelay = 300 * time.Millisecond
	MaxRetryDelay     = 10 * time.Second
	// planFreshness is the age of the plan's last read up to which the key-value service counts as reachable.
	planFreshness = 5 * time.Second
	// maxClaimFailures is the number of failed calls in a row after which a drained engine is given back.
	maxClaimFailures = 5
)

// Option sets up an Executor.
type Option func(*Executor) error

// WithChecksFencing says that the engine refuses orders with an old fencing number, also after a crash.
func WithChecksFencing(checks bool) Option {
	return func(e *Executor) error {
		e.checksFencing = checks
		return nil
	}
}

// WithOrderTimeout sets the bound for the hand-over of an order.
func WithOrderTimeout(d time.Duration) Option {
	return func(e *Executor) error {
		if d <= 0 {
			return eris.New("order timeout must be positive")
		}
		e.orderTimeout = d
		return nil
	}
}

// WithLeaseTTL sets how long the lease on the target's key lasts; it must be the same in all processes.
func WithLeaseTTL(d time.Duration) Option {
	return func(e *Executor) error {
		e.leaseTTL = d
		return nil
	}
}

// WithMargin sets the time that is added to the order's timeout.
func WithMargin(d time.Duration) Option {
	return func(e *Executor) error {
		if d <= 0 {
			return eris.New("margin must be positive")
		}
		e.margin = d
		return nil
	}
}

// WithRandom sets the source of jitter.
func WithRandom(r *rand.Rand) Option {
	return func(e *Executor) error {
		e.random = r
		return nil
	}
}
