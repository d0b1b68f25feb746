package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"waxwingpick"
	"waxwingpick/core/placement"
	"waxwingpick/core/retry"
	"waxwingpick/core/routetable"
	"waxwingpick/core/suspect"
	"waxwingpick/core/timer"
	"waxwingpick/core/trail"
	"waxwingpick/core/workspace"
)

const (
	// defaultTimeout is the time limit of a request if neither its caller nor its route sets one.
	defaultTimeout = 30 * time.Second
	// notReadyRetry is the Retry-After of an entry that has just started.
	notReadyRetry = time.Second
	// noTargetRetry is the Retry-After of a service without a usable target.
	noTargetRetry = 500 * time.Millisecond
	// maxUnsent bounds the sends of a request that fail to connect: each costs a round trip.
	maxUnsent = 5
)

// exchange is the processing of one caller's request.
type exchange struct {
	process *Process
	in      *waxwingpick.Inbound
	route   routetable.Route
	// workspace is that of the caller's key; its ID is empty if no key identified one.
	workspace workspace.Workspace
	service   *service
	parts     placement.Parts
	trail     *trail.Trail
	ctx       context.Context
	cancel    context.CancelFunc
	// stopAbort ends the request's dependence on Process.Abort.
	stopAbort func() bool
	callerCtx context.Context
	deadline  time.Time
	gateID    string

	// attempts counts the sends that may run the request. sends counts these and the prefill stages. unsent counts the
	// sends that did not reach a target, which count as neither.
	attempts int
	sends    int
	unsent   int
	tried    []waxwingpick.TargetID
	// prefills counts the prefill stages that an engine may have begun. cache is the KV cache of the last one.
	prefills int
	cache    waxwingpick.Option[prefilledCache]
	// mayHaveRun is set once an attempt was sent that may have run.
	mayHaveRun bool
	// callerLeft is set if the caller disconnected from a stream.
	callerLeft bool
	// computedFingerprint caches the result of fingerprint.
	computedFingerprint waxwingpick.Option[suspect.Fingerprint]
	// computedCandidates caches the result of candidates.
	computedCandidates []suspect.Candidate
	// trial is the number of the trial as which the request runs, zero if it is none.
	trial uint64
	// succeeded is set once a target's response has a status of success.
	succeeded bool
}

// fingerprint identifies the request among those that were in flight when targets crashed.
func (x *exchange) fingerprint() suspect.Fingerprint {
	if _, ok := x.computedFingerprint.Get(); !ok {
		x.computedFingerprint = waxwingpick.Some(suspect.OfOpaque(x.in.Method, x.in.Host, x.in.URI, x.in.Body))
	}
	f, _ := x.computedFingerprint.Get()
	return f
}

// candidates returns what a crash of the request's target may be attributed to.
func (x *exchange) candidates() []suspect.Candidate {
	if x.computedCandidates == nil {
		x.computedCandidates = suspect.CandidatesOf(x.fingerprint(), x.in.Prompt)
	}
	return x.computedCandidates
}

// gateIDs numbers the requests in the drain gate, since callers may use the same request ID twice.
var gateIDs atomic.Uint64

// Serve processes a request. ctx ends when the caller disconnects.
func (p *Process) Serve(ctx context.Context, in *waxwingpick.Inbound) waxwingpick.Outbound {
	now := p.timers.Now()
	t := p.trails.Begin(in.ID)
	table := p.table.Load()
	if table == nil || !p.targetsApplied.Load() {
		return p.reject(t, waxwingpick.NotRun(waxwingpick.ReasonNotReady, notReadyRetry, "configuration or targets not loaded yet"))
	}
	route, ok := table.Match(in.Host, in.Path)
	if !ok {
		t.AddNotable(waxwingpick.ActionAccept.Of(now, "noRoute", waxwingpick.In("version", table.Version()),
			waxwingpick.In("host", in.Host), waxwingpick.In("path", in.Path)))
		t.End(now)
		return problem(http.StatusNotFound, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "no route"))
	}
	caller, refusal := p.identify(now, t, table, route, in)
	if refusal != nil {
		return p.reject(t, refusal)
	}
	x := &exchange{
		process:   p,
		in:        in,
		route:     route,
		workspace: caller.Workspace,
		service:   p.service(route.SelectService(rand.Float64())),
		parts:     placement.PartsOf(in.Prompt),
		trail:     t,
		callerCtx: ctx,
		deadline:  deadlineOf(in, route),
		gateID:    strconv.FormatUint(gateIDs.Add(1), 10),
	}
	if err := p.gate.EnterFor(now, x.gateID, x.deadline.Sub(now)); err != nil {
		var refusal *waxwingpick.Refusal
		if !errors.As(err, &refusal) {
			refusal = waxwingpick.NotRun(waxwingpick.ReasonStopping, notReadyRetry, err.Error())
		}
		return p.reject(t, refusal)
	}
	x.ctx, x.cancel = context.WithDeadline(ctx, x.deadline)
	x.stopAbort = context.AfterFunc(p.requests, x.cancel)
	p.options.Metrics.Began()
	x.recordAccepted(now, table.Version(), caller)
	return x.run()
}

// deadlineOf returns the deadline from the time-outs of the caller and of the route.
func deadlineOf(in *waxwingpick.Inbound, route routetable.Route) time.Time {
	timeout := in.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return in.Arrived.Add(timeout)
}

// run makes attempts until there is a response or the request fails.
func (x *exchange) run() waxwingpick.Outbound {
	if x.service == nil {
		return x.fail(waxwingpick.NotRun(waxwingpick.ReasonNoTarget, noTargetRetry, "service has no targets"))
	}
	x.service.countRequest(x.process.timers.Now())
	for {
		chosen, refusal := x.choose()
		if refusal != nil {
			return x.fail(refusal)
		}
		chosen, s := x.send(chosen)
		if s.hasResponse() && !x.mayImprove(s) {
			return x.respond(chosen, s)
		}
		x.closeAttempt(chosen, s)
		x.mayHaveRun = x.mayHaveRun || s.refusal.Outcome != waxwingpick.OutcomeNotRun
		if !x.awaitRetry(s) {
			if s.hasResponse() {
				return x.bufferedResponse(s)
			}
			return x.fail(s.refusal)
		}
	}
}

// awaitRetry decides whether to make another attempt and waits for its delay.
func (x *exchange) awaitRetry(s sendResult) bool {
	now := x.process.timers.Now()
	if x.ctx.Err() != nil || x.attempts >= x.route.MaxAttempts || x.unsent > maxUnsent {
		return false
	}
	refusal := s.refusal
	verdict := x.service.decide(now, retry.Attempt{
		Number:     x.sends,
		Refusal:    refusal,
		Unsent:     s.unsent(),
		Cost:       x.sendsPerAttempt(),
		Repeatable: x.route.Repeatable(),
		Deadline:   x.deadline,
	})
	x.recordRetry(now, refusal, verdict)
	return verdict.Retry && timer.Sleep(x.ctx, x.process.timers, verdict.Delay)
}

// mayImprove reports whether another target may succeed where this one responded with a failure.
func (x *exchange) mayImprove(s sendResult) bool {
	return s.reply.Status >= http.StatusInternalServerError && x.route.Kind == waxwingpick.RequestIdempotent
}

// fail ends the request without a target's response.
func (x *exchange) fail(refusal *waxwingpick.Refusal) waxwingpick.Outbound {
	refusal = x.finalRefusal(refusal)
	x.finish(refusal)
	return problem(statusOf(refusal), refusal)
}

// finalRefusal changes the outcome from not run to unknown if an earlier attempt may have run, and reports the deadline
// as the reason if it ended the request.
func (x *exchange) finalRefusal(refusal *waxwingpick.Refusal) *waxwingpick.Refusal {
	if refusal.Outcome == waxwingpick.OutcomeNotRun && !x.mayHaveRun {
		return refusal
	}
	final := *refusal
	final.Outcome = waxwingpick.OutcomeUnknown
	switch {
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		final.Reason = waxwingpick.ReasonDeadline
	case x.process.requests.Err() != nil:
		final.Reason = waxwingpick.ReasonStopping
	}
	return &final
}

// finish ends the request's accounting. refusal is nil if the caller got a target's response.
func (x *exchange) finish(refusal *waxwingpick.Refusal) {
	// A target may respond with an error before it begins to answer.
	if refusal == nil && x.succeeded {
		x.process.crashTracker.completed(x.process.timers.Now(), x.candidates())
	}
	x.recordEnd(refusal)
	x.releaseCache()
	x.stopAbort()
	x.cancel()
	x.process.gate.Done(x.gateID)
}

// reject responds to a request that is refused before it is accepted.
func (p *Process) reject(t *trail.Trail, refusal *waxwingpick.Refusal) waxwingpick.Outbound {
	now := p.timers.Now()
	p.options.Metrics.Refused(refusal)
	t.AddNotable(waxwingpick.ActionAccept.Of(now, "refused", waxwingpick.RefusalInputs(refusal)...))
	t.End(now)
	return problem(statusOf(refusal), refusal)
}

// statusOf returns the HTTP status of a refusal: 503 guarantees that the request has not run, 502 and 504 do not.
func statusOf(refusal *waxwingpick.Refusal) int {
	switch {
	case refusal.Reason == waxwingpick.ReasonUnauthorized:
		return http.StatusUnauthorized
	case refusal.Outcome == waxwingpick.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == waxwingpick.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// problemBody is the response body for a request without a target's response.
type problemBody struct {
	Outcome waxwingpick.Outcome `json:"outcome"`
	Reason  waxwingpick.Reason  `json:"reason"`
}

func problem(status int, refusal *waxwingpick.Refusal) waxwingpick.Outbound {
	body, err := json.Marshal(problemBody{
		Outcome: refusal.Outcome,
		Reason:  refusal.Reason,
	})
	if err != nil {
		panic(err) // A struct of strings always encodes.
	}
	out := waxwingpick.Outbound{
		Status: status,
		Headers: []waxwingpick.Header{{
			Name:  "Content-Type",
			Value: "application/problem+json",
		}},
		Body: body,
	}
	if status == http.StatusUnauthorized {
		out.Headers = append(out.Headers, waxwingpick.Header{
			Name:  "WWW-Authenticate",
			Value: "Bearer",
		})
	}
	if refusal.Outcome == waxwingpick.OutcomeNotRun {
		out.RetryAfter = refusal.RetryAfter
	}
	return out
}
