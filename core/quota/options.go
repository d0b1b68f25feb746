package quota

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// defaultWorkspaces is the number of workspaces that are remembered where no option says otherwise.
const defaultWorkspaces = 8192

// ErrOption says that an option is out of its bounds.
var ErrOption = eris.New("quota option out of bounds")

// Option sets one property of a checker or an owner.
type Option func(*settings) error

type settings struct {
	workspaces int
}

// Workspaces bounds the workspaces that are remembered; the one that was seen longest ago is forgotten first.
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
