package entry

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/internal/authority"
	"waxwingpick/io/mtls"
)

// ErrOptions says that the options of a process are not complete.
var ErrOptions = eris.New("incomplete entry options")

// Options is what an entry process is made of.
type Options struct {
	// Fleet names the fleet; processes of another take no calls from this one.
	Fleet    string
	Instance waxwingpick.InstanceID
	Zone     waxwingpick.AvailabilityZone
	// Listen is the callers' IP address and port, Control that of control calls.
	Listen   string
	Control  string
	KeyValue waxwingpick.KeyValue
	Platform waxwingpick.Platform
	// OwnList says that the platform's list differs by who reads it, so that the process takes none from others.
	OwnList bool
	// Credentials secures the connections to and from other processes, CallerCredentials those of callers; nil leaves
	// them plain.
	Credentials       *mtls.Credentials
	CallerCredentials *mtls.Credentials
	Timers            waxwingpick.Timers
	// Policy decides the roles and models of engines; nil takes the role policy of the presets.
	Policy authority.Policy
	Log    *logrus.Logger
	// Decisions takes what is decided about requests; nil keeps none of it.
	Decisions waxwingpick.DecisionLog
	// LogDropped returns how many log lines of a class found no room; nil where nothing is counted.
	LogDropped func(lane waxwingpick.Lane) uint64
	// LameDuck is how long a stopping entry still takes requests, until its balancer has seen that it is not ready.
	LameDuck time.Duration
	// MaxBody bounds request bodies, in bytes.
	MaxBody int
}

func (o Options) check() error {
	if o.Instance == "" || o.Listen == "" || o.Control == "" {
		return eris.Wrap(ErrOptions, "instance, listen or control")
	}
	if o.KeyValue == nil || o.Platform == nil || o.Timers == nil || o.Log == nil {
		return eris.Wrap(ErrOptions, "key-value service, platform, timers or log")
	}
	return nil
}
