package executor

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// The defaults of an Executor.
const (
	// DefaultOrderTimeout is the time-out for sending an order to the engine. It does not include the order's execution.
	DefaultOrderTimeout = time.Second
	// DefaultMargin is added to the order's timeout wherever an order may still be in transit.
	DefaultMargin = time.Second
	// DefaultLeaseTTL is the duration of the lease on a target's key.
	DefaultLeaseTTL = 6 * time.Second
	// DefaultSettledPoll and DefaultBusyPoll are the intervals between reads of the engine's state.
	DefaultSettledPoll = 2 * time.Second
	DefaultBusyPoll    = 200 * time.Millisecond
	// DefaultRetryDelay is the delay after the first failure. It doubles up to MaxRetryDelay.
	DefaultRetryDelay = 300 * time.Millisecond
	MaxRetryDelay     = 10 * time.Second
	// planFreshness is the maximum age of the last plan read at which the key-value service counts as reachable.
	planFreshness = 5 * time.Second
	// maxClaimFailures is the number of consecutive failed calls after which a drained engine admits work again.
	maxClaimFailures = 5
)

// Option configures an Executor.
type Option func(*Executor) error

// WithChecksFencing sets whether the engine refuses orders with an old fencing number, even after a crash.
func WithChecksFencing(checks bool) Option {
	return func(e *Executor) error {
		e.checksFencing = checks
		return nil
	}
}

// WithOrderTimeout sets the time-out for sending an order.
func WithOrderTimeout(d time.Duration) Option {
	return func(e *Executor) error {
		if d <= 0 {
			return eris.New("order timeout must be positive")
		}
		e.orderTimeout = d
		return nil
	}
}

// WithLeaseTTL sets the duration of the lease on the target's key. It must be equal in all processes.
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
