package records

import (
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/internal/instancelist"
)

// The periods of a Runner.
const (
	// callTimeout bounds one call of the key-value service or of a peer.
	callTimeout = time.Second
	// rereadPeriod is the mean time between two reads of the records by all entries together.
	rereadPeriod = 2 * time.Second
	// watchRetryDelay is the first delay before a broken watch is opened again; it doubles up to maxWatchRetryDelay.
	watchRetryDelay    = 500 * time.Millisecond
	maxWatchRetryDelay = 10 * time.Second
	// learnDelay is the mean time after which a process that learned nothing from its peers reads the records itself.
	learnDelay = time.Second
	// maxServices bounds the plans that one read lists.
	maxServices = 64
)

// Instances returns the newest known list of instances of the platform.
type Instances func() []waxwingpick.Instance

// Option sets up a Runner.
type Option func(*Runner) error

// WithLog sets the log.
func WithLog(log logrus.FieldLogger) Option {
	return func(r *Runner) error {
		r.log = log
		return nil
	}
}

// WithList lets the process's copy of the platform's list travel with the records; nil lets none travel.
func WithList(list *instancelist.Runner) Option {
	return func(r *Runner) error {
		r.list = list
		return nil
	}
}
