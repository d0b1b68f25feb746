package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/classify"
	"waxwingpick/core/config"
	"waxwingpick/core/ledger"
	"waxwingpick/core/retry"
	"waxwingpick/core/routing"
	"waxwingpick/core/suspect"
	"waxwingpick/core/trail"
	"waxwingpick/io/openai"
	"waxwingpick/io/sidecar"
)

// safeMethods returns the HTTP methods that may be repeated at every plain service.
func safeMethods() []string {
	return []string{"GET", "HEAD", "OPTIONS", "TRACE"}
}

// serviceCall is one request to a plain service in progress.
type serviceCall struct {
	process     *Process
	trail       *trail.Trail
	call        openai.ServiceCall
	targets     *serviceTargets
	class       classify.Result
	repeatable  bool
	fingerprint suspect.Fingerprint
	tried       []waxwingpick.TargetID
	target      waxwingpick.TargetID
}

// Call sends a request to a plain service and returns the complete response.
func (p *Process) Call(ctx context.Context, call openai.ServiceCall) (waxwingpick.CallResponse, error) {
	now := p.timers.Now()
	t := p.beginTrail(call.Caller)
	id := string(t.Request())
	if err := p.admit(now, id); err != nil {
		refusal := unclaimedRefusal(call, refusalOf(err))
		p.recordRejected(t, call.Caller, refusal)
		return waxwingpick.CallResponse{}, refusal
	}
	defer p.gate.Done(id)
	targets := p.fleet.service(call.Service)
	service, known := p.serviceConfig(call.Service)
	if targets == nil || !known || service.Kind != config.KindPlain {
		refusal := unclaimedRefusal(call, waxwingpick.NotRun(waxwingpick.ReasonWrongModel, 0, "no plain service "+string(call.Service)))
		p.recordRejected(t, call.Caller, refusal)
		return waxwingpick.CallResponse{}, refusal
	}
	c := &serviceCall{
		trail:      t,
		process:    p,
		call:       call,
		targets:    targets,
		repeatable: repeatable(service, call.Request.Method),
		fingerprint: suspect.Of(call.Caller.Workspace, string(call.Service)+" "+call.Request.Method+" "+call.Request.Path,
			call.Request.Body),
	}
	c.class = p.classify(now, call.Caller, classify.Request{
		BodyBytes:     len(call.Request.Body),
		NotRepeatable: !c.repeatable,
	})
	p.recordAccepted(t, now, call.Caller, c.class)
	if err := p.checkQuota(now, call.Caller.Workspace); err != nil {
		refusal := unclaimedRefusal(call, refusalOf(err))
		p.recordCall(c, now, refusal)
		return waxwingpick.CallResponse{}, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, c.class.Deadline)
	defer cancel()
	resp, err := c.run(ctx)
	if refusal := unstatedRefusal(resp); err == nil && refusal != nil {
		resp, err = waxwingpick.CallResponse{}, refusal
	}
	p.recordCall(c, now, err)
	return resp, err
}

// unstatedRefusal returns the refusal in place of a response whose status would tell the caller that the call has not run; nil for any
// other. Plain services have no way to state that.
func unstatedRefusal(resp waxwingpick.CallResponse) *waxwingpick.Refusal {
	if !waxwingpick.PromisesNotRun(resp.Status) {
		return nil
	}
	return waxwingpick.Unknown(waxwingpick.ReasonUnstatedRefusal, fmt.Sprintf("service responded with status %d", resp.Status))
}

// unclaimedRefusal returns the refusal of a call whose claim was not read. If the call has an idempotency key, an earlier
// request with that key may have run.
func unclaimedRefusal(call openai.ServiceCall, refusal *waxwingpick.Refusal) *waxwingpick.Refusal {
	keyed := call.Caller.IdempotencyKey != "" && !slices.Contains(safeMethods(), call.Request.Method)
	return finalRefusal(refusal, keyed)
}

func repeatable(service config.Service, method string) bool {
	return slices.Contains(safeMethods(), method) || slices.Contains(service.RepeatableMethods, method)
}

func (c *serviceCall) run(ctx context.Context) (waxwingpick.CallResponse, error) {
	if c.repeatable {
		return c.runRepeatable(ctx)
	}
	order := ledger.Order{
		BodyHash: ledger.HashCall(c.call.Request),
		Deadline: c.class.Deadline,
	}
	if key := c.call.Caller.IdempotencyKey; key != "" {
		order.Key = waxwingpick.Some(ledger.NewKey(c.call.Caller.Workspace, key))
	}
	response, err := c.process.ledger.Place(withCall(ctx, c), order, c.call.Request, c.chooseOrder)
	if err != nil {
		return waxwingpick.CallResponse{}, err
	}
	return waxwingpick.CallResponse{
		Status:  response.Status,
		Headers: response.Headers,
		Body:    response.Body,
	}, nil
}

// runRepeatable sends a repeatable call, with retries within the retry budget.
func (c *serviceCall) runRepeatable(ctx context.Context) (waxwingpick.CallResponse, error) {
	mayHaveRun := false
	for attemptNumber := 1; ; attemptNumber++ {
		target, err := c.choose(c.tried)
		if err != nil {
			return waxwingpick.CallResponse{}, finalRefusal(callRefusal(err), mayHaveRun)
		}
		c.tried = append(c.tried, target.choice.Target)
		result, err := c.send(ctx, uuid.NewString(), target, target.incarnation)
		resp := waxwingpick.CallResponse{
			Status:  result.Status,
			Headers: result.Headers,
			Body:    result.Body,
		}
		refusal := unstatedRefusal(resp)
		switch {
		case err != nil:
			refusal = callRefusal(err)
		case refusal == nil:
			return resp, nil
		}
		mayHaveRun = mayHaveRun || refusal.Outcome != waxwingpick.OutcomeNotRun
		verdict := c.process.decide(retry.Attempt{
			Number:     attemptNumber,
			Refusal:    refusal,
			Repeatable: true,
			Deadline:   c.class.Deadline,
		})
		c.process.recordRetryDecision(c.trail, attemptNumber, refusal, verdict)
		if !verdict.Retry {
			return waxwingpick.CallResponse{}, finalRefusal(verdict.Refusal, mayHaveRun)
		}
		c.process.outcomes.metrics.Retry(refusal.Reason)
		if !c.process.pause(ctx, verdict.Delay) {
			return waxwingpick.CallResponse{}, waxwingpick.Unknown(waxwingpick.ReasonDeadline, "deadline passed before a retry")
		}
	}
}

// finalRefusal changes the outcome "not run" to "unknown" if an earlier attempt may have run.
func finalRefusal(refusal *waxwingpick.Refusal, mayHaveRun bool) *waxwingpick.Refusal {
	if !mayHaveRun || refusal.Outcome != waxwingpick.OutcomeNotRun {
		return refusal
	}
	final := *refusal
	final.Outcome = waxwingpick.OutcomeUnknown
	return &final
}

// choose selects a target. A crash suspect may only go to its owner target.
func (c *serviceCall) choose(exclude []waxwingpick.TargetID) (chosenTarget, error) {
	now := c.process.timers.Now()
	req := routing.Request{
		Class:    c.class.Class,
		Deadline: c.class.Deadline,
		Exclude:  exclude,
	}
	if err := c.process.isolate(&req, c.fingerprint, c.targets); err != nil {
		return chosenTarget{}, err
	}
	target, err := c.targets.choose(now, req)
	c.process.recordChoice(c.trail, target, err)
	return target, err
}

// chooseOrder selects a target for the ledger, and names the only sidecar incarnation that may run the attempt.
func (c *serviceCall) chooseOrder(_ context.Context, tried waxwingpick.Set[waxwingpick.TargetID]) (ledger.Attempt, error) {
	target, err := c.choose(tried.Sorted())
	if err != nil {
		return ledger.Attempt{}, err
	}
	// The ledger sends the attempt later, under a claim, so the choice is not counted as sent.
	c.targets.done(c.process.timers.Now(), target, routing.ResultCancelled)
	incarnation := target.incarnation
	if incarnation == "" && c.process.probe(c.targets, target.instance) {
		_, incarnation, _ = c.targets.targetInstance(target.choice.Target)
	}
	if incarnation == "" {
		return ledger.Attempt{}, waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, time.Second, "incarnation of the sidecar is unknown")
	}
	return ledger.Attempt{
		Service:     string(c.call.Service),
		Target:      target.choice.Target,
		Instance:    target.instance.ID,
		Address:     target.instance.Control,
		Incarnation: incarnation,
	}, nil
}

// send sends one attempt to the target's sidecar.
func (c *serviceCall) send(ctx context.Context, id string, target chosenTarget, incarnation string) (sidecar.Result, error) {
	c.target = target.choice.Target
	result, err := c.process.data.Call(ctx, target.instance.Data, sidecar.Attempt{
		ID:              id,
		Request:         c.trail.Request(),
		Service:         c.call.Service,
		Target:          target.choice.Target,
		Workspace:       c.call.Caller.Workspace,
		Class:           c.class.Class,
		Method:          c.call.Request.Method,
		Path:            c.call.Request.Path,
		Headers:         c.call.Request.Headers,
		RemainingMillis: max(minRemaining, c.class.Deadline.Sub(c.process.timers.Now())).Milliseconds(),
		Urgency:         c.class.Urgency,
		ConfigRevision:  c.process.configRevision(),
		Fingerprint:     c.fingerprint,
		Suspicion:       c.process.suspectRecord(c.fingerprint),
		Incarnation:     incarnation,
		Repeatable:      c.repeatable,
		Traceparent:     c.call.Caller.Traceparent,
	}, c.call.Request.Body)
	if result.Report != nil {
		c.targets.observe(c.process.timers.Now(), *result.Report)
	}
	if err == nil && result.Refusal != nil {
		err = result.Refusal
	}
	outcome, failure := callResult(err), err
	if err == nil && !served(result.Status) {
		outcome, failure = routing.ResultFailed, eris.Errorf("service responded with status %d", result.Status)
	}
	c.process.recordAttempt(c.trail, id, target.instance.Target, outcome, failure)
	if target.choice.Target != "" {
		c.targets.done(c.process.timers.Now(), target, outcome)
	}
	return result, err
}

// served reports whether a response is none of a target that fails its calls.
func served(status int) bool {
	return status < http.StatusInternalServerError && !waxwingpick.PromisesNotRun(status)
}

func callResult(err error) routing.Result {
	if err == nil {
		return routing.ResultResponded
	}
	return routingResult(context.Background(), attemptEnd{
		refusal: callRefusal(err),
	})
}

func callRefusal(err error) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		return waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, time.Second, err.Error())
	}
	return waxwingpick.Unknown(waxwingpick.ReasonTargetLost, err.Error())
}
