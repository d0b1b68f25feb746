package sidecar

import (
	"context"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/ledger"
	"waxwingpick/io/sidecar"
)

// callTimeout bounds a call to a plain service, also after its entry has given up.
const callTimeout = 2 * time.Minute

// Call runs a call to a plain service and returns its answer, or says what became of it.
func (p *Process) Call(ctx context.Context, a sidecar.Attempt, body []byte) sidecar.Result {
	result := sidecar.Result{
		Attempt: a.ID,
	}
	resp, refusal := p.runCall(ctx, a, body)
	report := p.report()
	result.Report = &report
	if refusal != nil {
		result.Refusal = refusal
		return result
	}
	result.Status = resp.Status
	result.Headers = resp.Headers
	result.Body = resp.Body
	return result
}

func (p *Process) runCall(ctx context.Context, a sidecar.Attempt, body []byte) (waxwingpick.CallResponse, *waxwingpick.Refusal) {
	if p.plain == nil {
		return waxwingpick.CallResponse{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "target is no plain service")
	}
	t, came := p.arrived(a), p.arrival()
	refusal := p.enterCall(ctx, a)
	p.admitted(t, a, came, refusal)
	if refusal != nil {
		return waxwingpick.CallResponse{}, refusal
	}
	resp, refusal := p.await(ctx, a, body)
	if refusal != nil {
		p.ran(t, a, outcomeBroken, refusal)
		return resp, refusal
	}
	p.ran(t, a, outcomeAnswered, nil)
	return resp, nil
}

// enterCall takes a call in, or says why it does not run.
func (p *Process) enterCall(ctx context.Context, a sidecar.Attempt) *waxwingpick.Refusal {
	if refusal := p.admitOrder(a); refusal != nil {
		return refusal
	}
	if refusal := p.admitCall(ctx, a); refusal != nil {
		p.guard.Refuse(a.ID)
		return refusal
	}
	if !a.Repeatable && !p.guard.Start(a.ID) {
		p.leaveCall(a.ID)
		return waxwingpick.NotRun(waxwingpick.ReasonBarred, 0, "attempt was barred while it waited")
	}
	return nil
}

// admitOrder checks that an attempt that may not be repeated runs for the first time.
func (p *Process) admitOrder(a sidecar.Attempt) *waxwingpick.Refusal {
	if a.Repeatable {
		return nil
	}
	err := p.guard.Admit(p.timers.Now(), a.ID, a.Incarnation)
	if err == nil {
		return nil
	}
	var refusal *waxwingpick.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return waxwingpick.Unknown(waxwingpick.ReasonBarred, err.Error())
}

func (p *Process) admitCall(ctx context.Context, a sidecar.Attempt) *waxwingpick.Refusal {
	if refusal := p.enterGate(a, false); refusal != nil {
		return refusal
	}
	refusal := p.admitter.admit(ctx, admission.Request{
		ID:        admission.AttemptID(a.ID),
		Workspace: a.Workspace,
		Class:     a.Class,
		Deadline:  a.Deadline(p.timers.Now()),
	})
	if refusal != nil {
		p.leaveGate(a.ID)
	}
	return refusal
}

func (p *Process) leaveCall(id string) {
	p.admitter.done(id, 1)
	p.leaveGate(id)
}

// callOutcome is how a call to the service ended.
type callOutcome struct {
	resp    waxwingpick.CallResponse
	refusal *waxwingpick.Refusal
}

// await returns the answer, or gives up at the deadline while the call runs on.
func (p *Process) await(ctx context.Context, a sidecar.Attempt, body []byte) (waxwingpick.CallResponse, *waxwingpick.Refusal) {
	ended := make(chan callOutcome, 1)
	p.work.Go(func() {
		defer p.leaveCall(a.ID)
		ended <- p.callService(a, body)
	})
	select {
	case o := <-ended:
		return o.resp, o.refusal
	case <-ctx.Done():
		return waxwingpick.CallResponse{}, waxwingpick.Unknown(waxwingpick.ReasonDeadline, "call still runs")
	}
}

func (p *Process) callService(a sidecar.Attempt, body []byte) callOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := p.plain.Call(ctx, waxwingpick.CallRequest{
		Method:  a.Method,
		Path:    a.Path,
		Headers: a.Headers,
		Body:    body,
	})
	if err == nil {
		p.keepAnswer(a, resp)
		return callOutcome{
			resp: resp,
		}
	}
	if errors.Is(err, waxwingpick.ErrEngineUnreachable) {
		p.unsent(a)
		return callOutcome{
			refusal: waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, retryAfterCrash, err.Error()),
		}
	}
	p.loseOrder(a)
	p.reportCrash(a)
	return callOutcome{
		refusal: waxwingpick.Unknown(waxwingpick.ReasonTargetLost, err.Error()),
	}
}

func (p *Process) keepAnswer(a sidecar.Attempt, resp waxwingpick.CallResponse) {
	if a.Repeatable {
		return
	}
	p.guard.Finish(a.ID, ledger.Answer{
		Status:  resp.Status,
		Headers: resp.Headers,
		Body:    resp.Body,
	})
}

// unsent bars an order that never reached the service.
func (p *Process) unsent(a sidecar.Attempt) {
	if !a.Repeatable {
		p.guard.Unsent(a.ID)
	}
}

func (p *Process) loseOrder(a sidecar.Attempt) {
	if !a.Repeatable {
		p.guard.Lose(a.ID)
	}
}
