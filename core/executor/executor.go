package executor

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
)

// ErrEngineAhead says that the engine holds an order that the plan never gave, or gave with another configuration.
var ErrEngineAhead = eris.New("the engine holds an order that is not the plan's")

// Executor is the state machine that brings one engine to the state its plan wants. It has one step outstanding at
// most: Next names it, Apply takes its result. It is not safe for concurrent use.
type Executor struct {
	service waxwingpick.ServiceName
	target  waxwingpick.TargetID

	checksFencing bool
	orderTimeout  time.Duration
	margin        time.Duration
	leaseTTL      time.Duration
	random        *rand.Rand

	known        plan.Record
	planRevision int64
	planStale    bool
	planReadAt   time.Time
	planRetryAt  time.Time
	planFailures int

	engine         waxwingpick.EngineState
	engineKnown    bool
	engineAt       time.Time
	engineRetryAt  time.Time
	engineFailures int

	draining   bool
	drained    bool
	drainAgain time.Time

	own ownership
	// inFlightUntil is when an order that was sent can't arrive any more.
	inFlightUntil time.Time
	submitRetryAt time.Time
	submitFails   int

	// asked counts the calls of Next; planAsked and engineAsked are its values at the last good reads.
	asked       int64
	planAsked   int64
	engineAsked int64
	// ready is the value of asked when the engine was empty and the claim usable; an order needs reads after it.
	ready waxwingpick.Option[int64]

	pending Step
	// pendingAt is when the pending step was asked for.
	pendingAt time.Time
	failure   error
}

// New returns the executor of one target; process is a name that no other process ever had.
func New(service waxwingpick.ServiceName, target waxwingpick.TargetID, process string, opts ...Option) (*Executor, error) {
	e := &Executor{
		service:      service,
		target:       target,
		orderTimeout: DefaultOrderTimeout,
		margin:       DefaultMargin,
		leaseTTL:     DefaultLeaseTTL,
		planStale:    true,
	}
	for _, opt := range opts {
		if err := opt(e); err != nil {
			return nil, err
		}
	}
	if e.random == nil {
		return nil, eris.New("executor needs a random source")
	}
	if e.leaseTTL < 2*(e.orderTimeout+e.margin) {
		return nil, eris.New("lease TTL must be at least twice the order timeout plus the margin")
	}
	e.own = ownership{
		key:     Key(target),
		process: process,
		ttl:     e.leaseTTL,
	}
	return e, nil
}

// Hint says that a plan was heard of. It only makes the executor read the record itself, where the plan heard of
// differs for this target.
func (e *Executor) Hint(heard plan.Record) {
	if heard.Service != e.service || heard.Revision <= e.known.Revision {
		return
	}
	if orderOf(heard, e.target) != e.wanted() {
		e.planStale = true
	}
}

// SetChecksFencing follows the configuration where it says otherwise than before whether the engine refuses orders with
// an old fencing number.
func (e *Executor) SetChecksFencing(checks bool) {
	if e.checksFencing != checks {
		e.checksFencing = checks
		e.ready = waxwingpick.None[int64]()
	}
}

// Status returns what the executor knows.
func (e *Executor) Status() Status {
	return Status{
		PlanRevision: e.planRevision,
		Wanted:       e.wanted(),
		Engine:       e.engine,
		EngineKnown:  e.engineKnown,
		Settled:      e.engineKnown && e.settled(),
		Draining:     e.draining,
		Failure:      e.failure,
	}
}

// Next returns what to do now.
func (e *Executor) Next(now time.Time) Step {
	e.asked++
	step := e.choose(now)
	if step.Kind == Submit {
		e.inFlightUntil = now.Add(e.orderTimeout + e.margin)
	}
	e.pending = step
	e.pendingAt = now
	return step
}

func (e *Executor) choose(now time.Time) Step {
	if e.planStale && !now.Before(e.planRetryAt) {
		return readPlan(e.service)
	}
	if e.engineDue(now) {
		return Step{
			Kind: ReadEngine,
		}
	}
	if step, ok := e.act(now); ok && step.Kind != Wait {
		return step
	} else if ok {
		return e.idle(now, step.Until)
	}
	return e.idle(now, e.engineAt.Add(DefaultSettledPoll))
}

// idle waits for the time given, or for the next read of the engine or the plan where that comes first.
func (e *Executor) idle(now, until time.Time) Step {
	until = sooner(until, e.nextEngineRead())
	if e.planStale {
		until = sooner(until, e.planRetryAt)
	}
	if !until.After(now) {
		until = now.Add(DefaultBusyPoll)
	}
	return Step{
		Kind:  Wait,
		Until: until,
	}
}

// act returns the step that brings the engine closer to the wanted order; ok is false where nothing is to be done.
func (e *Executor) act(now time.Time) (step Step, ok bool) {
	if !e.engineKnown {
		return Step{}, false
	}
	if e.engine.Phase == waxwingpick.OrderRunning {
		return e.whileRunning(now)
	}
	if e.settled() {
		return e.finish(now)
	}
	wanted := e.wanted()
	if e.engine.Order.Number > wanted.Number || (e.engine.Order.Number == wanted.Number && e.engine.Order.Config != wanted.Config) {
		e.failure = ErrEngineAhead
		e.planStale = true
		return e.giveUp(now)
	}
	return e.prepare(now, wanted)
}

// whileRunning admits no new work while the engine changes, and gives the claim up once the order has surely arrived.
func (e *Executor) whileRunning(now time.Time) (Step, bool) {
	if !e.draining {
		return Step{
			Kind: Drain,
		}, true
	}
	return e.giveUp(now)
}

// finish admits work again after the order is done.
func (e *Executor) finish(now time.Time) (Step, bool) {
	if e.draining {
		return Step{
			Kind: Undrain,
		}, true
	}
	return e.giveUp(now)
}

// giveUp releases the claim where one is held and nothing is on its way any more.
func (e *Executor) giveUp(now time.Time) (Step, bool) {
	if !e.own.busy() {
		return Step{}, false
	}
	if now.Before(e.inFlightUntil) {
		return waitUntil(e.inFlightUntil), true
	}
	e.own.release()
	e.ready = waxwingpick.None[int64]()
	call, _ := e.own.acquire(now, 0)
	return keyValue(call), true
}

// prepare goes through what must hold before an order is sent: no earlier one on its way, the engine empty, and for an
// engine that ignores fencing numbers a claim under which plan and engine were read again.
func (e *Executor) prepare(now time.Time, wanted waxwingpick.EngineOrder) (Step, bool) {
	if blocked := later(e.inFlightUntil, e.submitRetryAt); now.Before(blocked) {
		return waitUntil(blocked), true
	}
	if !e.draining && !e.checksFencing && now.Sub(e.planReadAt) > planFreshness {
		// The claim needs the key-value service, so the engine is drained only while the service answers.
		return e.readPlanAgain(now)
	}
	if !e.drained {
		if now.Before(e.drainAgain) {
			return waitUntil(e.drainAgain), true
		}
		return Step{
			Kind: Drain,
		}, true
	}
	if !e.checksFencing {
		if e.own.failures >= maxClaimFailures {
			return e.retreat(now)
		}
		call, ok := e.own.acquire(now, e.orderTimeout+e.margin)
		if e.own.phase != ownHeld {
			e.ready = waxwingpick.None[int64]()
		}
		if ok {
			return keyValue(call), true
		}
	}
	ready := e.ready.OrElse(e.asked - 1)
	e.ready = waxwingpick.Some(ready)
	if !e.checksFencing && e.planAsked <= ready {
		return e.readPlanAgain(now)
	}
	if e.engineAsked <= ready {
		return e.readEngineAgain(now)
	}
	return Step{
		Kind:    Submit,
		Order:   wanted,
		Timeout: e.orderTimeout,
		SendBy:  now.Add(e.margin / 2),
	}, true
}

// retreat admits work again while the key-value service does not answer, as no order can be sent without a claim.
func (e *Executor) retreat(now time.Time) (Step, bool) {
	e.own.failures = 0
	e.submitRetryAt = now.Add(MaxRetryDelay)
	return Step{
		Kind: Undrain,
	}, true
}

func (e *Executor) readPlanAgain(now time.Time) (Step, bool) {
	if now.Before(e.planRetryAt) {
		return waitUntil(e.planRetryAt), true
	}
	return readPlan(e.service), true
}

func (e *Executor) readEngineAgain(now time.Time) (Step, bool) {
	if now.Before(e.engineRetryAt) {
		return waitUntil(e.engineRetryAt), true
	}
	return Step{
		Kind: ReadEngine,
	}, true
}

// wanted returns the order for this target in the plan that was read back.
func (e *Executor) wanted() waxwingpick.EngineOrder {
	return orderOf(e.known, e.target)
}

func (e *Executor) settled() bool {
	wanted := e.wanted()
	if wanted.Number == 0 {
		return true
	}
	return e.engine.Order == wanted && e.engine.Phase == waxwingpick.OrderDone
}

func (e *Executor) engineDue(now time.Time) bool {
	return !now.Before(e.nextEngineRead())
}

func (e *Executor) nextEngineRead() time.Time {
	interval := DefaultSettledPoll
	if e.engineKnown && !e.settled() {
		interval = DefaultBusyPoll
	}
	return later(e.engineAt.Add(interval), e.engineRetryAt)
}

// retryDelay doubles with each failure and varies by half, so that processes do not retry in step.
func (e *Executor) retryDelay(failures int) time.Duration {
	d := min(DefaultRetryDelay<<min(failures, 6), MaxRetryDelay)
	return d/2 + time.Duration(e.random.Int64N(int64(d)))
}

func orderOf(rec plan.Record, target waxwingpick.TargetID) waxwingpick.EngineOrder {
	t, _ := rec.Target(target).Get()
	return t.Order
}

func readPlan(service waxwingpick.ServiceName) Step {
	return keyValue(kvcall.Read(plan.Key(service)))
}

func keyValue(call kvcall.Call) Step {
	if call.Kind == kvcall.Wait {
		return waitUntil(call.Until)
	}
	return Step{
		Kind: KeyValue,
		Call: call,
	}
}

func waitUntil(until time.Time) Step {
	return Step{
		Kind:  Wait,
		Until: until,
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
