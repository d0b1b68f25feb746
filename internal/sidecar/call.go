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

// callTimeout bounds a call to a plain service, even after its entry has disconnected.
const callTimeout = 2 * time.Minute

// Call runs a call to a plain service and returns its response or a refusal.
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
		return waxwingpick.CallResponse{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "target is not a plain service")
	}
	t, arrived := p.beginTrail(a), p.newArrival()
	refusal := p.admitCall(ctx, a)
	p.recordAdmission(t, a, arrived, refusal)
	if refusal != nil {
		return waxwingpick.CallResponse{}, refusal
	}
	resp, refusal := p.waitForCall(ctx, a, body)
	if refusal != nil {
		p.recordRun(t, a, outcomeBroken, refusal)
		return resp, refusal
	}
	p.recordRun(t, a, outcomeResponded, nil)
	return resp, nil
}

// admitCall admits a call, or returns the refusal.
func (p *Process) admitCall(ctx context.Context, a sidecar.Attempt) *waxwingpick.Refusal {
	if refusal := p.admitOrder(a); refusal != nil {
		return refusal
	}
	if refusal := p.admitToService(ctx, a); refusal != nil {
		p.guard.Refuse(a.ID)
		return refusal
	}
	if !a.Repeatable && !p.guard.Start(a.ID) {
		p.releaseCall(a.ID)
		return waxwingpick.NotRun(waxwingpick.ReasonFenced, 0, "attempt was fenced while it waited for admission")
	}
	return nil
}

// admitOrder checks that an attempt of an order, which must not be repeated, has not run before.
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
	return waxwingpick.Unknown(waxwingpick.ReasonFenced, err.Error())
}

func (p *Process) admitToService(ctx context.Context, a sidecar.Attempt) *waxwingpick.Refusal {
	if refusal := p.admitToGate(a, false); refusal != nil {
		return refusal
	}
	refusal := p.admitter.admit(ctx, admission.Request{
		ID:        admission.AttemptID(a.ID),
		Workspace: a.Workspace,
		Class:     a.Class,
		Deadline:  a.Deadline(p.timers.Now()),
	})
	if refusal != nil {
		p.releaseGate(a.ID)
	}
	return refusal
}

func (p *Process) releaseCall(id string) {
	p.admitter.done(id, 1)
	p.releaseGate(id)
}

// callOutcome is the result of a call to the service.
type callOutcome struct {
	resp    waxwingpick.CallResponse
	refusal *waxwingpick.Refusal
}

// waitForCall runs the call and returns its response. It returns at the deadline while the call continues.
func (p *Process) waitForCall(ctx context.Context, a sidecar.Attempt, body []byte) (waxwingpick.CallResponse, *waxwingpick.Refusal) {
	ended := make(chan callOutcome, 1)
	p.work.Go(func() {
		defer p.releaseCall(a.ID)
		ended <- p.callService(a, body)
	})
	select {
	case o := <-ended:
		return o.resp, o.refusal
	case <-ctx.Done():
		return waxwingpick.CallResponse{}, waxwingpick.Unknown(waxwingpick.ReasonDeadline, "call is still running")
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
		p.storeOrderResponse(a, resp)
		return callOutcome{
			resp: resp,
		}
	}
	if errors.Is(err, waxwingpick.ErrEngineUnreachable) {
		p.fenceUnsent(a)
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

func (p *Process) storeOrderResponse(a sidecar.Attempt, resp waxwingpick.CallResponse) {
	if a.Repeatable {
		return
	}
	p.guard.Finish(a.ID, ledger.Response{
		Status:  resp.Status,
		Headers: resp.Headers,
		Body:    resp.Body,
	})
}

// fenceUnsent fences an order that never reached the service.
func (p *Process) fenceUnsent(a sidecar.Attempt) {
	if !a.Repeatable {
		p.guard.MarkUnsent(a.ID)
	}
}

func (p *Process) loseOrder(a sidecar.Attempt) {
	if !a.Repeatable {
		p.guard.MarkLost(a.ID)
	}
}
