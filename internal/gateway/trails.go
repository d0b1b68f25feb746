package gateway

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/retry"
	"waxwingpick/io/prometheus"
)

// accepted notes what a request was taken for, under which configuration.
func (x *exchange) accepted(now time.Time, version int64) {
	inputs := []waxwingpick.Input{
		waxwingpick.In("route", x.route.Name),
		waxwingpick.In("kind", x.route.Kind.String()),
		waxwingpick.InMillis("deadline", x.deadline.Sub(now)),
		waxwingpick.In("version", version),
	}
	if x.in.Prompt.Tokens > 0 {
		inputs = append(inputs, waxwingpick.In("promptTokens", x.in.Prompt.Tokens), waxwingpick.In("maxOutput", x.in.Prompt.MaxOutput))
	}
	x.trail.Add(waxwingpick.ActionAccept.Of(now, "taken", inputs...))
}

// chosen notes the choice of targets.
func (x *exchange) chosen(now time.Time, c pick) {
	x.process.options.Metrics.ToldAges(c.ages)
	inputs := []waxwingpick.Input{waxwingpick.InMillis("predicted", c.predicted), waxwingpick.InMillis("ahead", c.ahead)}
	if c.held > 0 {
		inputs = append(inputs, waxwingpick.In("heldTokens", c.held))
	}
	if reader, ok := c.prefill.Get(); ok {
		inputs = append(inputs, waxwingpick.In("prefill", reader.ID))
	}
	if from, ok := copyFrom(c.readLeg()).Get(); ok {
		inputs = append(inputs, waxwingpick.In("copyFrom", from.ID))
	}
	x.trail.Add(waxwingpick.ActionChoose.Of(now, string(c.run.ID), inputs...))
}

// unplaced notes that no target was chosen.
func (x *exchange) unplaced(now time.Time, verdict waxwingpick.Verdict, predicted time.Duration, refusal *waxwingpick.Refusal) {
	inputs := append([]waxwingpick.Input{
		waxwingpick.In("service", x.service.name),
		waxwingpick.InMillis("predicted", predicted),
	}, waxwingpick.RefusalInputs(refusal)...)
	x.trail.Note(waxwingpick.ActionChoose.Of(now, verdict.String(), inputs...))
}

// convicted notes that the request is refused since it crashed targets.
func (x *exchange) convicted(now time.Time) {
	x.trail.Note(waxwingpick.ActionChoose.Of(now, "crashSuspect", waxwingpick.In("fingerprint", x.fingerprint().String())))
}

// prefillFailed notes that an engine did not read the prompt.
func (x *exchange) prefillFailed(reader waxwingpick.Target, s sent) {
	x.trail.Note(waxwingpick.ActionAttempt.Of(x.process.timers.Now(), "prefillFailed", waxwingpick.In("target", reader.ID),
		waxwingpick.In("error", s.err.Error())))
}

// prefilled notes that an engine has read the prompt.
func (x *exchange) prefilled(reader waxwingpick.Target) {
	now := x.process.timers.Now()
	x.trail.Add(waxwingpick.ActionAttempt.Of(now, "prefilled", waxwingpick.In("target", reader.ID),
		waxwingpick.InMillis("at", now.Sub(x.in.Arrived))))
}

// attempted notes how an attempt ended, or that its stream has begun.
func (x *exchange) attempted(c pick, s sent) {
	now := x.process.timers.Now()
	x.process.options.Metrics.Attempt(x.service.name, s.refusal)
	inputs := []waxwingpick.Input{
		waxwingpick.In("target", c.run.ID),
		waxwingpick.In("status", s.reply.Status),
		waxwingpick.InMillis("at", now.Sub(x.in.Arrived)),
	}
	if s.refusal == nil {
		x.trail.Add(waxwingpick.ActionAttempt.Of(now, "answered", inputs...))
		return
	}
	if s.err != nil {
		inputs = append(inputs, waxwingpick.In("error", s.err.Error()))
	}
	x.trail.Note(waxwingpick.ActionAttempt.Of(now, string(s.refusal.Reason), append(inputs, waxwingpick.In("outcome", s.refusal.Outcome))...))
}

// judged notes whether the request gets a new attempt.
func (x *exchange) judged(now time.Time, refusal *waxwingpick.Refusal, verdict retry.Verdict) {
	outcome := "refused"
	if verdict.Retry {
		outcome = "retried"
		x.process.options.Metrics.Retry(refusal.Reason)
	}
	inputs := append([]waxwingpick.Input{
		waxwingpick.In("attempts", x.attempts),
		waxwingpick.InMillis("delay", verdict.Delay),
	}, waxwingpick.RefusalInputs(refusal)...)
	x.trail.Note(waxwingpick.ActionRetry.Of(now, outcome, inputs...))
}

// concluded ends the trail with what the caller got.
func (x *exchange) concluded(refusal *waxwingpick.Refusal) {
	now := x.process.timers.Now()
	took := now.Sub(x.in.Arrived)
	inputs := []waxwingpick.Input{
		waxwingpick.In("route", x.route.Name),
		waxwingpick.InMillis("took", took),
	}
	result := x.result(refusal)
	switch {
	case refusal == nil:
		x.trail.Add(waxwingpick.ActionAnswer.Of(now, string(result), inputs...))
	case result == prometheus.ResultLeft:
		x.trail.Note(waxwingpick.ActionAnswer.Of(now, string(result), inputs...))
	default:
		x.process.options.Metrics.Refused(refusal)
		x.trail.Note(waxwingpick.ActionAnswer.Of(now, "refused", append(inputs, waxwingpick.RefusalInputs(refusal)...)...))
	}
	x.trail.End(now)
	name := waxwingpick.ServiceName("")
	if x.service != nil {
		name = x.service.name
	}
	x.process.options.Metrics.Ended(name, x.route.Kind, result, took)
}

// result tells how the request ended for its caller.
func (x *exchange) result(refusal *waxwingpick.Refusal) prometheus.Result {
	switch {
	case refusal == nil:
		return prometheus.ResultAnswered
	case x.left || x.callers.Err() != nil:
		return prometheus.ResultLeft
	case refusal.Outcome == waxwingpick.OutcomeNotRun:
		return prometheus.ResultNotRun
	}
	return prometheus.ResultUnknown
}
