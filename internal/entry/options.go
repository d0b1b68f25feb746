package entry

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/internal/authority"
	"waxwingpick/io/mtls"
)

// ErrOptions is returned for incomplete process options.
var ErrOptions = eris.New("incomplete entry options")

// Options configures an entry process.
type Options struct {
	// Fleet is the name of the fleet. Processes of other fleets reject calls from this one.
	Fleet    string
	Instance waxwingpick.InstanceID
	Zone     waxwingpick.AvailabilityZone
	// Listen is the IP address and port for callers, Control those for control calls.
	Listen   string
	Control  string
	KeyValue waxwingpick.KeyValue
	Platform waxwingpick.Platform
	// IndependentList is set if the platform's list depends on the reader. The process then does not accept lists from
	// peers.
	IndependentList bool
	// Credentials secures connections to and from other processes, CallerCredentials those of callers. Connections are
	// unencrypted if they are nil.
	Credentials       *mtls.Credentials
	CallerCredentials *mtls.Credentials
	Timers            waxwingpick.Timers
	// Policy decides the roles and models of engines. The role policy of the presets is used if it is nil.
	Policy authority.Policy
	Log    *logrus.Logger
	// Decisions receives the decisions about requests. They are discarded if it is nil.
	Decisions waxwingpick.DecisionLog
	// LogDropped returns the number of log lines of a class that were dropped because its buffer was full; nil if they are
	// not counted.
	LogDropped func(class waxwingpick.LogClass) uint64
	// LameDuck is how long a stopping entry still accepts requests, so that its load balancer can observe that it is not
	// ready.
	LameDuck time.Duration
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
}

func (o Options) validate() error {
	if o.Instance == "" || o.Listen == "" || o.Control == "" {
		return eris.Wrap(ErrOptions, "instance, listen or control")
	}
	if o.KeyValue == nil || o.Platform == nil || o.Timers == nil || o.Log == nil {
		return eris.Wrap(ErrOptions, "key-value service, platform, timers or log")
	}
	return nil
}
