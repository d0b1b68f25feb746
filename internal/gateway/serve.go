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
)

const (
	// defaultPatience is how long a request may last that neither its caller nor its route bounds.
	defaultPatience = 30 * time.Second
	// notReadyRetry is when to come back to an entry that has just started.
	notReadyRetry = time.Second
	// noTargetRetry is when to come back to a service without a target.
	noTargetRetry = 500 * time.Millisecond
	// mostUnsent is at how many targets that take no connection a request tries its luck: each costs a round trip.
	mostUnsent = 5
)

// exchange is one request of a caller on its way to an answer.
type exchange struct {
	process  *Process
	in       *waxwingpick.Inbound
	route    routetable.Route
	service  *service
	parts    placement.Parts
	trail    *trail.Trail
	ctx      context.Context
	cancel   context.CancelFunc
	callers  context.Context
	deadline time.Time
	gateID   string

	// attempts counts the sendings that may run the request, calls all of them with the readings of its prompt, and unsent
	// those of which nothing reached a target, which count as neither.
	attempts int
	calls    int
	unsent   int
	tried    []waxwingpick.TargetID
	// readings counts the readings of the prompt that an engine may have begun, kept is the last one's KV cache.
	readings int
	kept     waxwingpick.Option[reading]
	// mayHaveRun says that an attempt was sent that may have run.
	mayHaveRun bool
	// left says that the caller stopped taking a stream.
	left bool
	// print is the request's fingerprint, once it was asked for.
	print waxwingpick.Option[suspect.Fingerprint]
}

// fingerprint identifies the request among those that crashed targets.
func (x *exchange) fingerprint() suspect.Fingerprint {
	if _, ok := x.print.Get(); !ok {
		x.print = waxwingpick.Some(suspect.OfOpaque(x.in.Method, x.in.Host, x.in.URI, x.in.Body))
	}
	f, _ := x.print.Get()
	return f
}

// gateIDs numbers the requests of the process, since callers may send one ID twice.
var gateIDs atomic.Uint64

// Serve answers a request; ctx ends when the caller leaves.
func (p *Process) Serve(ctx context.Context, in *waxwingpick.Inbound) waxwingpick.Outbound {
	now := p.timers.Now()
	t := p.trails.Begin(in.ID)
	table := p.table.Load()
	if table == nil || !p.known.Load() {
		return p.refuse(t, waxwingpick.NotRun(waxwingpick.ReasonNotReady, notReadyRetry, "configuration or targets not known yet"))
	}
	route, ok := table.Match(in.Host, in.Path)
	if !ok {
		t.Note(waxwingpick.ActionAccept.Of(now, "noRoute", waxwingpick.In("version", table.Version()),
			waxwingpick.In("host", in.Host), waxwingpick.In("path", in.Path)))
		t.End(now)
		return problem(http.StatusNotFound, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "no route"))
	}
	x := &exchange{
		process:  p,
		in:       in,
		route:    route,
		service:  p.service(route.Pick(rand.Float64())),
		parts:    placement.PartsOf(in.Prompt),
		trail:    t,
		callers:  ctx,
		deadline: deadlineOf(in, route),
		gateID:   strconv.FormatUint(gateIDs.Add(1), 10),
	}
	if err := p.gate.EnterFor(now, x.gateID, x.deadline.Sub(now)); err != nil {
		var refusal *waxwingpick.Refusal
		if !errors.As(err, &refusal) {
			refusal = waxwingpick.NotRun(waxwingpick.ReasonStopping, notReadyRetry, err.Error())
		}
		return p.refuse(t, refusal)
	}
	x.ctx, x.cancel = context.WithDeadline(ctx, x.deadline)
	p.options.Metrics.Began()
	x.accepted(now, table.Version())
	return x.run()
}

// deadlineOf returns when the caller or the route's time-out ends the request.
func deadlineOf(in *waxwingpick.Inbound, route routetable.Route) time.Time {
	patience := in.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	return in.Arrived.Add(patience)
}

// run makes attempts until there is an answer or the request is given up.
func (x *exchange) run() waxwingpick.Outbound {
	if x.service == nil {
		return x.giveUp(waxwingpick.NotRun(waxwingpick.ReasonNoTarget, noTargetRetry, "service has no targets"))
	}
	x.service.arrived(x.process.timers.Now())
	for {
		chosen, refusal := x.choose()
		if refusal != nil {
			return x.giveUp(refusal)
		}
		chosen, s := x.send(chosen)
		if s.answered() && !x.worthRepeating(s) {
			return x.deliver(chosen, s)
		}
		x.closeAttempt(chosen, s)
		x.mayHaveRun = x.mayHaveRun || s.refusal.Outcome != waxwingpick.OutcomeNotRun
		if !x.again(s) {
			if s.answered() {
				return x.passOn(s)
			}
			return x.giveUp(s.refusal)
		}
	}
}

// again decides on a new attempt and waits for its time.
func (x *exchange) again(s sent) bool {
	now := x.process.timers.Now()
	if x.ctx.Err() != nil || x.attempts >= x.route.MaxAttempts || x.unsent > mostUnsent {
		return false
	}
	refusal := s.refusal
	verdict := x.service.decide(now, retry.Attempt{
		Number:     x.calls,
		Refusal:    refusal,
		Unsent:     s.unsent(),
		Sendings:   x.sendings(),
		Repeatable: x.route.Repeatable(),
		Deadline:   x.deadline,
	})
	x.judged(now, refusal, verdict)
	return verdict.Retry && timer.Sleep(x.ctx, x.process.timers, verdict.Delay)
}

// worthRepeating reports whether another target may do better than a failure that this one answered.
func (x *exchange) worthRepeating(s sent) bool {
	return s.reply.Status >= http.StatusInternalServerError && x.route.Kind == waxwingpick.RequestIdempotent
}

// giveUp ends the request without a target's answer.
func (x *exchange) giveUp(refusal *waxwingpick.Refusal) waxwingpick.Outbound {
	refusal = x.truthful(refusal)
	x.finish(refusal)
	return problem(statusOf(refusal), refusal)
}

// truthful makes a refusal as not run unknown where an earlier attempt may have run, and names the deadline where that
// ended the request.
func (x *exchange) truthful(refusal *waxwingpick.Refusal) *waxwingpick.Refusal {
	if refusal.Outcome == waxwingpick.OutcomeNotRun && !x.mayHaveRun {
		return refusal
	}
	final := *refusal
	final.Outcome = waxwingpick.OutcomeUnknown
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		final.Reason = waxwingpick.ReasonDeadline
	}
	return &final
}

// finish ends the request's bookkeeping; refusal is nil where the caller got a target's answer.
func (x *exchange) finish(refusal *waxwingpick.Refusal) {
	if refusal == nil {
		x.process.crashes.set.Absolve(x.process.timers.Now(), x.fingerprint())
	}
	x.concluded(refusal)
	x.release()
	x.cancel()
	x.process.gate.Leave(x.gateID)
}

// refuse answers a request that was turned away before it was taken.
func (p *Process) refuse(t *trail.Trail, refusal *waxwingpick.Refusal) waxwingpick.Outbound {
	now := p.timers.Now()
	p.options.Metrics.Refused(refusal)
	t.Note(waxwingpick.ActionAccept.Of(now, "refused", waxwingpick.RefusalInputs(refusal)...))
	t.End(now)
	return problem(statusOf(refusal), refusal)
}

// statusOf returns the HTTP status of a refusal: 503 promises that the request has not run, 502 and 504 don't.
func statusOf(refusal *waxwingpick.Refusal) int {
	switch {
	case refusal.Outcome == waxwingpick.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == waxwingpick.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// problemBody tells a caller why it got no target's answer.
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
	if refusal.Outcome == waxwingpick.OutcomeNotRun {
		out.RetryAfter = refusal.RetryAfter
	}
	return out
}
