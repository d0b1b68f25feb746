package plan

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// AuthorityPrefix is the key prefix of the authority leases in the key-value service.
const AuthorityPrefix = "waxwingpick/authority/"

// AuthorityKey returns the key of the lease for a service's plan.
func AuthorityKey(service waxwingpick.ServiceName) string {
	return AuthorityPrefix + string(service)
}

// The defaults of an Authority.
const (
	DefaultLeaseTTL      = 3 * time.Second
	DefaultPollInterval  = 800 * time.Millisecond
	DefaultRankDelay     = 200 * time.Millisecond
	DefaultWriteInterval = 200 * time.Millisecond
	// MaxPollInterval bounds the poll interval of candidates with a high rank.
	MaxPollInterval = time.Minute
	// fastPollRanks is the number of candidates that poll at the shortest interval.
	fastPollRanks = 3
	// maxBackoffSteps is the maximum number of times that the delay after failures doubles.
	maxBackoffSteps = 4
)

// Option configures an Authority.
type Option func(*Authority) error

// WithLeaseTTL sets the time after which the lease expires unless it is kept alive.
func WithLeaseTTL(ttl time.Duration) Option {
	return func(a *Authority) error {
		if ttl <= 0 {
			return eris.New("lease TTL must be positive")
		}
		a.leaseTTL = ttl
		return nil
	}
}

// WithPollInterval sets the interval at which the first candidates poll the lease key.
func WithPollInterval(d time.Duration) Option {
	return func(a *Authority) error {
		if d <= 0 {
			return eris.New("poll interval must be positive")
		}
		a.pollInterval = d
		return nil
	}
}

// WithRandom sets the random source for jitter.
func WithRandom(r *rand.Rand) Option {
	return func(a *Authority) error {
		a.random = r
		return nil
	}
}

// WithChangeIDs sets the generator of change IDs, which must be unique in the whole system.
func WithChangeIDs(next func() string) Option {
	return func(a *Authority) error {
		a.nextID = next
		return nil
	}
}
