package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"waxwingpick"
	"waxwingpick/core/balance"
	"waxwingpick/core/ejection"
	"waxwingpick/core/placement"
	"waxwingpick/core/suspect"
)

const (
	// minLateRetryAfter and maxLateRetryAfter bound the Retry-After of a request that would have missed its latency
	// objective.
	minLateRetryAfter = 100 * time.Millisecond
	maxLateRetryAfter = 2 * time.Second
)

// sendResult is the outcome of one attempt. For a stream it covers the attempt up to the first event.
type sendResult struct {
	reply waxwingpick.Dispatched
	// first is the first event of a stream.
	first waxwingpick.RawEvent
	// refusal says why the attempt produced no usable response; nil if it did.
	refusal *waxwingpick.Refusal
	err     error
	sentAt  time.Time
	// beganAt is when the target's response began; none if it did not begin.
	beganAt waxwingpick.Option[time.Time]
}

// unsent reports whether no byte reached the target.
func (s sendResult) unsent() bool {
	return errors.Is(s.err, waxwingpick.ErrEngineUnreachable)
}

// targetMissing reports whether the chosen target is not running at its address.
func (s sendResult) targetMissing() bool {
	return s.unsent() && !s.canceled() || s.reply.Misdirected || errors.Is(s.err, waxwingpick.ErrMisdirected)
}

// unresponsive reports whether the target failed to respond although neither the deadline, the caller nor a lack of memory ended
// the attempt.
func (s sendResult) unresponsive() bool {
	for _, other := range []error{waxwingpick.ErrEngineRefused, waxwingpick.ErrEngineFailed, waxwingpick.ErrMemory} {
		if errors.Is(s.err, other) {
			return false
		}
	}
	return s.err != nil && !s.canceled()
}

// canceled reports whether the attempt failed because its deadline passed or its caller disconnected.
func (s sendResult) canceled() bool {
	for _, end := range []error{context.DeadlineExceeded, context.Canceled, os.ErrDeadlineExceeded} {
		if errors.Is(s.err, end) {
			return true
		}
	}
	return false
}

// hasResponse reports whether the target's response may be returned to the caller.
func (s sendResult) hasResponse() bool {
	return s.reply.Status != 0 && s.err == nil && !s.reply.NotRun && !s.unstatedRefusal()
}

// unstatedRefusal reports whether the status of a response promises that the request has not run although its target does not state
// so.
func (s sendResult) unstatedRefusal() bool {
	return !s.reply.NotRun && waxwingpick.PromisesNotRun(s.reply.Status)
}

// response returns what became of the request at the target.
func (s sendResult) response() ejection.Response {
	switch {
	case s.refusal == nil && s.reply.Status < http.StatusBadRequest:
		return ejection.ResponseServed
	case s.refusal == nil:
		return ejection.ResponseRejected
	case s.err == nil && s.reply.Status != 0 && !s.reply.NotRun, errors.Is(s.err, waxwingpick.ErrEngineFailed):
		return ejection.ResponseFailed
	}
	return ejection.ResponseNone
}

// choose selects the targets of the next attempt, or returns the reason why there are none.
func (x *exchange) choose() (selection, *waxwingpick.Refusal) {
	now := x.process.timers.Now()
	switch err := x.ctx.Err(); {
	case err != nil && x.process.requests.Err() != nil:
		return selection{}, waxwingpick.NotRun(waxwingpick.ReasonStopping, noTargetRetry, "the process ends")
	case err != nil:
		return selection{}, waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, err.Error())
	}
	if refusal := x.crashSuspect(now); refusal != nil {
		return selection{}, refusal
	}
	if cache, ok := x.cache.Get(); ok {
		return x.chooseDecodeAgain(now, cache)
	}
	p := x.placeWithTokens(x.place)
	now = x.process.timers.Now()
	if p.verdict != waxwingpick.VerdictPlaced {
		return p.selection, x.notPlaced(now, p)
	}
	x.recordChoice(now, p.selection)
	x.countZone(p.selection)
	return p.selection, nil
}

// notPlaced returns the refusal of a request for which no target was selected.
func (x *exchange) notPlaced(now time.Time, p placed) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	switch p.verdict {
	case waxwingpick.VerdictNone:
		refusal = waxwingpick.NotRun(waxwingpick.ReasonNoTarget, noTargetRetry, "no target available")
	case waxwingpick.VerdictLate:
		after := min(maxLateRetryAfter, max(minLateRetryAfter, p.predicted-x.route.LatencyObjective))
		refusal = waxwingpick.NotRun(waxwingpick.ReasonDeadline, after, "no target can meet the latency objective")
	case waxwingpick.VerdictBlocked:
		refusal = waxwingpick.NotRun(waxwingpick.ReasonOverload, x.service.blockedRetryAfter(now), "no target accepts requests now by what the targets state")
	case waxwingpick.VerdictPlaced:
		panic("refusal of a placed request")
	}
	x.recordNoPlacement(now, p.verdict, p.predicted, refusal)
	return refusal
}

// place selects the engines of a model request, or the target of a plain one.
func (x *exchange) place(now time.Time, mayRequest bool) placed {
	if x.service.servesModels() {
		return x.service.chooseEngines(now, x.demand(), mayRequest)
	}
	return x.service.chooseTarget(now, balance.Demand{
		Arrived:          x.in.Arrived,
		LatencyObjective: x.route.LatencyObjective,
		Deadline:         x.deadline,
		Sent:             x.sends > 0,
		Exclude:          x.tried,
	}, mayRequest)
}

// crashSuspect returns the refusal of a request that has something in common with those that crashed targets.
func (x *exchange) crashSuspect(now time.Time) *waxwingpick.Refusal {
	d := x.process.crashTracker.decide(now, x.candidates(), x.trial)
	if d.Status == suspect.StatusRefused {
		x.recordCrashSuspect(now, d)
		return suspect.Refuse(d.RetryAfter)
	}
	if d.Trial != 0 {
		x.trial = d.Trial
	}
	return nil
}

// placeDecode selects the engine that generates after the prefill stage of a selection.
func (x *exchange) placeDecode(c selection) placed {
	return x.placeWithTokens(func(now time.Time, mayRequest bool) placed {
		return x.service.chooseDecode(now, x.demand(), c, mayRequest)
	})
}

func (x *exchange) demand() placement.Demand {
	return placement.Demand{
		Prompt:     x.in.Prompt,
		Parts:      x.parts,
		Priority:   x.priority(),
		PauseLimit: x.route.PauseObjective,
		Bytes:      len(x.in.Body),
		Deadline:   x.firstEventDeadline(),
		Exclude:    x.tried,
		Zone:       x.process.shareZone(x.service.name, x.parts),
	}
}

// firstEventDeadline returns the time at which the caller abandons a request whose first event has not arrived.
func (x *exchange) firstEventDeadline() time.Time {
	if idleEnd := x.in.Arrived.Add(x.route.EventTimeout); x.route.EventTimeout > 0 && idleEnd.Before(x.deadline) {
		return idleEnd
	}
	return x.deadline
}

// send makes one attempt and waits for its response, or for the first event of a stream. It returns the selection with
// the target that ran the request, which is chosen only after the prefill stage where the stages are split.
func (x *exchange) send(chosen selection) (selection, sendResult) {
	x.sends++
	if chosen.needsPrefill() {
		engine := chosen.prefill.OrElse(chosen.target)
		if s := x.runPrefill(chosen, engine); s.refusal != nil {
			x.discountUnsent(s)
			x.tried = append(x.tried, engine.ID)
			return chosen, s
		}
		// What crashed targets meanwhile is known only now.
		if refusal := x.crashSuspect(x.process.timers.Now()); refusal != nil {
			return chosen, sendResult{
				refusal: refusal,
			}
		}
		p := x.placeDecode(chosen)
		chosen = p.selection
		if p.verdict != waxwingpick.VerdictPlaced {
			return chosen, sendResult{
				refusal: x.notPlaced(x.process.timers.Now(), p),
			}
		}
	}
	x.attempts++
	x.tried = append(x.tried, chosen.target.ID)
	sentAt := x.process.timers.Now()
	reply, err := x.process.options.Targets.Send(x.ctx, waxwingpick.Dispatch{
		Inbound:     x.in,
		Target:      chosen.target,
		CopyFrom:    copySource(chosen.runStage),
		Remaining:   x.remaining(),
		Priority:    x.priority(),
		Workspace:   x.workspaceID(),
		Source:      x.kvSource(),
		ResumeAfter: x.resumeAfter(),
		Stream:      x.route.Kind == waxwingpick.RequestStream,
	})
	if err == nil && reply.Events == nil && !reply.NotRun {
		err = x.proveEnd(chosen.target, reply.Framing)
	}
	x.observeStatement(sentAt, chosen.target, reply.Statement, !reply.NotRun)
	x.service.observeStated(x.process.timers.Now(), chosen.target.ID, reply.WorkPercent)
	s := x.classify(reply, err)
	s.sentAt = sentAt
	if reply.Status != 0 && !reply.NotRun {
		now := x.process.timers.Now()
		s.beganAt = waxwingpick.Some(now)
		x.process.crashTracker.blame.Began(now)
	}
	if s.refusal != nil {
		if s.unsent() {
			x.attempts--
		}
		x.discountUnsent(s)
	}
	x.updateCache(s)
	if s.refusal == nil && reply.Events != nil {
		s = x.firstEvent(chosen, s)
	}
	x.countBegan(chosen, s)
	x.recordAttempt(chosen, s)
	return chosen, s
}

// observeStatement applies what a target states about itself in a response. ran means that the target processed the
// request.
func (x *exchange) observeStatement(sentAt time.Time, t waxwingpick.Target, stated waxwingpick.Option[waxwingpick.Statement], ran bool) {
	s, ok := stated.Get()
	if !ok {
		return
	}
	x.process.options.Metrics.Statement(x.service.name, s)
	x.process.statements.observe(x.process.timers.Now(), sentAt, t, s, ran)
}

// discountUnsent excludes a send that did not reach its target from the count that bounds all sends.
func (x *exchange) discountUnsent(s sendResult) {
	if s.unsent() {
		x.sends--
		x.unsent++
	}
}

// resumeAfter returns the ID of the event after which the caller wants to resume a stream; empty if the route does not
// allow that.
func (x *exchange) resumeAfter() string {
	if !x.route.Resumable {
		return ""
	}
	return x.in.ResumeAfter
}

func (x *exchange) remaining() time.Duration {
	return x.deadline.Sub(x.process.timers.Now())
}

// copySource returns the engine from which the engine of a stage copies KV cache. A plain service has no stages.
func copySource(stage *placement.Stage) waxwingpick.Option[waxwingpick.Target] {
	if stage == nil {
		return waxwingpick.None[waxwingpick.Target]()
	}
	return stage.CopySource()
}

// classify determines what a target's response or failure means for the request.
func (x *exchange) classify(reply waxwingpick.Dispatched, err error) sendResult {
	s := sendResult{
		reply: reply,
		err:   err,
	}
	switch {
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		s.refusal = waxwingpick.NotRun(reasonOf(err), noTargetRetry, "connection to target failed")
	case err != nil:
		s.refusal = waxwingpick.Unknown(reasonOf(err), "target response incomplete")
	case reply.Misdirected:
		s.refusal = waxwingpick.NotRun(waxwingpick.ReasonStaleIncarnation, noTargetRetry, "address belongs to another target")
	case reply.NotRun:
		s.refusal = waxwingpick.NotRun(waxwingpick.ReasonOverload, noTargetRetry, "target refused the request")
	case s.unstatedRefusal():
		s.refusal = waxwingpick.Unknown(waxwingpick.ReasonUnstatedRefusal, "target did not state that it has not run the request")
	case reply.Status >= http.StatusInternalServerError:
		// The caller still gets this response unless an attempt at another target succeeds.
		s.refusal = waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "target returned a server error")
	}
	return s
}

// firstEvent waits for the first event of a stream.
func (x *exchange) firstEvent(chosen selection, s sendResult) sendResult {
	event, err := s.reply.Events.Next()
	if err == nil {
		s.first = event
		return s
	}
	x.recordStreamEnd(chosen, s, 0, "", err)
	if errors.Is(err, io.EOF) {
		err = waxwingpick.ErrEngineLost
	}
	s.err = err
	s.refusal = waxwingpick.Unknown(reasonOf(err), "stream ended before its first event")
	return s
}

// reasonOf maps the error of an attempt to the reason reported to the caller.
func reasonOf(err error) waxwingpick.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return waxwingpick.ReasonDeadline
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		return waxwingpick.ReasonTargetUnreachable
	case errors.Is(err, waxwingpick.ErrEngineRefused):
		return waxwingpick.ReasonOverload
	}
	return waxwingpick.ReasonTargetLost
}

// closeAttempt ends an attempt whose response is discarded or has been forwarded completely.
func (x *exchange) closeAttempt(chosen selection, s sendResult) {
	if s.reply.Events != nil {
		// Events that the target still sends are discarded, so the error of Close does not matter.
		_ = s.reply.Events.Close()
	}
	now := x.process.timers.Now()
	if s.targetMissing() || s.unresponsive() {
		x.service.failed(now, chosen, s.targetMissing())
	}
	x.service.ended(now, chosen, s.response(), s.reply.Requests)
	x.checkCrash(chosen, s)
}

// checkCrash determines whether an attempt failed because its target crashed.
func (x *exchange) checkCrash(chosen selection, s sendResult) {
	target, _ := chosen.last()
	switch {
	case !s.unresponsive():
	case s.unsent():
		x.process.crashTracker.unreachable(target)
	case errors.Is(s.err, waxwingpick.ErrEndUnproven) && x.process.leaves(target):
		// A target that leaves may exit after its last response.
	default:
		f := x.flight(s)
		if chosen.runStage == nil && chosen.prefillStage != nil {
			// An engine that prefills a prompt does not begin to answer it.
			f.Candidates = f.Candidates[:1]
		}
		if errors.Is(s.err, errTargetEnded) {
			x.process.crashTracker.ended(target, f)
			return
		}
		x.process.crashTracker.responseLost(target, f)
	}
}

// flight describes the request in flight at the target of an attempt. The first candidate is the request itself.
func (x *exchange) flight(s sendResult) suspect.Flight {
	return suspect.Flight{
		ID:          x.in.ID,
		Fingerprint: x.fingerprint(),
		Parts:       x.in.Prompt.PartIDs(),
		Candidates:  x.candidates(),
		SentAt:      s.sentAt,
		BeganAt:     s.beganAt,
	}
}

// respond returns a target's response to the caller.
func (x *exchange) respond(chosen selection, s sendResult) waxwingpick.Outbound {
	x.service.countResponse()
	x.succeeded = s.reply.Status >= http.StatusOK && s.reply.Status < http.StatusMultipleChoices
	if s.reply.Events == nil {
		x.closeAttempt(chosen, s)
		return x.bufferedResponse(s)
	}
	now := x.process.timers.Now()
	x.service.streamStarted(now, chosen)
	x.process.options.Metrics.FirstEvent(x.service.name, now.Sub(x.in.Arrived))
	return waxwingpick.Outbound{
		Status:  s.reply.Status,
		Headers: s.reply.Headers,
		Events:  newRelay(x, chosen, s),
	}
}

// bufferedResponse ends the request and returns a complete response.
func (x *exchange) bufferedResponse(s sendResult) waxwingpick.Outbound {
	x.finish(nil)
	return waxwingpick.Outbound{
		Status:  s.reply.Status,
		Headers: s.reply.Headers,
		Body:    s.reply.Body,
	}
}
