package orderrunner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/executor"
	"waxwingpick/core/plan"
	"waxwingpick/internal/steploop"
)

// callTimeout bounds one call of the key-value service or one read of the engine's state.
const callTimeout = time.Second

// Drainer stops and starts the admission of work for the engine.
type Drainer interface {
	// Drain stops admitting work and reports whether no work is left. It may be called repeatedly.
	Drain() (empty bool)
	// Undrain admits work again.
	Undrain()
}

// Plans is the process's copy of the accepted plans. It only serves as a hint when to read the record itself.
type Plans interface {
	Plan(service waxwingpick.ServiceName) (plan.Record, int64)
	Subscribe(changed func()) (stop func())
}

// Option sets up a Runner.
type Option func(*Runner) error

// WithLog sets the log.
func WithLog(log logrus.FieldLogger) Option {
	return func(r *Runner) error {
		r.log = log
		return nil
	}
}

// WithChecksFencing sets a function that reports whether the engine refuses old fencing numbers. It is called before each
// step.
func WithChecksFencing(checks func() bool) Option {
	return func(r *Runner) error {
		r.checksFencing = checks
		return nil
	}
}

// Runner runs the executor of one target.
type Runner struct {
	service waxwingpick.ServiceName
	kv      waxwingpick.KeyValue
	timers  waxwingpick.Timers
	engine  waxwingpick.Engine
	drainer Drainer
	plans   Plans
	log     logrus.FieldLogger

	checksFencing func() bool
	machine       *executor.Executor
	sleeper       *steploop.Sleeper
	// lastLogged is the status at the last call of logChange.
	lastLogged executor.Status
}

// New returns the runner of one target; Run starts it.
func New(service waxwingpick.ServiceName, target waxwingpick.TargetID, kv waxwingpick.KeyValue, timers waxwingpick.Timers, engine waxwingpick.Engine, drainer Drainer, plans Plans, opts ...Option) (*Runner, error) {
	r := &Runner{
		service: service,
		kv:      kv,
		timers:  timers,
		engine:  engine,
		drainer: drainer,
		plans:   plans,
		log:     logrus.StandardLogger(),
		sleeper: steploop.NewSleeper(timers),
	}
	for _, opt := range opts {
		if err := opt(r); err != nil {
			return nil, err
		}
	}
	random := executor.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	machine, err := executor.New(service, target, uuid.NewString(), random)
	if err != nil {
		return nil, err
	}
	r.machine = machine
	return r, nil
}

// Run executes the plan's orders until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	stop := r.plans.Subscribe(r.sleeper.Notify)
	defer stop()
	for ctx.Err() == nil {
		r.updateMachine()
		step := r.machine.Next(r.timers.Now())
		if step.Kind == executor.Wait {
			r.sleeper.Until(ctx, step.Until)
			continue
		}
		result := r.execute(ctx, step)
		r.machine.Apply(r.timers.Now(), result)
		r.logChange()
	}
}

// updateMachine passes the latest received plan to the machine, and whether the engine checks fencing numbers.
func (r *Runner) updateMachine() {
	received, _ := r.plans.Plan(r.service)
	r.machine.Hint(received)
	if r.checksFencing != nil {
		r.machine.SetChecksFencing(r.checksFencing())
	}
}

// execute executes one step.
func (r *Runner) execute(ctx context.Context, step executor.Step) executor.Result {
	timeout := callTimeout
	if step.Kind == executor.Submit {
		timeout = step.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var result executor.Result
	switch step.Kind {
	case executor.Wait:
	case executor.KeyValue:
		result.KeyValue = step.Call.Do(ctx, r.kv)
	case executor.ReadEngine:
		result.Engine, result.Err = r.engine.State(ctx)
	case executor.Submit:
		result.Err = r.submit(ctx, step)
	case executor.Drain:
		result.Drained = r.drainer.Drain()
	case executor.Undrain:
		r.drainer.Undrain()
	}
	return result
}

// submit sends an order unless the step's deadline has passed, for example because the process was paused.
func (r *Runner) submit(ctx context.Context, step executor.Step) error {
	if late := r.timers.Now().Sub(step.SendBy); late > 0 {
		return fmt.Errorf("order %d is %s past its send deadline: %w", step.Order.Number, late, waxwingpick.ErrEngineUnreachable)
	}
	r.log.WithFields(orderFields(step.Order)).Info("order sent to the engine")
	return r.engine.Submit(ctx, step.Order)
}

func orderFields(order waxwingpick.EngineOrder) logrus.Fields {
	return logrus.Fields{
		"order": order.Number,
		"role":  order.Config.Role.String(),
		"model": order.Config.Model,
	}
}

// logChange logs changes of the executor's status.
func (r *Runner) logChange() {
	status := r.machine.Status()
	before := r.lastLogged
	r.lastLogged = status
	if status.Failure != nil && (before.Failure == nil || before.Failure.Error() != status.Failure.Error()) {
		r.log.WithError(status.Failure).Warn("failed to bring the engine to its desired configuration")
	}
	if status.Draining && !before.Draining {
		r.log.WithFields(orderFields(status.Desired)).Info("draining the engine for an order")
	}
	if status.Settled && !before.Settled {
		r.log.WithFields(orderFields(status.Desired)).Info("engine has its desired configuration")
	}
}
