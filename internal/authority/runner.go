package authority

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
	"waxwingpick/internal/records"
	"waxwingpick/internal/steploop"
)

// The periods of a Runner.
const (
	callTimeout = time.Second
	// refreshPeriod is the time between two updates from the instance list and the policy.
	refreshPeriod = time.Second
	// missingTargetRetention is how long a target must be missing from the platform's list before it is removed from the plan.
	missingTargetRetention = 5 * time.Minute
)

// Option sets up a Runner.
type Option func(*Runner) error

// WithPolicy sets the policy; the default is KeepCurrent.
func WithPolicy(policy Policy) Option {
	return func(r *Runner) error {
		r.policy = policy
		return nil
	}
}

// WithLog sets the log.
func WithLog(log logrus.FieldLogger) Option {
	return func(r *Runner) error {
		r.log = log
		return nil
	}
}

// Holding describes the authority over a service as tracked by this process.
type Holding struct {
	Service waxwingpick.ServiceName `json:"service"`
	Held    bool                    `json:"held"`
	Epoch   int64                   `json:"epoch"`
	Holder  waxwingpick.InstanceID  `json:"holder"`
}

// Runner runs the candidates of one entry.
type Runner struct {
	self      waxwingpick.InstanceID
	kv        waxwingpick.KeyValue
	timers    waxwingpick.Timers
	records   *records.Runner
	instances records.Instances
	policy    Policy
	log       logrus.FieldLogger

	mu         sync.Mutex
	candidates map[waxwingpick.ServiceName]*candidate
}

// New returns the runner of an entry; Run starts it.
func New(self waxwingpick.InstanceID, kv waxwingpick.KeyValue, timers waxwingpick.Timers, recs *records.Runner, instances records.Instances, opts ...Option) (*Runner, error) {
	r := &Runner{
		self:       self,
		kv:         kv,
		timers:     timers,
		records:    recs,
		instances:  instances,
		policy:     KeepCurrent,
		log:        logrus.StandardLogger(),
		candidates: make(map[waxwingpick.ServiceName]*candidate),
	}
	for _, opt := range opts {
		if err := opt(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Holdings returns the authority over each engine service that has a candidate.
func (r *Runner) Holdings() []Holding {
	r.mu.Lock()
	defer r.mu.Unlock()
	holdings := make([]Holding, 0, len(r.candidates))
	for _, service := range engineServices(r.records) {
		c, ok := r.candidates[service.Name]
		if !ok {
			continue
		}
		rec, _ := r.records.Plan(service.Name)
		holdings = append(holdings, Holding{
			Service: service.Name,
			Held:    c.holds(),
			Epoch:   rec.Epoch,
			Holder:  rec.Holder,
		})
	}
	return holdings
}

// Run competes for the authority over each engine service until ctx ends, and then releases the leases.
func (r *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	changes := steploop.NewSleeper(r.timers)
	stop := r.records.Subscribe(changes.Notify)
	defer stop()
	for {
		r.refresh(ctx, &wg)
		if !changes.Until(ctx, r.timers.Now().Add(refreshPeriod)) {
			break
		}
	}
	wg.Wait()
}

// refresh starts a candidate for each new service, stops those of removed services and wakes the others.
func (r *Runner) refresh(ctx context.Context, wg *conc.WaitGroup) {
	services := engineServices(r.records)
	configured := waxwingpick.NewSet[waxwingpick.ServiceName]()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range services {
		configured.Add(service.Name)
		if _, ok := r.candidates[service.Name]; ok {
			continue
		}
		c, err := newCandidate(r, service.Name)
		if err != nil {
			r.log.WithError(err).WithField("service", service.Name).Error("failed to create authority candidate")
			continue
		}
		r.candidates[service.Name] = c
		cctx, cancel := context.WithCancel(ctx)
		c.cancel = cancel
		wg.Go(func() {
			c.run(cctx)
		})
	}
	for name, c := range r.candidates {
		if !configured.Has(name) {
			c.cancel()
			delete(r.candidates, name)
			continue
		}
		c.sleeper.Notify()
	}
}

func engineServices(recs *records.Runner) []config.Service {
	cfg, _ := recs.Config()
	var services []config.Service
	for _, s := range cfg.Services {
		if s.Kind == config.KindEngine {
			services = append(services, s)
		}
	}
	return services
}

// candidate runs the authority state machine of one service.
type candidate struct {
	runner  *Runner
	service waxwingpick.ServiceName
	machine *plan.Authority
	sleeper *steploop.Sleeper
	cancel  context.CancelFunc
	// lastFailure is the text of the last logged failure, or empty after a success.
	lastFailure string
	// missingSince holds the time since which targets of the plan have been missing from the platform's list.
	missingSince map[waxwingpick.TargetID]time.Time

	mu   sync.Mutex
	held bool
}

func newCandidate(r *Runner, service waxwingpick.ServiceName) (*candidate, error) {
	machine, err := plan.NewAuthority(service, r.self,
		plan.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		plan.WithChangeIDs(uuid.NewString))
	if err != nil {
		return nil, err
	}
	return &candidate{
		runner:       r,
		service:      service,
		machine:      machine,
		sleeper:      steploop.NewSleeper(r.timers),
		missingSince: make(map[waxwingpick.TargetID]time.Time),
	}, nil
}

func (c *candidate) holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

func (c *candidate) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.updateMachine()
		call := c.machine.Next(c.runner.timers.Now())
		if call.Kind == kvcall.Wait {
			c.sleeper.Until(ctx, call.Until)
			continue
		}
		c.execute(ctx, call)
	}
	c.releaseLease()
}

// execute makes a call and publishes a plan that it read or wrote.
func (c *candidate) execute(ctx context.Context, call kvcall.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := call.Do(ctx, c.runner.kv)
	c.machine.Apply(c.runner.timers.Now(), result)
	if result.Err == nil && call.Key == plan.Key(c.service) {
		c.publish(call, result.Entry)
	}
	c.updateHeld()
	c.logFailure()
}

// publish adds a plan that was read or written to the process's copy of the records.
func (c *candidate) publish(call kvcall.Call, e waxwingpick.Entry) {
	e.Key = call.Key
	if call.Kind == kvcall.CompareAndSwap {
		e.Value = call.Value
	}
	c.runner.records.Accept(e)
}

// logFailure logs a failure once, until it changes or ends.
func (c *candidate) logFailure() {
	text := ""
	if err := c.machine.Failure(); err != nil {
		text = err.Error()
	}
	if text != "" && text != c.lastFailure {
		c.runner.log.WithField("service", c.service).WithField("error", text).Warn("authority call failed")
	}
	c.lastFailure = text
}

func (c *candidate) updateHeld() {
	held := c.machine.Holds()
	c.mu.Lock()
	changed := held != c.held
	c.held = held
	c.mu.Unlock()
	if !changed {
		return
	}
	rec, _ := c.machine.Record()
	c.runner.log.WithFields(logrus.Fields{
		"service": c.service,
		"epoch":   rec.Epoch,
		"held":    held,
	}).Info("authority over service changed")
}

// releaseLease releases the lease, so that another entry can take over immediately.
func (c *candidate) releaseLease() {
	c.machine.Resign()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for range 3 {
		call := c.machine.Next(c.runner.timers.Now())
		if call.Kind == kvcall.Wait {
			break
		}
		c.machine.Apply(c.runner.timers.Now(), call.Do(ctx, c.runner.kv))
	}
	c.updateHeld()
}

// updateMachine passes the live entries and the latest plan to the machine, and the desired state if it holds the
// authority.
func (c *candidate) updateMachine() {
	instances := c.runner.instances()
	var live []waxwingpick.InstanceID
	var targets []waxwingpick.Instance
	for _, i := range instances {
		if i.Kind == waxwingpick.KindEntry && !i.Leaving {
			live = append(live, i.ID)
		}
		if i.Kind == waxwingpick.KindTarget && i.Service == c.service {
			targets = append(targets, i)
		}
	}
	c.machine.SetLive(live)
	received, _ := c.runner.records.Plan(c.service)
	c.machine.Hint(received)
	if c.machine.Holds() {
		c.updateDesired(targets)
	}
}

func (c *candidate) updateDesired(targets []waxwingpick.Instance) {
	cfg, revision := c.runner.records.Config()
	for _, s := range cfg.Services {
		if s.Name != c.service {
			continue
		}
		rec, _ := c.machine.Record()
		in := Input{
			Service:   s,
			Config:    cfg,
			Plan:      rec,
			Instances: targets,
		}
		c.machine.SetDesired(desired(c.runner.policy, in, revision, c.missing(rec, targets)))
	}
}

// missing returns a function that reports whether a target has been missing from the list for missingTargetRetention.
func (c *candidate) missing(rec plan.Record, targets []waxwingpick.Instance) func(waxwingpick.TargetID) bool {
	now := c.runner.timers.Now()
	listed := waxwingpick.NewSet[waxwingpick.TargetID]()
	for _, i := range targets {
		listed.Add(i.Target)
		delete(c.missingSince, i.Target)
	}
	for _, t := range rec.Targets {
		if _, ok := c.missingSince[t.ID]; !ok && !listed.Has(t.ID) {
			c.missingSince[t.ID] = now
		}
	}
	return func(id waxwingpick.TargetID) bool {
		since, ok := c.missingSince[id]
		return ok && now.Sub(since) >= missingTargetRetention
	}
}
