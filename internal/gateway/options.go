package gateway

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/retry"
	"waxwingpick/core/routetable"
	"waxwingpick/io/prometheus"
)

// ErrOptions is returned for incomplete options.
var ErrOptions = eris.New("incomplete gateway options")

// Catalog decodes routes and targets from entries of the key-value service.
type Catalog struct {
	// Prefix is common to all keys that are followed. RoutesPrefix and TargetsPrefix begin the keys of the
	// configuration and of the targets.
	Prefix        string
	RoutesPrefix  string
	TargetsPrefix string
	// Redact returns an entry without what must not be sent to other processes; nil if entries hold nothing of that kind.
	Redact func(e waxwingpick.Entry) waxwingpick.Entry
	// Routes decodes a configuration; ok is false for a key that holds none.
	Routes func(e waxwingpick.Entry) (t *routetable.Table, ok bool, err error)
	// Target decodes a target; it fails for an entry without a usable one.
	Target func(e waxwingpick.Entry) (waxwingpick.Target, error)
	// TargetID returns the ID of the target that a key belongs to.
	TargetID func(key string) waxwingpick.TargetID
}

// Options configures a gateway.
type Options struct {
	Instance waxwingpick.InstanceID
	Zone     waxwingpick.AvailabilityZone
	Feed     waxwingpick.KeyFeed
	Catalog  Catalog
	Targets  waxwingpick.Dispatcher
	// Peers is the link to other gateways, which find this one at PeerAddr through the key-value service; nil if there
	// is none.
	Peers    waxwingpick.PeerLink
	PeerAddr string
	// ZoneShares sends a share of the requests of services with engines to other zones where that pays. It needs Peers.
	ZoneShares bool
	KeyValue   waxwingpick.KeyValue
	Timers     waxwingpick.Timers
	Log        *logrus.Logger
	Metrics    *prometheus.Gateway
	// Decisions records the decisions on requests; nil records none.
	Decisions waxwingpick.DecisionLog
	// Usage receives the reports of the requests of workspaces, which one gateway sends for all; nil if there are none.
	Usage waxwingpick.UsageSink
	// UsageWindow is the length of their windows, and UsageDue the time after the end of a window by which it has to be reported.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// DutyLease is the time within which the holders of a duty must not alternate, and Thaw the time after a suspension of the
	// machine within which it may still act as the holder that it was.
	DutyLease time.Duration
	Thaw      time.Duration
	// Retries bounds the retries of all gateways together.
	Retries retry.Bounds
	// LameDuck is how long a stopping process still accepts requests, until callers and balancer use other instances.
	LameDuck time.Duration
	// StopTimeout is the time after the stop at which the process ends even if requests still run; zero for no limit.
	StopTimeout time.Duration
}

func (o Options) check() error {
	if o.Instance == "" || o.Feed == nil || o.Targets == nil || o.Timers == nil || o.Log == nil || o.Metrics == nil {
		return eris.Wrap(ErrOptions, "instance, feed, targets, timers, log or metrics")
	}
	if o.Peers != nil && (o.KeyValue == nil || o.PeerAddr == "") {
		return eris.Wrap(ErrOptions, "key-value service or address of the link to other gateways")
	}
	if o.Usage != nil && (o.KeyValue == nil || o.UsageWindow <= 0 || o.UsageDue <= 0) {
		return eris.Wrap(ErrOptions, "key-value service, window or due time of usage reports")
	}
	return o.Retries.Check()
}
