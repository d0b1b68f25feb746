package executor

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
)

// ErrEngineAhead means that the engine holds an order that the plan never contained, or contained with another
// configuration.
var ErrEngineAhead = eris.New("engine holds an order that is not in the plan")

// Executor is the state machine that brings one engine to the state desired by its plan. At most one step is pending:
// Next returns it, and Apply handles its result. It is not safe for concurrent use.
type Executor struct {
	service waxwingpick.ServiceName
	target  waxwingpick.TargetID

	checksFencing bool
	orderTimeout  time.Duration
	margin        time.Duration
	leaseTTL      time.Duration
	random        *rand.Rand

	planRecord   plan.Record
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

	draining     bool
	drained      bool
	drainRetryAt time.Time

	claim ownership
	// inFlightUntil is when an order that was sent can no longer arrive.
	inFlightUntil time.Time
	submitRetryAt time.Time
	submitFails   int

	// stepCount is the number of calls of Next. planStepCount and engineStepCount are its values at the last successful
	// reads.
	stepCount       int64
	planStepCount   int64
	engineStepCount int64
	// readyStepCount is the value of stepCount when the engine was drained and the claim usable. An order needs reads after
	// it.
	readyStepCount waxwingpick.Option[int64]

	pending Step
	// pendingAt is when the pending step was returned.
	pendingAt time.Time
	failure   error
}

// New returns the executor of one target. The name process must be unique among all processes, past ones included.
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
	e.claim = ownership{
		key:     Key(target),
		process: process,
		ttl:     e.leaseTTL,
	}
	return e, nil
}

// Hint reports that a plan was received from another process. The executor applies no such plan. It only reads the record
// again if the plan differs for this target.
func (e *Executor) Hint(hinted plan.Record) {
	if hinted.Service != e.service || hinted.Revision <= e.planRecord.Revision {
		return
	}
	if orderOf(hinted, e.target) != e.desired() {
		e.planStale = true
	}
}

// SetChecksFencing updates whether the engine refuses orders with an old fencing number. If the value changes, the plan
// and the engine are read again before an order.
func (e *Executor) SetChecksFencing(checks bool) {
	if e.checksFencing != checks {
		e.checksFencing = checks
		e.readyStepCount = waxwingpick.None[int64]()
	}
}

// Status returns the current status.
func (e *Executor) Status() Status {
	return Status{
		PlanRevision: e.planRevision,
		Desired:      e.desired(),
		Engine:       e.engine,
		EngineKnown:  e.engineKnown,
		Settled:      e.engineKnown && e.settled(),
		Draining:     e.draining,
		Failure:      e.failure,
	}
}

// Next returns the next step.
func (e *Executor) Next(now time.Time) Step {
	e.stepCount++
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
	if step, ok := e.nextAction(now); ok && step.Kind != Wait {
		return step
	} else if ok {
		return e.idle(now, step.Until)
	}
	return e.idle(now, e.engineAt.Add(DefaultSettledPoll))
}

// idle returns a wait until the given time, or until the next read of the engine or the plan if that is earlier.
func (e *Executor) idle(now, until time.Time) Step {
	until = earlier(until, e.nextEngineRead())
	if e.planStale {
		until = earlier(until, e.planRetryAt)
	}
	if !until.After(now) {
		until = now.Add(DefaultBusyPoll)
	}
	return Step{
		Kind:  Wait,
		Until: until,
	}
}

// nextAction returns the step that brings the engine closer to the desired order. ok is false if there is none.
func (e *Executor) nextAction(now time.Time) (step Step, ok bool) {
	if !e.engineKnown {
		return Step{}, false
	}
	if e.engine.Phase == waxwingpick.OrderRunning {
		return e.whileRunning(now)
	}
	if e.settled() {
		return e.finish(now)
	}
	desired := e.desired()
	if e.engine.Order.Number > desired.Number || (e.engine.Order.Number == desired.Number && e.engine.Order.Config != desired.Config) {
		e.failure = ErrEngineAhead
		e.planStale = true
		return e.releaseClaim(now)
	}
	return e.prepare(now, desired)
}

// whileRunning drains while the engine changes, and releases the claim once the order has certainly arrived.
func (e *Executor) whileRunning(now time.Time) (Step, bool) {
	if !e.draining {
		return Step{
			Kind: Drain,
		}, true
	}
	return e.releaseClaim(now)
}

// finish admits work again after the order is done.
func (e *Executor) finish(now time.Time) (Step, bool) {
	if e.draining {
		return Step{
			Kind: Undrain,
		}, true
	}
	return e.releaseClaim(now)
}

// releaseClaim releases the claim if one is held and no order is in transit.
func (e *Executor) releaseClaim(now time.Time) (Step, bool) {
	if !e.claim.busy() {
		return Step{}, false
	}
	if now.Before(e.inFlightUntil) {
		return waitUntil(e.inFlightUntil), true
	}
	e.claim.release()
	e.readyStepCount = waxwingpick.None[int64]()
	call, _ := e.claim.acquire(now, 0)
	return keyValue(call), true
}

// prepare ensures what must hold before an order is sent: no earlier order is in transit, the engine is drained, and, for
// an engine that ignores fencing numbers, plan and engine were read again under a usable claim.
func (e *Executor) prepare(now time.Time, desired waxwingpick.EngineOrder) (Step, bool) {
	if blocked := later(e.inFlightUntil, e.submitRetryAt); now.Before(blocked) {
		return waitUntil(blocked), true
	}
	if !e.draining && !e.checksFencing && now.Sub(e.planReadAt) > planFreshness {
		// The claim needs the key-value service, so the engine is drained only while the service responds.
		return e.readPlanAgain(now)
	}
	if !e.drained {
		if now.Before(e.drainRetryAt) {
			return waitUntil(e.drainRetryAt), true
		}
		return Step{
			Kind: Drain,
		}, true
	}
	if !e.checksFencing {
		if e.claim.failures >= maxClaimFailures {
			return e.undrainAndBackOff(now)
		}
		call, ok := e.claim.acquire(now, e.orderTimeout+e.margin)
		if e.claim.phase != claimHeld {
			e.readyStepCount = waxwingpick.None[int64]()
		}
		if ok {
			return keyValue(call), true
		}
	}
	readyStepCount := e.readyStepCount.OrElse(e.stepCount - 1)
	e.readyStepCount = waxwingpick.Some(readyStepCount)
	if !e.checksFencing && e.planStepCount <= readyStepCount {
		return e.readPlanAgain(now)
	}
	if e.engineStepCount <= readyStepCount {
		return e.readEngineAgain(now)
	}
	return Step{
		Kind:    Submit,
		Order:   desired,
		Timeout: e.orderTimeout,
		SendBy:  now.Add(e.margin / 2),
	}, true
}

// undrainAndBackOff admits work again while the key-value service does not respond, as no order can be sent without a
// claim.
func (e *Executor) undrainAndBackOff(now time.Time) (Step, bool) {
	e.claim.failures = 0
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

// desired returns the order for this target in the plan that was read.
func (e *Executor) desired() waxwingpick.EngineOrder {
	return orderOf(e.planRecord, e.target)
}

func (e *Executor) settled() bool {
	desired := e.desired()
	if desired.Number == 0 {
		return true
	}
	return e.engine.Order == desired && e.engine.Phase == waxwingpick.OrderDone
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

// retryDelay doubles with each failure and has a jitter of ±50 %, so that processes do not retry in step.
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
