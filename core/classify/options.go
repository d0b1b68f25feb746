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

// Workspaces sets the maximum number of workspaces with recorded token counts.
func Workspaces(n int) Option {
	return func(s *settings) error {
		if n < shardCount {
			return eris.Errorf("workspaces %d is under %d", n, shardCount)
		}
		s.workspaces = n
		return nil
	}
}

// Quantile sets the quantile of the recorded output tokens that is used as the estimate.
func Quantile(q float64) Option {
	return func(s *settings) error {
		if q <= 0 || q >= 1 {
			return eris.Errorf("quantile %v is not between 0 and 1", q)
		}
		s.quantile = q
		return nil
	}
}

// LongFrom sets the numbers of prompt and output tokens from which a request is in the long class.
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

// WaitBounds sets the minimum and the maximum wait that a caller may request.
func WaitBounds(minimum, maximum time.Duration) Option {
	return func(s *settings) error {
		if minimum <= 0 || maximum < minimum {
			return eris.Errorf("wait bounds %v and %v must be positive and in ascending order", minimum, maximum)
		}
		s.minWait = minimum
		s.maxWait = maximum
		return nil
	}
}
