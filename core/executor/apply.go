package executor

import (
	"errors"
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
)

// Apply handles the result of the step that Next returned.
func (e *Executor) Apply(now time.Time, r Result) {
	pending := e.pending
	e.pending = Step{}
	switch pending.Kind {
	case Wait:
	case KeyValue:
		e.applyKeyValue(now, pending.Call, r.KeyValue)
	case ReadEngine:
		e.applyEngine(now, r)
	case Submit:
		e.applySubmit(now, r.Err)
	case Drain:
		e.applyDrain(now, r)
	case Undrain:
		e.draining = false
		e.drained = false
		e.readyStepCount = waxwingpick.None[int64]()
	}
}

func (e *Executor) applyKeyValue(now time.Time, call kvcall.Call, r kvcall.Result) {
	r.Started = e.pendingAt
	if call.Kind == kvcall.Get && call.Key == plan.Key(e.service) {
		e.applyPlan(now, r)
		return
	}
	if r.Err != nil {
		e.failure = r.Err
	}
	e.claim.apply(now, call, r, e.retryDelay(e.claim.failures+1))
}

func (e *Executor) applyPlan(now time.Time, r kvcall.Result) {
	before := e.planRevision
	if err := e.applyPlanRecord(r); err != nil {
		e.failure = err
		e.planFailures++
		e.planStale = true
		e.planRetryAt = now.Add(e.retryDelay(e.planFailures))
		return
	}
	e.planFailures++
	if e.planRevision != before {
		e.planFailures = 0
	}
	e.planStale = false
	e.planReadAt = r.Started
	e.planStepCount = e.stepCount
	// A sender that repeats a false hint makes this executor read at increasing intervals.
	e.planRetryAt = now.Add(e.retryDelay(e.planFailures))
}

// applyPlanRecord applies the plan that was read, if plan.Verify allows its succession to the current one.
func (e *Executor) applyPlanRecord(r kvcall.Result) error {
	if r.Err != nil {
		return fmt.Errorf("read plan: %w", r.Err)
	}
	if !r.Entry.Exists() {
		return nil
	}
	rec, err := plan.Decode(e.service, r.Entry.Value)
	if err != nil {
		return fmt.Errorf("read plan: %w", err)
	}
	if e.planRevision != 0 {
		if err := plan.Verify(e.planRecord, rec); err != nil {
			return fmt.Errorf("verify plan: %w", err)
		}
	}
	e.planRecord = rec
	e.planRevision = r.Entry.Revision
	return nil
}

func (e *Executor) applyEngine(now time.Time, r Result) {
	if r.Err != nil {
		e.failure = fmt.Errorf("read engine state: %w", r.Err)
		e.engineFailures++
		e.engineRetryAt = now.Add(min(e.retryDelay(e.engineFailures), DefaultSettledPoll))
		e.invalidateEngine()
		return
	}
	e.engineFailures = 0
	e.engineRetryAt = time.Time{}
	e.engine = r.Engine
	e.engineKnown = true
	e.engineAt = e.pendingAt
	e.engineStepCount = e.stepCount
	if e.settled() {
		e.failure = nil
		e.submitFails = 0
	}
}

// invalidateEngine prevents the last engine state from being used as the basis of an order.
func (e *Executor) invalidateEngine() {
	e.engineAt = time.Time{}
	e.engineStepCount = 0
}

// applySubmit records how long an order may still arrive. Its result is read from the engine's state.
func (e *Executor) applySubmit(now time.Time, err error) {
	e.invalidateEngine()
	if err == nil {
		e.inFlightUntil = now
		e.submitRetryAt = now.Add(e.retryDelay(e.submitFails))
		e.submitFails++
		return
	}
	e.failure = fmt.Errorf("submit order: %w", err)
	switch {
	case errors.Is(err, waxwingpick.ErrStaleFencingNumber):
		e.inFlightUntil = now
		e.planStale = true
	case errors.Is(err, waxwingpick.ErrEngineRefused), errors.Is(err, waxwingpick.ErrEngineUnreachable):
		e.inFlightUntil = now
	}
	e.submitRetryAt = now.Add(e.retryDelay(e.submitFails))
	e.submitFails++
}

func (e *Executor) applyDrain(now time.Time, r Result) {
	e.draining = true
	e.drainRetryAt = now.Add(DefaultBusyPoll)
	e.drained = e.drained || r.Drained
}
