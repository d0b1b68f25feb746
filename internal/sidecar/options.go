package sidecar

import (
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/io/mtls"
)

// ErrOptions says that the options of a process are not complete.
var ErrOptions = eris.New("incomplete sidecar options")

// Options is what a sidecar process is made of.
type Options struct {
	// Fleet names the fleet; processes of another take no calls from this one.
	Fleet    string
	Instance waxwingpick.InstanceID
	Target   waxwingpick.TargetID
	Service  waxwingpick.ServiceName
	Zone     waxwingpick.AvailabilityZone
	// Control and Data are the IP addresses and ports to listen on.
	Control string
	Data    string
	// Engine is set beside a model engine, Plain beside a plain service.
	Engine waxwingpick.Engine
	Plain  waxwingpick.PlainService
	// Alive reports whether a plain service takes connections.
	Alive    func() bool
	KeyValue waxwingpick.KeyValue
	Platform waxwingpick.Platform
	// OwnList says that the platform's list differs by who reads it, so that the process takes none from others.
	OwnList bool
	// Credentials secures the connections to and from other processes; nil leaves them plain.
	Credentials *mtls.Credentials
	Timers      waxwingpick.Timers
	Log         *logrus.Logger
	// Decisions takes what is decided about attempts; nil keeps none of it.
	Decisions waxwingpick.DecisionLog
	// LogDropped returns how many log lines of a class found no room; nil where nothing is counted.
	LogDropped func(lane waxwingpick.Lane) uint64
	// MaxBody bounds request bodies, in bytes.
	MaxBody int
	// OrderAnswerBytes bounds the answers of orders that are kept for resends; zero takes the default.
	OrderAnswerBytes int
	// MaxConcurrent bounds the requests that the target runs at once; zero takes the default.
	MaxConcurrent int
	// Pieces and PieceTokens describe the engine's memory; zero pieces means no bound.
	Pieces      int
	PieceTokens int
}

func (o Options) check() error {
	if o.Target == "" || o.Service == "" || o.Instance == "" {
		return eris.Wrap(ErrOptions, "instance, target or service")
	}
	if (o.Engine == nil) == (o.Plain == nil) {
		return eris.Wrap(ErrOptions, "exactly one of engine and plain service")
	}
	if o.KeyValue == nil || o.Platform == nil || o.Timers == nil || o.Log == nil {
		return eris.Wrap(ErrOptions, "key-value service, platform, timers or log")
	}
	return nil
}
