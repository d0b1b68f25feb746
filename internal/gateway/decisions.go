package gateway

import (
	"errors"
	"io"
	"time"

	"waxwingpick"
	"waxwingpick/core/bodyend"
	"waxwingpick/core/retry"
	"waxwingpick/core/suspect"
	"waxwingpick/core/workspace"
	"waxwingpick/io/prometheus"
)

// recordAccepted records the route, deadline and configuration version of a request.
func (x *exchange) recordAccepted(now time.Time, version int64, caller workspace.Caller) {
	inputs := []waxwingpick.Input{
		waxwingpick.In("route", x.route.Name),
		waxwingpick.In("kind", x.route.Kind.String()),
		waxwingpick.InMillis("deadline", x.deadline.Sub(now)),
		waxwingpick.In("version", version),
	}
	if caller.Workspace.ID != "" {
		inputs = append(inputs, callerInputs(caller)...)
	}
	if x.in.Prompt.Tokens > 0 {
		inputs = append(inputs, waxwingpick.In("promptTokens", x.in.Prompt.Tokens), waxwingpick.In("maxOutput", x.in.Prompt.MaxOutput))
	}
	x.trail.Add(waxwingpick.ActionAccept.Of(now, "taken", inputs...))
}

// recordChoice records the selection of targets.
func (x *exchange) recordChoice(now time.Time, c selection) {
	x.process.options.Metrics.ReportAges(c.loadAges)
	inputs := []waxwingpick.Input{waxwingpick.InMillis("predicted", c.predicted), waxwingpick.InMillis("ahead", c.ahead)}
	if c.heldTokens > 0 {
		inputs = append(inputs, waxwingpick.In("heldTokens", c.heldTokens))
	}
	if engine, ok := c.prefill.Get(); ok {
		inputs = append(inputs, waxwingpick.In("prefill", engine.ID))
	}
	if from, ok := copySource(c.promptStage()).Get(); ok {
		inputs = append(inputs, waxwingpick.In("copyFrom", from.ID))
	}
	x.trail.Add(waxwingpick.ActionChoose.Of(now, string(c.target.ID), inputs...))
}

// recordNoPlacement records that no target was selected.
func (x *exchange) recordNoPlacement(now time.Time, verdict waxwingpick.Verdict, predicted time.Duration, refusal *waxwingpick.Refusal) {
	inputs := append([]waxwingpick.Input{
		waxwingpick.In("service", x.service.name),
		waxwingpick.InMillis("predicted", predicted),
	}, waxwingpick.RefusalInputs(refusal)...)
	if verdict == waxwingpick.VerdictBlocked {
		inputs = append(inputs, waxwingpick.In("blockedBy", x.service.blockedBy(now)))
	}
	x.trail.AddNotable(waxwingpick.ActionChoose.Of(now, verdict.String(), inputs...))
}

// recordCrashSuspect records that the request is refused because of what crashed targets.
func (x *exchange) recordCrashSuspect(now time.Time, d suspect.Decision) {
	inputs := []waxwingpick.Input{
		waxwingpick.In("candidate", d.Candidate.String()),
		waxwingpick.In("fingerprint", x.fingerprint().String()),
		waxwingpick.In("crashes", d.Crashes),
		waxwingpick.InMillis("retryAfter", d.RetryAfter),
	}
	for _, part := range x.in.Prompt.Parts {
		if suspect.PartCandidate(part.ID) == d.Candidate {
			inputs = append(inputs, waxwingpick.In("part", part.ID))
			break
		}
	}
	x.trail.AddNotable(waxwingpick.ActionChoose.Of(now, "crashSuspect", inputs...))
}

// recordPrefillFailure records that an engine did not complete the prefill stage.
func (x *exchange) recordPrefillFailure(engine waxwingpick.Target, s sendResult) {
	x.trail.AddNotable(waxwingpick.ActionAttempt.Of(x.process.timers.Now(), "prefillFailed", waxwingpick.In("target", engine.ID),
		waxwingpick.In("error", s.err.Error())))
}

// recordPrefill records that an engine completed the prefill stage.
func (x *exchange) recordPrefill(engine waxwingpick.Target, prefilled waxwingpick.Prefilled) {
	now := x.process.timers.Now()
	inputs := append([]waxwingpick.Input{
		waxwingpick.In("target", engine.ID),
		waxwingpick.InMillis("at", now.Sub(x.in.Arrived)),
	}, statementInputs(prefilled.Statement)...)
	x.trail.Add(waxwingpick.ActionAttempt.Of(now, "prefilled", inputs...))
}

// statementInputs returns what a target states about itself in a response.
func statementInputs(stated waxwingpick.Option[waxwingpick.Statement]) []waxwingpick.Input {
	s, _ := stated.Get()
	var inputs []waxwingpick.Input
	if limit, ok := s.RequestLimit.Get(); ok {
		inputs = append(inputs, waxwingpick.In("requestLimit", limit))
	}
	if s.Leaving {
		inputs = append(inputs, waxwingpick.In("targetLeaves", true))
	}
	if delay, ok := s.RetryAfter.Get(); ok {
		inputs = append(inputs, waxwingpick.InMillis("targetRetryAfter", delay))
	}
	if len(s.Malformed) > 0 {
		inputs = append(inputs, waxwingpick.In("malformed", s.Malformed))
	}
	return inputs
}

// recordAttempt records how an attempt ended, or that its stream started.
func (x *exchange) recordAttempt(c selection, s sendResult) {
	now := x.process.timers.Now()
	x.process.options.Metrics.Attempt(x.service.name, s.refusal)
	inputs := []waxwingpick.Input{
		waxwingpick.In("target", c.target.ID),
		waxwingpick.In("status", s.reply.Status),
		waxwingpick.InMillis("at", now.Sub(x.in.Arrived)),
	}
	inputs = append(inputs, statementInputs(s.reply.Statement)...)
	if s.refusal == nil {
		x.trail.Add(waxwingpick.ActionAttempt.Of(now, "answered", inputs...))
		return
	}
	if s.err != nil {
		inputs = append(inputs, waxwingpick.In("error", s.err.Error()))
	}
	x.trail.AddNotable(waxwingpick.ActionAttempt.Of(now, string(s.refusal.Reason), append(inputs, waxwingpick.In("outcome", s.refusal.Outcome))...))
}

// recordStreamEnd records how the stream of an attempt ended after a number of events.
func (x *exchange) recordStreamEnd(c selection, s sendResult, events int, lastID string, err error) {
	end := prometheus.StreamEndInterrupted
	switch {
	case errors.Is(err, io.EOF) && events == 0:
		end = prometheus.StreamEndEmpty
	case errors.Is(err, io.EOF):
		end = prometheus.StreamEndRegular
	case errors.Is(err, waxwingpick.ErrEndUnproven):
		end = prometheus.StreamEndUnproven
	case errors.Is(err, waxwingpick.ErrEventTruncated):
		end = prometheus.StreamEndInsideEvent
	}
	x.process.options.Metrics.StreamEnd(s.reply.Framing, end)
	d := waxwingpick.ActionAttempt.Of(x.process.timers.Now(), "streamEnded",
		waxwingpick.In("target", c.target.ID),
		waxwingpick.In("framing", s.reply.Framing.String()),
		waxwingpick.In("end", end),
		waxwingpick.In("events", events),
		waxwingpick.In("lastEvent", lastID))
	if end == prometheus.StreamEndRegular {
		x.trail.Add(d)
		return
	}
	x.trail.AddNotable(d)
}

// recordEndCheck records what is known of a response that ended with its connection at began.
func (x *exchange) recordEndCheck(began time.Time, t waxwingpick.Target, verdict bodyend.Verdict, err error) {
	now := x.process.timers.Now()
	x.process.options.Metrics.EndCheck(verdict.String())
	inputs := []waxwingpick.Input{
		waxwingpick.In("target", t.ID),
		waxwingpick.In("verdict", verdict.String()),
		waxwingpick.InMillis("took", now.Sub(began)),
	}
	if err != nil {
		inputs = append(inputs, waxwingpick.In("error", err.Error()))
	}
	d := waxwingpick.ActionAttempt.Of(now, "endChecked", inputs...)
	if verdict == bodyend.VerdictComplete {
		x.trail.Add(d)
		return
	}
	x.trail.AddNotable(d)
}

// recordRetry records whether the request is retried.
func (x *exchange) recordRetry(now time.Time, refusal *waxwingpick.Refusal, verdict retry.Verdict) {
	outcome := "refused"
	if verdict.Retry {
		outcome = "retried"
		x.process.options.Metrics.Retry(refusal.Reason)
	}
	inputs := append([]waxwingpick.Input{
		waxwingpick.In("attempts", x.attempts),
		waxwingpick.InMillis("delay", verdict.Delay),
	}, waxwingpick.RefusalInputs(refusal)...)
	x.trail.AddNotable(waxwingpick.ActionRetry.Of(now, outcome, inputs...))
}

// recordEnd completes the record of the request with its outcome.
func (x *exchange) recordEnd(refusal *waxwingpick.Refusal) {
	now := x.process.timers.Now()
	took := now.Sub(x.in.Arrived)
	inputs := []waxwingpick.Input{
		waxwingpick.In("route", x.route.Name),
		waxwingpick.InMillis("took", took),
	}
	result := x.result(refusal)
	switch {
	case refusal == nil:
		x.trail.Add(waxwingpick.ActionRespond.Of(now, string(result), inputs...))
	case result == prometheus.ResultCallerLeft:
		x.trail.AddNotable(waxwingpick.ActionRespond.Of(now, string(result), inputs...))
	default:
		x.process.options.Metrics.Refused(refusal)
		x.trail.AddNotable(waxwingpick.ActionRespond.Of(now, "refused", append(inputs, waxwingpick.RefusalInputs(refusal)...)...))
	}
	x.trail.End(now)
	name := waxwingpick.ServiceName("")
	if x.service != nil {
		name = x.service.name
	}
	x.process.options.Metrics.Ended(name, x.route.Kind, result, took)
}

// result returns the outcome of the request for its caller.
func (x *exchange) result(refusal *waxwingpick.Refusal) prometheus.Result {
	switch {
	case refusal == nil:
		return prometheus.ResultResponded
	case x.callerLeft || x.callerCtx.Err() != nil:
		return prometheus.ResultCallerLeft
	case refusal.Outcome == waxwingpick.OutcomeNotRun:
		return prometheus.ResultNotRun
	}
	return prometheus.ResultUnknown
}
