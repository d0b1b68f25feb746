package plan

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// AuthorityPrefix is the prefix of the authority leases in the key-value service.
const AuthorityPrefix = "waxwingpick/authority/"

// AuthorityKey returns the key of the lease over a service's plan.
func AuthorityKey(service waxwingpick.ServiceName) string {
	return AuthorityPrefix + string(service)
}

// The defaults of an Authority.
const (
	DefaultLeaseTTL      = 3 * time.Second
	DefaultPollInterval  = 800 * time.Millisecond
	DefaultTurnDelay     = 200 * time.Millisecond
	DefaultWriteInterval = 200 * time.Millisecond
	// MaxPollInterval bounds the poll interval of the last candidates.
	MaxPollInterval = time.Minute
	// promptRanks is the number of candidates that poll at the shortest interval.
	promptRanks = 3
	// maxBackoffSteps is the number of times that the delay between failed tries doubles.
	maxBackoffSteps = 4
)

// Option sets up an Authority.
type Option func(*Authority) error

// WithLeaseTTL sets how long the lease lasts unless it is kept alive.
func WithLeaseTTL(ttl time.Duration) Option {
	return func(a *Authority) error {
		if ttl <= 0 {
			return eris.New("lease TTL must be positive")
		}
		a.leaseTTL = ttl
		return nil
	}
}

// WithPollInterval sets how often the first candidates look whether the lease is gone.
func WithPollInterval(d time.Duration) Option {
	return func(a *Authority) error {
		if d <= 0 {
			return eris.New("poll interval must be positive")
		}
		a.pollInterval = d
		return nil
	}
}

// WithRandom sets the source of jitter.
func WithRandom(r *rand.Rand) Option {
	return func(a *Authority) error {
		a.random = r
		return nil
	}
}

// WithChangeIDs sets the source of change IDs, each of which must be unique in the whole system.
func WithChangeIDs(next func() string) Option {
	return func(a *Authority) error {
		a.nextID = next
		return nil
	}
}
