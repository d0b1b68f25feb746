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

// ErrOptions says that the options of a process are not complete.
var ErrOptions = eris.New("incomplete gateway options")

// Catalog decodes what the key-value service tells of routes and targets.
type Catalog struct {
	// Prefix begins all keys that are followed, RoutesPrefix and TargetsPrefix those of the configuration and of the targets.
	Prefix        string
	RoutesPrefix  string
	TargetsPrefix string
	// Routes decodes a configuration; ok is false for a key that holds none.
	Routes func(e waxwingpick.Entry) (t *routetable.Table, ok bool, err error)
	// Target decodes a target; it fails for an entry that names none to use.
	Target func(e waxwingpick.Entry) (waxwingpick.Target, error)
	// TargetID returns the target that a key is about.
	TargetID func(key string) waxwingpick.TargetID
}

// Options is what a gateway is made of.
type Options struct {
	Instance waxwingpick.InstanceID
	Zone     waxwingpick.AvailabilityZone
	Feed     waxwingpick.KeyFeed
	Catalog  Catalog
	Targets  waxwingpick.Dispatcher
	// Peers is the link to other gateways, which find this one at PeerAddr through the key-value service; nil where there
	// is none.
	Peers    waxwingpick.PeerLink
	PeerAddr string
	KeyValue waxwingpick.KeyValue
	Timers   waxwingpick.Timers
	Log      *logrus.Logger
	Metrics  *prometheus.Gateway
	// Decisions takes what is decided about requests; nil keeps none of it.
	Decisions waxwingpick.DecisionLog
	// Retries bounds what all gateways may send once more.
	Retries retry.Bounds
	// LameDuck is how long a stopping process still takes requests, until callers and balancer have gone elsewhere.
	LameDuck time.Duration
	// End is how long after its stop the process is ended whatever runs; zero where it is not.
	End time.Duration
}

func (o Options) check() error {
	if o.Instance == "" || o.Feed == nil || o.Targets == nil || o.Timers == nil || o.Log == nil || o.Metrics == nil {
		return eris.Wrap(ErrOptions, "instance, feed, targets, timers, log or metrics")
	}
	if o.Peers != nil && (o.KeyValue == nil || o.PeerAddr == "") {
		return eris.Wrap(ErrOptions, "key-value service or address of the link to other gateways")
	}
	return o.Retries.Check()
}
