package admission

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultSlots             = 32
	defaultQueue             = 256
	defaultBlockTokens       = 2000
	defaultReserve           = 0.1
	defaultLongPrefillTokens = 16000
	defaultPrefillRate       = 8000.0
	defaultTokenInterval     = 30 * time.Millisecond
	defaultWorkspaces        = 8192
	defaultFairnessWeight    = 1.0
	minRetryAfter            = 100 * time.Millisecond
	maxRetryAfter            = 30 * time.Second
)

type settings struct {
	slots             int
	queue             int
	blocks            int
	blockTokens       int
	reserve           float64
	longPrefillTokens int
	prefillRate       float64
	tokenInterval     time.Duration
	workspaces        int
	ratePerSecond     float64
	rateBurst         int
	weight            func(workspace string) float64
	limiter           *Limiter
}

// Option sets one parameter of a Controller.
type Option func(*settings) error

// Slots sets the number of requests that run concurrently.
func Slots(n int) Option {
	return func(s *settings) error {
		if n < 1 {
			return eris.Errorf("slots %d must be positive", n)
		}
		s.slots = n
		return nil
	}
}

// Queue limits the number of queued requests.
func Queue(n int) Option {
	return func(s *settings) error {
		if n < 0 {
			return eris.Errorf("queue length %d is negative", n)
		}
		s.queue = n
		return nil
	}
}

// Memory sets the engine's memory as a number of blocks and the tokens per block; zero blocks means no limit.
func Memory(blocks, blockTokens int) Option {
	return func(s *settings) error {
		if blocks < 0 || blockTokens < 1 {
			return eris.Errorf("invalid memory: %d blocks of %d tokens", blocks, blockTokens)
		}
		s.blocks = blocks
		s.blockTokens = blockTokens
		return nil
	}
}

// Reserve sets the fraction of blocks and slots that long requests may not use.
func Reserve(fraction float64) Option {
	return func(s *settings) error {
		if fraction < 0 || fraction > 0.9 {
			return eris.Errorf("reserve %v is not between 0 and 0.9", fraction)
		}
		s.reserve = fraction
		return nil
	}
}

// LongPrefill limits the prompt tokens of admitted long requests that are not computed yet;
// a single longer prompt runs alone.
func LongPrefill(tokens int) Option {
	return func(s *settings) error {
		if tokens < 1 {
			return eris.Errorf("long prefill limit %d must be positive", tokens)
		}
		s.longPrefillTokens = tokens
		return nil
	}
}

// Rates sets the initial prefill rate and token interval, which apply until they are measured.
func Rates(prefillTokensPerSecond float64, tokenInterval time.Duration) Option {
	return func(s *settings) error {
		if prefillTokensPerSecond <= 0 || tokenInterval <= 0 {
			return eris.Errorf("rates %v tokens/s and %v must be positive", prefillTokensPerSecond, tokenInterval)
		}
		s.prefillRate = prefillTokensPerSecond
		s.tokenInterval = tokenInterval
		return nil
	}
}

// WorkspaceRate limits each workspace's requests per second with a burst; zero means no limit.
func WorkspaceRate(perSecond float64, burst int) Option {
	return func(s *settings) error {
		if perSecond < 0 || burst < 1 {
			return eris.Errorf("invalid workspace rate %v with burst %d", perSecond, burst)
		}
		s.ratePerSecond = perSecond
		s.rateBurst = burst
		return nil
	}
}

// Workspaces limits the number of workspaces that are tracked.
func Workspaces(n int) Option {
	return func(s *settings) error {
		if n < 1 {
			return eris.Errorf("workspaces %d must be positive", n)
		}
		s.workspaces = n
		return nil
	}
}

// Weights sets the function that returns a workspace's weight; a weight that is not positive counts as 1.
func Weights(weight func(workspace string) float64) Option {
	return func(s *settings) error {
		if weight == nil {
			return eris.New("weight function is nil")
		}
		s.weight = weight
		return nil
	}
}

// Adaptive makes the limiter set the number of slots, for plain services.
func Adaptive(l *Limiter) Option {
	return func(s *settings) error {
		if l == nil {
			return eris.New("limiter is nil")
		}
		s.limiter = l
		return nil
	}
}
