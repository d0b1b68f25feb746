package executor

import (
	"errors"
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
)

// Apply takes the result of the step that Next named.
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
		e.ready = waxwingpick.None[int64]()
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
	e.own.apply(now, call, r, e.retryDelay(e.own.failures+1))
}

func (e *Executor) applyPlan(now time.Time, r kvcall.Result) {
	before := e.planRevision
	if err := e.learnPlan(r); err != nil {
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
	e.planAsked = e.asked
	// A sender that repeats a false hint makes this executor read less and less often.
	e.planRetryAt = now.Add(e.retryDelay(e.planFailures))
}

// learnPlan takes the plan that was read back, where the rules of acting allow it.
func (e *Executor) learnPlan(r kvcall.Result) error {
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
		if err := plan.Verify(e.known, rec); err != nil {
			return fmt.Errorf("verify plan: %w", err)
		}
	}
	e.known = rec
	e.planRevision = r.Entry.Revision
	return nil
}

func (e *Executor) applyEngine(now time.Time, r Result) {
	if r.Err != nil {
		e.failure = fmt.Errorf("read engine state: %w", r.Err)
		e.engineFailures++
		e.engineRetryAt = now.Add(min(e.retryDelay(e.engineFailures), DefaultSettledPoll))
		e.forgetEngine()
		return
	}
	e.engineFailures = 0
	e.engineRetryAt = time.Time{}
	e.engine = r.Engine
	e.engineKnown = true
	e.engineAt = e.pendingAt
	e.engineAsked = e.asked
	if e.settled() {
		e.failure = nil
		e.submitFails = 0
	}
}

// forgetEngine makes the last state of the engine no ground for an order.
func (e *Executor) forgetEngine() {
	e.engineAt = time.Time{}
	e.engineAsked = 0
}

// applySubmit keeps an order that may still arrive in mind; what became of it, the engine's state tells.
func (e *Executor) applySubmit(now time.Time, err error) {
	e.forgetEngine()
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
	e.drainAgain = now.Add(DefaultBusyPoll)
	e.drained = e.drained || r.Drained
}
