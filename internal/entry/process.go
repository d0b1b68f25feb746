package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"waxwingpick"
	"waxwingpick/core/background"
	"waxwingpick/core/callbudget"
	"waxwingpick/core/classify"
	"waxwingpick/core/drain"
	"waxwingpick/core/ledger"
	"waxwingpick/core/retry"
	"waxwingpick/core/suspect"
	"waxwingpick/core/timer"
	"waxwingpick/core/trail"
	"waxwingpick/internal/authority"
	"waxwingpick/internal/dependency"
	"waxwingpick/internal/instancelist"
	"waxwingpick/internal/records"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/mtls"
	"waxwingpick/io/openai"
	"waxwingpick/io/operator"
	"waxwingpick/io/sidecar"
)

var errNotReady = eris.New("not ready")

var _ openai.Backend = (*Process)(nil)

// Process is an entry process.
type Process struct {
	options         Options
	timers          waxwingpick.Timers
	kv              waxwingpick.KeyValue
	budget          *callbudget.Client
	log             *logrus.Entry
	fleet           *fleet
	classifier      *classify.Classifier
	outcomes        *outcomes
	trails          *trail.Log
	suspects        *suspect.Set
	quotas          *quotas
	gate            *drain.Gate
	ledger          *ledger.Ledger
	sweeper         *ledger.Sweeper
	claims          *rate.Limiter
	owners          *ledger.Owners
	list            *instancelist.Runner
	records         *records.Runner
	authority       *authority.Runner
	client          *jsonrpc.Client
	data            *sidecar.Client
	control         *jsonrpc.Server
	callers         *openai.Server
	probeSlots      chan struct{}
	work            background.Group
	loops           conc.WaitGroup
	stops           []func()
	lifecycle       context.Context
	cancelLifecycle context.CancelFunc
	ctrlAddr        string
	callerAddr      string

	// targetsMu prevents an older list from being applied after a newer one.
	targetsMu sync.Mutex

	retryMu sync.Mutex
	retries *retry.Policy
}

// New returns an entry process that is not started.
func New(o Options) (*Process, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	p := &Process{
		options:    o,
		timers:     o.Timers,
		log:        o.Log.WithField("instance", o.Instance),
		fleet:      newFleet(o.Instance, o.Zone),
		probeSlots: make(chan struct{}, maxConcurrentProbes),
		trails:     trail.New(o.Decisions, o.Instance),
		control:    jsonrpc.NewServer(o.Fleet, jsonrpc.WithServerCredentials(o.Credentials)),
	}
	p.lifecycle, p.cancelLifecycle = context.WithCancel(context.Background())
	if err := p.createDecisions(); err != nil {
		return nil, fmt.Errorf("create entry: %w", err)
	}
	if err := p.createRunners(); err != nil {
		return nil, fmt.Errorf("create entry: %w", err)
	}
	p.callers = openai.NewServer(p, o.Timers, o.MaxBody, p.outcomes.metrics.Handler(), openai.ServeWith(o.CallerCredentials))
	p.outcomes.metrics.Credentials("processes", o.Credentials)
	p.outcomes.metrics.Credentials("callers", o.CallerCredentials)
	return p, nil
}

// newRandom returns a randomly seeded source, so that entries have different jitter.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (p *Process) createDecisions() error {
	var err error
	if p.outcomes, err = newOutcomes(); err != nil {
		return err
	}
	if p.budget, err = callbudget.New(p.options.KeyValue, p.timers, newRandom(),
		callbudget.WithObserver(dependency.New("keyValue", p.timers, p.log).Observe)); err != nil {
		return fmt.Errorf("create key-value budget: %w", err)
	}
	p.kv = p.outcomes.metrics.KeyValue(p.budget)
	if p.classifier, err = classify.New(); err != nil {
		return fmt.Errorf("create classifier: %w", err)
	}
	if p.suspects, err = suspect.NewSet(); err != nil {
		return fmt.Errorf("create suspect set: %w", err)
	}
	if p.quotas, err = newQuotas(p.options.Instance); err != nil {
		return err
	}
	p.outcomes.metrics.QuotaWorkspaces(p.quotas.trackedWorkspaces)
	p.outcomes.metrics.LogDropped(p.options.LogDropped)
	if p.gate, err = drain.New(drain.WithLameDuck(p.options.LameDuck)); err != nil {
		return fmt.Errorf("create drain gate: %w", err)
	}
	if p.retries, err = retry.New(retry.Rand(newRandom())); err != nil {
		return fmt.Errorf("create retry policy: %w", err)
	}
	p.claims = rate.NewLimiter(rate.Inf, claimBurst)
	p.owners = ledger.NewOwners(p.options.Instance)
	p.updateBudgetShare(nil)
	p.ledger, err = ledger.New(p.kv, &orderSidecars{
		process: p,
	}, p.timers, ledger.WithPolicy(p.orderPolicy), ledger.WithClaimBudget(p.claims.Wait),
		ledger.WithOwners(p.owners, p.forwardClaims))
	if err != nil {
		return fmt.Errorf("create ledger: %w", err)
	}
	p.sweeper = ledger.NewSweeper(p.kv, p.orderPolicy)
	return nil
}

func (p *Process) createRunners() error {
	var err error
	if p.client, err = jsonrpc.NewClient(jsonrpc.Fleet(p.options.Fleet), jsonrpc.MaxPeers(maxControlPeers),
		jsonrpc.WithCredentials(p.options.Credentials)); err != nil {
		return err
	}
	if p.data, err = sidecar.NewClient(p.options.Fleet, p.options.MaxBody, sidecar.WithCredentials(p.options.Credentials)); err != nil {
		return err
	}
	self := waxwingpick.Instance{
		ID:      p.options.Instance,
		Kind:    waxwingpick.KindEntry,
		Zone:    p.options.Zone,
		Control: p.options.Control,
	}
	p.list = instancelist.New(self, p.options.Platform, p.timers, instancelist.WithLog(p.log),
		instancelist.WithReadObserver(p.outcomes.metrics.ListRead), instancelist.WithIndependentReads(p.options.IndependentList))
	p.outcomes.metrics.ListAge(p.list.Age)
	p.records, err = records.New(self, p.kv, p.timers, jsonrpc.NewPeers(p.client), p.instances, records.WithLog(p.log), records.WithList(p.list.Shared()))
	if err != nil {
		return fmt.Errorf("create records: %w", err)
	}
	jsonrpc.HandlePeers(p.control, p.records)
	jsonrpc.HandleTyped(p.control, sidecar.MethodSuspects, p.handleSuspects, mtls.RoleEntry)
	jsonrpc.HandleTyped(p.control, sidecar.MethodClaims, p.handleClaims, mtls.RoleEntry)
	jsonrpc.HandleTyped(p.control, sidecar.MethodQuota, p.handleQuota, mtls.RoleEntry)
	operator.Register(p.control, p)
	policy := p.options.Policy
	if policy == nil {
		if policy, err = authority.NewRolePolicy(p.timers, p.observeRoles); err != nil {
			return fmt.Errorf("create role policy: %w", err)
		}
	}
	p.authority, err = authority.New(p.options.Instance, p.kv, p.timers, p.records, p.instances,
		authority.WithLog(p.log), authority.WithPolicy(policy))
	if err != nil {
		return fmt.Errorf("create authority: %w", err)
	}
	return nil
}

// Start begins to serve until Stop is called. The entry becomes ready once it has received the records.
func (p *Process) Start() error {
	var err error
	p.ctrlAddr, err = p.control.Start(p.options.Control)
	if err != nil {
		return fmt.Errorf("start control server: %w", err)
	}
	p.list.Subscribe(p.updateTargets)
	p.list.Read(p.lifecycle)
	p.updateSamples(p.timers.Now())
	p.loops.Go(func() {
		p.list.Run(p.lifecycle)
	})
	p.loops.Go(func() {
		p.records.Run(p.lifecycle)
	})
	p.loops.Go(func() {
		p.authority.Run(p.lifecycle)
	})
	p.stops = append(p.stops,
		p.timers.Every(probePeriod, p.probeTargets),
		p.timers.Every(samplePeriod, p.updateSamples),
		p.timers.Every(reportMaxAge, p.expireReports),
		p.timers.Every(ledger.SweepPeriod, p.sweepClaims),
		p.records.Subscribe(p.applyConfig),
		p.records.Subscribe(p.updateTargets))
	p.callerAddr, err = p.callers.Start(p.options.Listen)
	if err != nil {
		return fmt.Errorf("start caller server: %w", err)
	}
	p.log.WithFields(logrus.Fields{
		"listen":  p.callerAddr,
		"control": p.ctrlAddr,
	}).Info("entry started")
	return nil
}

// CallerAddr returns the bound address for callers.
func (p *Process) CallerAddr() string {
	return p.callerAddr
}

// ControlAddr returns the bound address of control calls.
func (p *Process) ControlAddr() string {
	return p.ctrlAddr
}

// Stop makes the entry not ready, waits for running requests until ctx ends, and stops serving.
func (p *Process) Stop(ctx context.Context) error {
	p.gate.Stop(p.timers.Now())
	p.log.WithField("running", p.gate.Running()).Info("entry is stopping and no longer ready")
	p.gate.Await(ctx, p.timers)
	running := p.gate.Running()
	for _, stop := range p.stops {
		stop()
	}
	if running > 0 {
		p.cancelLifecycle()
	}
	err := p.callers.Shutdown(ctx)
	p.cancelLifecycle()
	p.loops.Wait()
	p.work.Close()
	p.control.Close()
	p.ledger.Close()
	p.client.Close()
	p.data.Close()
	p.log.WithField("cut", running).Info("entry stopped")
	if running > 0 {
		return eris.Errorf("entry stopped with %d requests running", running)
	}
	return err
}

// Ready returns nil if the entry accepts requests.
func (p *Process) Ready() error {
	if !p.gate.Ready() {
		return fmt.Errorf("%w: stopping", errNotReady)
	}
	if !p.records.Synced() {
		return fmt.Errorf("%w: no configuration known", errNotReady)
	}
	return nil
}

// pause waits for d and reports whether ctx is still active.
func (p *Process) pause(ctx context.Context, d time.Duration) bool {
	return timer.Sleep(ctx, p.timers, d)
}

func (p *Process) decide(a retry.Attempt) retry.Verdict {
	p.retryMu.Lock()
	defer p.retryMu.Unlock()
	return p.retries.Decide(p.timers.Now(), a)
}

func (p *Process) countRequest(now time.Time) {
	p.retryMu.Lock()
	defer p.retryMu.Unlock()
	p.retries.Request(now)
}

func (p *Process) countResponse() {
	p.retryMu.Lock()
	defer p.retryMu.Unlock()
	p.retries.Responded()
}
