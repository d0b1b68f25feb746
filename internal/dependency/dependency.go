package dependency

import (
	"sync"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/outage"
)

// Dependency is something that a process calls and rests on; it is safe for concurrent use.
type Dependency struct {
	log    logrus.FieldLogger
	timers waxwingpick.Timers

	mu      sync.Mutex
	tracker *outage.Tracker
}

// New returns a dependency by the name that its log lines have.
func New(name string, timers waxwingpick.Timers, log logrus.FieldLogger) *Dependency {
	return &Dependency{
		log:     log.WithField("dependency", name),
		timers:  timers,
		tracker: outage.NewTracker(outage.DefaultAfter),
	}
}

// Observe takes the end of a call, with no error where the dependency answered, whatever it said.
func (d *Dependency) Observe(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	turn, turned := d.tracker.Observe(d.timers.Now(), err)
	if !turned {
		return
	}
	log := d.log.WithFields(logrus.Fields{
		"failures": turn.Failures,
		"millis":   turn.Lasted.Milliseconds(),
	})
	if turn.Lost {
		log.WithError(turn.Err).Warn("dependency lost")
		return
	}
	log.Info("dependency is back")
}
