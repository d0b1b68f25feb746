package sidecar

import (
	"context"
	"sync"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
)

// admitter blocks requests until an admission controller has decided on them.
type admitter struct {
	timers     waxwingpick.Timers
	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[admission.AttemptID]chan admission.Decision
	cancelWake func()
}

func newAdmitter(ctl *admission.Controller, timers waxwingpick.Timers) *admitter {
	return &admitter{
		timers:     timers,
		controller: ctl,
		waiting:    make(map[admission.AttemptID]chan admission.Decision),
		cancelWake: func() {},
	}
}

// admit waits until the request may run and returns nil, or returns the refusal. After nil the caller must call done.
func (a *admitter) admit(ctx context.Context, req admission.Request) *waxwingpick.Refusal {
	a.mu.Lock()
	d := a.controller.Offer(a.timers.Now(), req)
	if d.Verdict != admission.VerdictQueued {
		a.deliverDecisions()
		a.mu.Unlock()
		return d.Refusal()
	}
	decided := make(chan admission.Decision, 1)
	a.waiting[req.ID] = decided
	a.deliverDecisions()
	a.mu.Unlock()
	select {
	case d := <-decided:
		return d.Refusal()
	case <-ctx.Done():
		return a.abandon(req.ID, decided)
	}
}

// abandon withdraws a waiting request whose entry has disconnected or whose deadline has passed.
func (a *admitter) abandon(id admission.AttemptID, decided <-chan admission.Decision) *waxwingpick.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller.Cancel(id) {
		delete(a.waiting, id)
		a.deliverDecisions()
		return waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, "request abandoned while it waited for admission")
	}
	d := <-decided
	if d.Verdict == admission.VerdictRun {
		a.controller.Done(a.timers.Now(), id, 0)
		a.deliverDecisions()
		return waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, "request abandoned while it waited for admission")
	}
	return d.Refusal()
}

// firstToken records that the attempt's prompt has been computed.
func (a *admitter) firstToken(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.FirstToken(a.timers.Now(), admission.AttemptID(id))
	a.deliverDecisions()
}

// done records the end of a running attempt. An unknown attempt is ignored.
func (a *admitter) done(id string, outputTokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Done(a.timers.Now(), admission.AttemptID(id), outputTokens)
	a.deliverDecisions()
}

// setDraining starts or stops refusing new and waiting requests.
func (a *admitter) setDraining(draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if draining == a.controller.Draining() {
		return
	}
	if draining {
		a.controller.Drain()
	} else {
		a.controller.Resume()
	}
	a.deliverDecisions()
}

// setOptions applies limits of the accepted configuration. Invalid limits leave the old ones in place.
func (a *admitter) setOptions(opts ...admission.Option) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Set(opts...)
}

func (a *admitter) load() waxwingpick.TargetLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Load(a.timers.Now())
}

// deliverDecisions sends decisions to the waiting requests, and schedules a wake-up for the next decision that depends
// only on time. The caller must hold a.mu.
func (a *admitter) deliverDecisions() {
	now := a.timers.Now()
	for {
		d, ok := a.controller.Next(now)
		if !ok {
			break
		}
		decided, waits := a.waiting[d.ID]
		if !waits {
			continue
		}
		delete(a.waiting, d.ID)
		decided <- d
	}
	a.cancelWake()
	a.cancelWake = func() {}
	if at, ok := a.controller.Wake(); ok {
		a.cancelWake = a.timers.After(at.Sub(now), a.onWake)
	}
}

func (a *admitter) onWake(time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliverDecisions()
}
