package quota

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// defaultWorkspaces is the default number of workspaces that are tracked.
const defaultWorkspaces = 8192

// ErrOption is returned for an option that is out of bounds.
var ErrOption = eris.New("quota option out of bounds")

// Option sets one property of a Checker or an Owner.
type Option func(*settings) error

type settings struct {
	workspaces int
}

// Workspaces bounds the number of tracked workspaces. The least recently used one is evicted first.
func Workspaces(n int) Option {
	return func(s *settings) error {
		if n < 1 {
			return eris.Wrapf(ErrOption, "workspaces %d", n)
		}
		s.workspaces = n
		return nil
	}
}

func newSettings(opts []Option) (settings, error) {
	s := settings{
		workspaces: defaultWorkspaces,
	}
	for _, opt := range opts {
		if err := opt(&s); err != nil {
			return s, fmt.Errorf("quota: %w", err)
		}
	}
	return s, nil
}
