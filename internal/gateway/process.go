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

// dutyReleaseTimeout bounds the wait for the release of a duty at a stop. A duty that is not released ends with its lease.
const dutyReleaseTimeout = time.Second

// targetExpiryInterval is the time between two checks for targets whose entries were not written again.
const targetExpiryInterval = 100 * time.Millisecond

var errNotReady = eris.New("not ready")

var _ waxwingpick.Gateway = (*Process)(nil)

// Process is an entry that sends requests directly to targets.
type Process struct {
	options      Options
	timers       waxwingpick.Timers
	log          *logrus.Entry
	trails       *trail.Log
	gate         *drain.Gate
	crashTracker *crashTracker
	endChecker   *endChecker
	statements   *statements
	// follower is set by Start, as are gossip and peers if there are other gateways, and usage if it is reported.
	follower *follower
	gossip   *gossip
	peers    *peers
	usage    *usageHost
	// shares is nil unless requests may be shared with other zones.
	shares *zoneShares

	table atomic.Pointer[routetable.Table]

	listMu        sync.Mutex
	list          *targetlist.List
	targetsListed bool
	// targetsApplied is set once the services of a configuration have their targets. Requests find no targets before
	// that.
	targetsApplied atomic.Bool

	servicesMu sync.RWMutex
	services   map[waxwingpick.ServiceName]*service

	// gatewayCount is the number of listed gateways including this one; zero until it is determined.
	gatewayCount atomic.Int64

	lifecycle context.Context
	cancel    context.CancelFunc
	// requests ends when Abort ends all running requests.
	requests context.Context
	abort    context.CancelFunc
	loops    conc.WaitGroup
	stops    []func()
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
	p.statements = newStatements(p)
	var err error
	if p.gate, err = drain.New(drain.WithLameDuck(o.LameDuck), drain.WithEnd(o.StopTimeout)); err != nil {
		return nil, fmt.Errorf("create drain gate: %w", err)
	}
	p.crashTracker = newCrashTracker(p)
	p.endChecker = newEndChecker(p)
	p.lifecycle, p.cancel = context.WithCancel(context.Background())
	p.requests, p.abort = context.WithCancel(context.Background())
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
	p.stops = append(p.stops, p.timers.Every(targetExpiryInterval, p.expireTargets))
	if p.options.Usage != nil {
		h := newDutyHost(p, usageDuty, dutyTerms(p.options.DutyLease, p.options.Thaw))
		p.usage = newUsageHost(p, h)
		sinks = append(sinks, h)
	}
	if p.options.Peers != nil {
		p.gossip = newGossip(p)
		p.peers = p.gossip.peers
		sinks = append(sinks, p.peers)
	}
	p.follower = newFollower(p, sinks...)
	if p.gossip != nil {
		p.gossip.follower = p.follower
		p.gossip.start()
	}
	if p.usage != nil {
		p.stops = append(p.stops,
			p.timers.Every(dutyInterval, p.usage.duty.step),
			p.timers.Every(usageInterval, p.usage.sendUsage),
			p.timers.Every(usageStepInterval, p.usage.step))
	}
	p.loops.Go(p.follower.run)
	p.loops.Go(p.follower.probe)
	p.stops = append(p.stops, p.timers.Every(statementsInterval, p.statements.sync), p.timers.Every(suspectsInterval, p.crashTracker.count))
}

// Drain turns readiness off and waits until no request runs or ctx ends.
func (p *Process) Drain(ctx context.Context) {
	p.gate.Stop(p.timers.Now())
	if p.usage != nil {
		p.usage.duty.stop()
	}
	p.log.WithField("running", p.gate.Running()).Info("entry is stopping and no longer ready")
	p.gate.Await(ctx, p.timers)
	if p.usage != nil {
		p.usage.duty.awaitRelease(ctx, dutyReleaseTimeout)
	}
}

// Abort ends the requests that still run, because the process is about to end. Each fails with what is known of its run.
func (p *Process) Abort() {
	if running := p.gate.Running(); running > 0 {
		p.log.WithField("running", running).Warn("entry ends the requests that still run")
	}
	p.abort()
}

// Stop ends the process, including requests that still run. It returns an error if there were any.
func (p *Process) Stop() error {
	running := p.gate.Running()
	for _, stop := range p.stops {
		stop()
	}
	if p.usage != nil {
		p.usage.sendUsage(p.timers.Now())
	}
	p.cancel()
	if p.options.Peers != nil {
		if err := p.options.Peers.Close(); err != nil {
			p.log.WithField("error", err.Error()).Warn("closing the link to other gateways failed")
		}
	}
	p.loops.Wait()
	p.log.WithField("cut", running).Info("entry stopped")
	if running > 0 {
		return eris.Errorf("entry stopped with %d requests running", running)
	}
	return nil
}

// Ready returns nil if the process accepts new connections.
func (p *Process) Ready() error {
	switch {
	case !p.gate.Ready():
		return fmt.Errorf("%w: stopping", errNotReady)
	case !p.targetsApplied.Load():
		return fmt.Errorf("%w: configuration or targets not loaded", errNotReady)
	}
	return nil
}

// Stopping reports whether connections are to be closed after their next response.
func (p *Process) Stopping() bool {
	return !p.gate.Ready()
}

// service returns the service with its targets; nil if the configuration does not contain it.
func (p *Process) service(name waxwingpick.ServiceName) *service {
	p.servicesMu.RLock()
	defer p.servicesMu.RUnlock()
	return p.services[name]
}

// allServices returns all configured services.
func (p *Process) allServices() []*service {
	p.servicesMu.RLock()
	defer p.servicesMu.RUnlock()
	return slices.Collect(maps.Values(p.services))
}

// setGateways sets the number of gateways, including this one.
func (p *Process) setGateways(now time.Time, n int) {
	p.gatewayCount.Store(int64(n))
	p.options.Metrics.Sharing(n)
	for _, s := range p.allServices() {
		s.setGateways(now, n)
	}
}

// newRandom returns a randomly seeded source, so that the jitter differs between processes.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Running returns the number of running requests.
func (p *Process) Running() int {
	return p.gate.Running()
}
