package http1

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Apply applies options to a client's settings in order.
func Apply[S any, O ~func(*S) error](settings *S, opts []O) error {
	for _, opt := range opts {
		if err := opt(settings); err != nil {
			return fmt.Errorf("client option: %w", err)
		}
	}
	return nil
}

// Positive returns an option that sets a field to a positive value, and fails for any other value.
func Positive[S any, T int | time.Duration](name string, value T, field func(*S) *T) func(*S) error {
	return func(s *S) error {
		if value <= 0 {
			return eris.Errorf("%s %v: must be positive", name, value)
		}
		*field(s) = value
		return nil
	}
}
