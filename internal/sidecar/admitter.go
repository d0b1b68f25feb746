package sidecar

import (
	"context"
	"sync"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
)

// admitter lets requests wait for the decisions of an admission controller.
type admitter struct {
	timers  waxwingpick.Timers
	mu      sync.Mutex
	ctl     *admission.Controller
	waiting map[admission.AttemptID]chan admission.Decision
	wake    func()
}

func newAdmitter(ctl *admission.Controller, timers waxwingpick.Timers) *admitter {
	return &admitter{
		timers:  timers,
		ctl:     ctl,
		waiting: make(map[admission.AttemptID]chan admission.Decision),
		wake:    func() {},
	}
}

// admit returns nil once the request may run; done has to follow then.
func (a *admitter) admit(ctx context.Context, req admission.Request) *waxwingpick.Refusal {
	a.mu.Lock()
	d := a.ctl.Offer(a.timers.Now(), req)
	if d.Verdict != admission.VerdictQueued {
		a.pump()
		a.mu.Unlock()
		return d.Refusal()
	}
	decided := make(chan admission.Decision, 1)
	a.waiting[req.ID] = decided
	a.pump()
	a.mu.Unlock()
	select {
	case d := <-decided:
		return d.Refusal()
	case <-ctx.Done():
		return a.abandon(req.ID, decided)
	}
}

// abandon takes back a waiting request whose entry is gone or whose time is over.
func (a *admitter) abandon(id admission.AttemptID, decided <-chan admission.Decision) *waxwingpick.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctl.Cancel(id) {
		delete(a.waiting, id)
		a.pump()
		return waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, "abandoned while it waited")
	}
	d := <-decided
	if d.Verdict == admission.VerdictRun {
		a.ctl.Done(a.timers.Now(), id, 0)
		a.pump()
		return waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, "abandoned while it waited")
	}
	return d.Refusal()
}

// firstToken records that the attempt's prompt has been computed.
func (a *admitter) firstToken(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctl.FirstToken(a.timers.Now(), admission.AttemptID(id))
	a.pump()
}

// done records the end of a running attempt; an unknown one is ignored.
func (a *admitter) done(id string, outputTokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctl.Done(a.timers.Now(), admission.AttemptID(id), outputTokens)
	a.pump()
}

// setDraining refuses new and waiting requests, or takes them again.
func (a *admitter) setDraining(draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if draining == a.ctl.Draining() {
		return
	}
	if draining {
		a.ctl.Drain()
	} else {
		a.ctl.Resume()
	}
	a.pump()
}

// set takes limits of the accepted configuration; invalid ones keep the old.
func (a *admitter) set(opts ...admission.Option) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ctl.Set(opts...)
}

func (a *admitter) load() waxwingpick.TargetLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ctl.Load(a.timers.Now())
}

// pump hands out decisions and arranges for the next one that time alone brings; the lock is held.
func (a *admitter) pump() {
	now := a.timers.Now()
	for {
		d, ok := a.ctl.Next(now)
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
	a.wake()
	a.wake = func() {}
	if at, ok := a.ctl.Wake(); ok {
		a.wake = a.timers.After(at.Sub(now), a.woken)
	}
}

func (a *admitter) woken(time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pump()
}
