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
	// rereadPeriod is the mean time between two reads of the records, over all entries.
	rereadPeriod = 2 * time.Second
	// watchRetryDelay is the initial delay before a broken watch is reopened. It doubles up to maxWatchRetryDelay.
	watchRetryDelay    = 500 * time.Millisecond
	maxWatchRetryDelay = 10 * time.Second
	// initialReadDelay is the mean time after which a process that has received no records from peers reads them itself.
	initialReadDelay = time.Second
	// maxServices is the maximum number of plans returned by one read.
	maxServices = 64
)

// Instances returns the latest known instance list of the platform.
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

// WithList includes the process's copy of the platform's list in exchanges. With nil, no list is exchanged.
func WithList(list *instancelist.Runner) Option {
	return func(r *Runner) error {
		r.list = list
		return nil
	}
}
