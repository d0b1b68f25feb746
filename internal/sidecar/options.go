package sidecar

import (
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/io/mtls"
)

// ErrOptions is returned for incomplete process options.
var ErrOptions = eris.New("incomplete sidecar options")

// Options configures a sidecar process.
type Options struct {
	// Fleet is the name of the fleet. Processes of other fleets reject calls from this one.
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
	// Alive reports whether a plain service accepts connections.
	Alive    func() bool
	KeyValue waxwingpick.KeyValue
	Platform waxwingpick.Platform
	// IndependentList is set if the platform's list depends on the reader. The process then does not accept lists from
	// peers.
	IndependentList bool
	// Credentials secures connections to and from other processes. Connections are unencrypted if it is nil.
	Credentials *mtls.Credentials
	Timers      waxwingpick.Timers
	Log         *logrus.Logger
	// Decisions receives the decisions about attempts. They are discarded if it is nil.
	Decisions waxwingpick.DecisionLog
	// LogDropped returns the number of log lines of a class that were dropped because its buffer was full; nil if they are
	// not counted.
	LogDropped func(class waxwingpick.LogClass) uint64
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// OrderResponseBytes is the maximum total size of order responses kept for resends, in bytes; zero uses the default.
	OrderResponseBytes int
	// MaxConcurrent is the maximum number of concurrent requests at the target; zero uses the default.
	MaxConcurrent int
	// KVBlocks is the number of KV cache blocks in the engine's memory, and KVBlockTokens the number of tokens that one
	// block holds. Zero blocks means no limit.
	KVBlocks      int
	KVBlockTokens int
}

func (o Options) validate() error {
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
