package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/callbudget"
	"waxwingpick/core/drain"
	"waxwingpick/core/ledger"
	"waxwingpick/core/suspect"
	"waxwingpick/core/timer"
	"waxwingpick/core/trail"
	"waxwingpick/internal/dependency"
	"waxwingpick/internal/instancelist"
	"waxwingpick/internal/records"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/prometheus"
	"waxwingpick/io/sidecar"
)

const (
	retryAfterModel = 2 * time.Second
	retryAfterCrash = time.Second
	statePeriod     = 500 * time.Millisecond
	// minConcurrent and maxConcurrent bound the adaptive number of concurrent calls to a plain service.
	minConcurrent  = 4
	maxConcurrent  = 256
	stopPollPeriod = 50 * time.Millisecond
	// maxTrackedOrders bounds the tracked orders. maxOrderResponseBytes is the default limit of their
	// kept responses, in bytes.
	maxTrackedOrders      = 16 << 10
	maxOrderResponseBytes = 4 << 20
	// orderResponseGrace is how long a stopping sidecar still serves resends of its last orders.
	orderResponseGrace = time.Second
)

var errEntryDisconnected = eris.New("entry disconnected")

// Process is the sidecar of one target.
type Process struct {
	options       Options
	target        waxwingpick.TargetID
	engine        waxwingpick.Engine
	plain         waxwingpick.PlainService
	timers        waxwingpick.Timers
	log           *logrus.Entry
	admitter      *admitter
	streams       *streams
	activeStreams *activeStreams
	exports       *transfers
	imports       *transfers
	guard         *ledger.Guard
	trails        *trail.Log
	gate          *drain.Gate
	metrics       *prometheus.Metrics
	kv            waxwingpick.KeyValue
	budget        *callbudget.Client
	crashes       *crashes
	// engineStatus logs when the engine becomes unreachable or reachable.
	engineStatus   *dependency.Dependency
	list           *instancelist.Runner
	records        *records.Runner
	drainRequested atomic.Bool
	totals         totals
	data           *sidecar.Server
	control        *jsonrpc.Server
	client         *jsonrpc.Client
	peers          *sidecar.Client
	work           conc.WaitGroup
	loops          conc.WaitGroup
	stops          []func()

	mu              sync.Mutex
	active          waxwingpick.Option[waxwingpick.EngineConfig]
	directTransfers bool
	idleAt          time.Time
	dataAddr        string
	ctrlAddr        string
	lifecycle       context.Context
	cancelLifecycle context.CancelFunc
}

// New returns a sidecar process that is not started.
func New(o Options) (*Process, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	p := &Process{
		options:       o,
		target:        o.Target,
		engine:        o.Engine,
		plain:         o.Plain,
		timers:        o.Timers,
		streams:       newStreams(),
		activeStreams: newActiveStreams(),
		trails:        trail.New(o.Decisions, o.Instance),
		log: o.Log.WithFields(logrus.Fields{
			"instance": o.Instance,
			"target":   o.Target,
		}),
	}
	p.engineStatus = dependency.New("engine", p.timers, p.log)
	p.lifecycle, p.cancelLifecycle = context.WithCancel(context.Background())
	if err := p.createComponents(); err != nil {
		return nil, fmt.Errorf("create sidecar: %w", err)
	}
	return p, nil
}

func (p *Process) createComponents() error {
	var opts []admission.Option
	if p.options.MaxConcurrent > 0 {
		opts = append(opts, admission.Slots(p.options.MaxConcurrent))
	}
	if p.options.KVBlocks > 0 {
		opts = append(opts, admission.Memory(p.options.KVBlocks, p.options.KVBlockTokens))
	}
	if p.plain != nil {
		limiter, err := admission.NewLimiter(minConcurrent, max(minConcurrent, cmp.Or(p.options.MaxConcurrent, maxConcurrent)))
		if err != nil {
			return fmt.Errorf("create concurrency limiter: %w", err)
		}
		opts = append(opts, admission.Adaptive(limiter))
	}
	ctl, err := admission.New(opts...)
	if err != nil {
		return fmt.Errorf("create admission: %w", err)
	}
	p.admitter = newAdmitter(ctl, p.timers)
	if p.exports, err = newTransfers(p.timers); err != nil {
		return err
	}
	if p.imports, err = newTransfers(p.timers); err != nil {
		return err
	}
	p.totals.processID = uuid.NewString()
	p.guard, err = ledger.NewGuard(p.totals.processID, p.timers.Now(),
		ledger.WithGuardMemory(maxTrackedOrders, cmp.Or(p.options.OrderResponseBytes, maxOrderResponseBytes)))
	if err != nil {
		return fmt.Errorf("create order guard: %w", err)
	}
	p.gate, err = drain.New()
	if err != nil {
		return fmt.Errorf("create drain gate: %w", err)
	}
	p.crashes, err = newCrashes()
	if err != nil {
		return err
	}
	p.client, err = jsonrpc.NewClient(jsonrpc.Fleet(p.options.Fleet), jsonrpc.WithCredentials(p.options.Credentials))
	if err != nil {
		return err
	}
	p.metrics, err = prometheus.New()
	if err != nil {
		return fmt.Errorf("create metrics: %w", err)
	}
	if err := p.metrics.Runtime(); err != nil {
		return fmt.Errorf("create runtime metrics: %w", err)
	}
	p.metrics.OrderResponses(p.guard.AnswerBytes)
	p.metrics.LogDropped(p.options.LogDropped)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.budget, err = callbudget.New(p.options.KeyValue, p.timers, random,
		callbudget.WithObserver(dependency.New("keyValue", p.timers, p.log).Observe))
	if err != nil {
		return fmt.Errorf("create key-value budget: %w", err)
	}
	p.kv = p.metrics.KeyValue(p.budget)
	p.metrics.Credentials("processes", p.options.Credentials)
	p.peers, err = sidecar.NewClient(p.options.Fleet, p.options.MaxBody, sidecar.WithCredentials(p.options.Credentials))
	if err != nil {
		return err
	}
	p.data = sidecar.NewServer(p, sidecar.Identity{
		Fleet:  p.options.Fleet,
		Target: p.options.Target,
	}, sidecar.Limits{
		Body:    p.options.MaxBody,
		Attempt: p.maxAttemptSize(),
	}, p.timers, p.metrics.Registry(), sidecar.ServeWith(p.options.Credentials))
	p.control = jsonrpc.NewServer(p.options.Fleet, jsonrpc.WithServerCredentials(p.options.Credentials))
	p.registerControl()
	return p.createRunners()
}

// maxAttemptSize returns the maximum size of attempts sent by entries, in bytes.
func (p *Process) maxAttemptSize() int {
	if p.engine != nil {
		return sidecar.MaxModelAttemptSize
	}
	return sidecar.MaxAttemptSize
}

// Start reads the engine's state and begins to serve until Stop is called. Records are synchronized in the background.
func (p *Process) Start() error {
	// The first report includes the engine's configuration, so its state is read before probes are accepted.
	p.pollState(p.timers.Now())
	var err error
	p.ctrlAddr, err = p.control.Start(p.options.Control)
	if err != nil {
		return fmt.Errorf("start control server: %w", err)
	}
	p.startRunners()
	p.stops = append(p.stops,
		p.timers.Every(statePeriod, p.pollState),
		p.timers.Every(movePollPeriod, p.moveStreams))
	p.dataAddr, err = p.data.Start(p.options.Data)
	if err != nil {
		return fmt.Errorf("start data server: %w", err)
	}
	p.log.WithFields(logrus.Fields{
		"control": p.ctrlAddr,
		"data":    p.dataAddr,
	}).Info("sidecar started")
	return nil
}

// ControlAddr returns the bound address of control calls.
func (p *Process) ControlAddr() string {
	return p.ctrlAddr
}

// DataAddr returns the bound address of request bodies and streams.
func (p *Process) DataAddr() string {
	return p.dataAddr
}

// Incarnation returns the incarnation that claims of orders must name now.
func (p *Process) Incarnation() string {
	return p.guard.Incarnation(p.timers.Now())
}

// ConfigRevision returns the revision of the accepted configuration.
func (p *Process) ConfigRevision() int64 {
	return p.configRevision()
}

// Running returns the number of running and waiting requests at the target.
func (p *Process) Running() int {
	return p.gate.Running()
}

// Stop refuses new work, waits for running requests until ctx ends, and stops serving.
func (p *Process) Stop(ctx context.Context) error {
	p.gate.Stop(p.timers.Now())
	p.updateAdmission()
	p.log.WithField("running", p.gate.Running()).Info("sidecar is stopping and refuses new work")
	for p.gate.Phase(p.timers.Now()) == drain.PhaseStopping {
		if !p.pause(ctx, stopPollPeriod) {
			break
		}
	}
	running := p.gate.Running()
	if p.plain != nil {
		// Entries write the responses of orders to the claims after responding to the callers. Until then a resend needs this
		// sidecar.
		p.pause(ctx, orderResponseGrace)
	}
	for _, stop := range p.stops {
		stop()
	}
	p.cancelLifecycle()
	p.loops.Wait()
	err := p.data.Shutdown(ctx)
	p.control.Close()
	p.client.Close()
	p.peers.Close()
	p.log.WithField("cut", running).Info("sidecar stopped")
	if running > 0 {
		return eris.Errorf("sidecar stopped with %d requests running", running)
	}
	return err
}

// pause waits for d and reports whether ctx is still active.
func (p *Process) pause(ctx context.Context, d time.Duration) bool {
	return timer.Sleep(ctx, p.timers, d)
}

// admitToGate admits a request unless the target is leaving or the request is a crash suspect that may not run.
func (p *Process) admitToGate(a sidecar.Attempt, movable bool) *waxwingpick.Refusal {
	now := p.timers.Now()
	if err := p.gate.Enter(now, a.ID, movable); err != nil {
		return asRefusal(err)
	}
	if a.Suspicion != nil {
		p.crashes.merge(now, []suspect.Record{*a.Suspicion})
	}
	if refusal := p.crashes.enter(now, a.ID, a.Fingerprint); refusal != nil {
		p.gate.Done(a.ID)
		return refusal
	}
	return nil
}

func (p *Process) releaseGate(id string) {
	p.gate.Done(id)
	p.crashes.leave(id)
}

// transfersDirectly reports whether the engine supports fetching KV cache directly between engines.
func (p *Process) transfersDirectly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directTransfers
}

func (p *Process) activeConfig() (waxwingpick.EngineConfig, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active.Get()
}

// pollState reads the engine's configuration and detects restarts.
func (p *Process) pollState(time.Time) {
	if p.engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.lifecycle, stateTimeout)
	defer cancel()
	state, err := p.engine.State(ctx)
	if p.lifecycle.Err() == nil {
		p.engineStatus.Observe(err)
	}
	if err != nil {
		return
	}
	p.mu.Lock()
	p.active = waxwingpick.Some(state.Active)
	p.directTransfers = state.KVAddress != ""
	p.mu.Unlock()
	p.metrics.Role(state.Active.Role)
	previous := p.crashes.setBootID(state.BootID)
	if previous != "" && previous != state.BootID {
		p.recordCrash(previous, "", waxwingpick.ErrEngineLost)
	}
}
