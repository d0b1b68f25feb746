package classify

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultWorkspaces      = 8192
	defaultQuantile        = 0.7
	defaultBytesPerToken   = 4.0
	defaultLongPrompt      = 4000
	defaultLongOutput      = 800
	defaultMaxWait         = 30 * time.Minute
	defaultMinWait         = 100 * time.Millisecond
	defaultOutputQuickSize = 160
	defaultOutputLongSize  = 1200
	shardCount             = 16
)

type settings struct {
	workspaces int
	quantile   float64
	longPrompt int
	longOutput int
	minWait    time.Duration
	maxWait    time.Duration
}

// Option sets one parameter of a Classifier.
type Option func(*settings) error

// Workspaces bounds the number of workspaces whose token counts are learned.
func Workspaces(n int) Option {
	return func(s *settings) error {
		if n < shardCount {
			return eris.Errorf("workspaces %d is under %d", n, shardCount)
		}
		s.workspaces = n
		return nil
	}
}

// Quantile sets which quantile of the learned output tokens is the estimate.
func Quantile(q float64) Option {
	return func(s *settings) error {
		if q <= 0 || q >= 1 {
			return eris.Errorf("quantile %v is not between 0 and 1", q)
		}
		s.quantile = q
		return nil
	}
}

// LongFrom sets the prompt and output tokens from which a request is long.
func LongFrom(promptTokens, outputTokens int) Option {
	return func(s *settings) error {
		if promptTokens < 1 || outputTokens < 1 {
			return eris.Errorf("long thresholds %d and %d must be positive", promptTokens, outputTokens)
		}
		s.longPrompt = promptTokens
		s.longOutput = outputTokens
		return nil
	}
}

// WaitBounds sets the least and the greatest deadline that a caller may ask for.
func WaitBounds(least, greatest time.Duration) Option {
	return func(s *settings) error {
		if least <= 0 || greatest < least {
			return eris.Errorf("wait bounds %v to %v are not in order", least, greatest)
		}
		s.minWait = least
		s.maxWait = greatest
		return nil
	}
}
