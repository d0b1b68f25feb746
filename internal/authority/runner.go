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
	// refreshPeriod is the time between two looks at the list of instances and at the policy.
	refreshPeriod = time.Second
	// forgetAfter is how long a target must be missing from the platform's list before it leaves the plan.
	forgetAfter = 5 * time.Minute
)

// Option sets up a Runner.
type Option func(*Runner) error

// WithPolicy sets the policy; the default is Keep.
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

// Holding tells who holds the authority over a service as this process sees it.
type Holding struct {
	Service waxwingpick.ServiceName `json:"service"`
	Held    bool                    `json:"held"`
	Epoch   int64                   `json:"epoch"`
	Holder  waxwingpick.InstanceID  `json:"holder"`
}

// Runner hosts the candidates of one entry.
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
		policy:     Keep,
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

// Holdings lists the authorities, one for each engine service that is known.
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

// Run competes for the authority over each engine service until ctx ends, and gives the leases back then.
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

// refresh starts a candidate for each new service and tells all what changed.
func (r *Runner) refresh(ctx context.Context, wg *conc.WaitGroup) {
	services := engineServices(r.records)
	known := waxwingpick.NewSet[waxwingpick.ServiceName]()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range services {
		known.Add(service.Name)
		if _, ok := r.candidates[service.Name]; ok {
			continue
		}
		c, err := newCandidate(r, service.Name)
		if err != nil {
			r.log.WithError(err).WithField("service", service.Name).Error("no candidate for the authority")
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
		if !known.Has(name) {
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

// candidate hosts the state machine of one service.
type candidate struct {
	runner  *Runner
	service waxwingpick.ServiceName
	machine *plan.Authority
	sleeper *steploop.Sleeper
	cancel  context.CancelFunc
	// failure is the text of the last failure.
	failure string
	// missingSince tells since when targets of the plan are missing from the platform's list.
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
		c.feed()
		call := c.machine.Next(c.runner.timers.Now())
		if call.Kind == kvcall.Wait {
			c.sleeper.Until(ctx, call.Until)
			continue
		}
		c.do(ctx, call)
	}
	c.resign()
}

// do makes a call and publishes a plan that the service accepted.
func (c *candidate) do(ctx context.Context, call kvcall.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := call.Do(ctx, c.runner.kv)
	c.machine.Apply(c.runner.timers.Now(), result)
	if result.Err == nil && call.Key == plan.Key(c.service) {
		c.publish(call, result.Entry)
	}
	c.noteHeld()
	c.noteFailure()
}

// publish hands a plan that was read or written to the process's copy of the records.
func (c *candidate) publish(call kvcall.Call, e waxwingpick.Entry) {
	e.Key = call.Key
	if call.Kind == kvcall.CompareAndSwap {
		e.Value = call.Value
	}
	c.runner.records.Accept(e)
}

// noteFailure logs a failure once, and again only after another one.
func (c *candidate) noteFailure() {
	text := ""
	if err := c.machine.Failure(); err != nil {
		text = err.Error()
	}
	if text != "" && text != c.failure {
		c.runner.log.WithField("service", c.service).WithField("error", text).Warn("a call for the authority failed")
	}
	c.failure = text
}

func (c *candidate) noteHeld() {
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
	}).Info("authority over a service changed")
}

// resign gives the lease back, so that another entry takes over at once.
func (c *candidate) resign() {
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
	c.noteHeld()
}

// feed tells the machine who is live, and a holder what is wanted.
func (c *candidate) feed() {
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
	heard, _ := c.runner.records.Plan(c.service)
	c.machine.Hint(heard)
	if c.machine.Holds() {
		c.feedDesired(targets)
	}
}

func (c *candidate) feedDesired(targets []waxwingpick.Instance) {
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

// missing returns whether a target of the plan has been missing from the list for long enough to be forgotten.
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
		return ok && now.Sub(since) >= forgetAfter
	}
}
