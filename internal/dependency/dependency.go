package dependency

import (
	"sync"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/outage"
)

// Dependency tracks the availability of an external service that the process needs. It is safe for concurrent use.
type Dependency struct {
	log    logrus.FieldLogger
	timers waxwingpick.Timers

	mu      sync.Mutex
	tracker *outage.Tracker
}

// New returns a dependency. Its name is the value of the log field "dependency".
func New(name string, timers waxwingpick.Timers, log logrus.FieldLogger) *Dependency {
	return &Dependency{
		log:     log.WithField("dependency", name),
		timers:  timers,
		tracker: outage.NewTracker(outage.DefaultThreshold),
	}
}

// Observe records the result of a call. Any response from the dependency counts as success, and err is nil for it.
func (d *Dependency) Observe(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change, changed := d.tracker.Observe(d.timers.Now(), err)
	if !changed {
		return
	}
	log := d.log.WithFields(logrus.Fields{
		"failures": change.Failures,
		"millis":   change.Lasted.Milliseconds(),
	})
	if change.Lost {
		log.WithError(change.Err).Warn("dependency lost")
		return
	}
	log.Info("dependency is back")
}
