package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/drain"
	"waxwingpick/core/routetable"
	"waxwingpick/core/targetlist"
	"waxwingpick/core/trail"
)

// expiryPeriod is the time between two looks for targets whose entries did not come back.
const expiryPeriod = 100 * time.Millisecond

var errNotReady = eris.New("not ready")

var _ waxwingpick.Gateway = (*Process)(nil)

// Process is one entry that sends requests straight to targets.
type Process struct {
	options Options
	timers  waxwingpick.Timers
	log     *logrus.Entry
	trails  *trail.Log
	gate    *drain.Gate
	crashes *crashes

	table atomic.Pointer[routetable.Table]

	listMu sync.Mutex
	list   *targetlist.List
	listed bool
	// known says that the targets were handed to the services of a configuration, so that requests find them.
	known atomic.Bool

	servicesMu sync.RWMutex
	services   map[waxwingpick.ServiceName]*service

	// gateways is how many gateways are listed; zero as long as that is not known.
	gateways atomic.Int64

	lifecycle context.Context
	end       context.CancelFunc
	loops     conc.WaitGroup
	stops     []func()
}

// New returns a gateway that does not serve yet.
func New(o Options) (*Process, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	p := &Process{
		options:  o,
		timers:   o.Timers,
		log:      o.Log.WithField("instance", o.Instance),
		trails:   trail.New(o.Decisions, o.Instance),
		list:     targetlist.New(),
		services: make(map[waxwingpick.ServiceName]*service),
	}
	var err error
	if p.gate, err = drain.New(drain.WithLameDuck(o.LameDuck), drain.WithEnd(o.End)); err != nil {
		return nil, fmt.Errorf("create drain gate: %w", err)
	}
	if p.crashes, err = newCrashes(p); err != nil {
		return nil, err
	}
	p.lifecycle, p.end = context.WithCancel(context.Background())
	return p, nil
}

// Start follows the configuration and the targets until Stop.
func (p *Process) Start() {
	sinks := []sink{
		&routesSink{
			process: p,
		},
		&targetsSink{
			process: p,
		},
	}
	p.stops = append(p.stops, p.timers.Every(expiryPeriod, p.expireTargets))
	if p.options.Peers != nil {
		g := newGossip(p)
		g.follower = newFollower(p, append(sinks, g.peers)...)
		g.start()
		p.loops.Go(g.follower.run)
		return
	}
	p.loops.Go(newFollower(p, sinks...).run)
}

// Drain turns readiness off and waits until no request runs, or ctx ends.
func (p *Process) Drain(ctx context.Context) {
	p.gate.Stop(p.timers.Now())
	p.log.WithField("running", p.gate.Running()).Info("entry stops: not ready")
	p.gate.Await(ctx, p.timers)
}

// Stop ends what still runs.
func (p *Process) Stop() error {
	running := p.gate.Running()
	for _, stop := range p.stops {
		stop()
	}
	p.end()
	if p.options.Peers != nil {
		if err := p.options.Peers.Close(); err != nil {
			p.log.WithField("error", err.Error()).Warn("link to other gateways not closed")
		}
	}
	p.loops.Wait()
	p.log.WithField("cut", running).Info("entry stopped")
	if running > 0 {
		return eris.Errorf("entry stopped with %d requests running", running)
	}
	return nil
}

// Ready returns nil where new connections may come.
func (p *Process) Ready() error {
	switch {
	case !p.gate.Ready():
		return fmt.Errorf("%w: stopping", errNotReady)
	case !p.known.Load():
		return fmt.Errorf("%w: configuration or targets not known", errNotReady)
	}
	return nil
}

// Stopping reports whether connections are to end with their next answer.
func (p *Process) Stopping() bool {
	return !p.gate.Ready()
}

// service returns what is known of a service's targets; nil where the configuration does not name it.
func (p *Process) service(name waxwingpick.ServiceName) *service {
	p.servicesMu.RLock()
	defer p.servicesMu.RUnlock()
	return p.services[name]
}

// allServices returns what is known of every service.
func (p *Process) allServices() []*service {
	p.servicesMu.RLock()
	defer p.servicesMu.RUnlock()
	return slices.Collect(maps.Values(p.services))
}

// setGateways tells how many gateways there are, this one among them.
func (p *Process) setGateways(now time.Time, n int) {
	p.gateways.Store(int64(n))
	p.options.Metrics.Sharing(n)
	for _, s := range p.allServices() {
		s.setGateways(now, n)
	}
}

// newRandom returns a source that differs between processes, so that their jitter does.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Running returns the number of requests that run.
func (p *Process) Running() int {
	return p.gate.Running()
}
