package entry

import (
	"cmp"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/core/classify"
	"waxwingpick/core/retry"
	"waxwingpick/core/routing"
	"waxwingpick/core/trail"
	"waxwingpick/io/openai"
	"waxwingpick/io/sidecar"
)

// outcomeResponded is the outcome of a request or an attempt with a complete response, outcomeRefused of a failed one.
const (
	outcomeResponded  = "answered"
	outcomeRefused    = "refused"
	outcomeCallerLeft = "callerLeft"
	outcomeRetried    = "retried"
)

// beginTrail begins the decision trail of a caller's request.
func (p *Process) beginTrail(caller openai.Caller) *trail.Trail {
	return p.trails.Begin(cmp.Or(caller.RequestID, waxwingpick.RequestID(uuid.NewString())))
}

// recordAccepted records the class of an accepted request and the configuration that applies to it.
func (p *Process) recordAccepted(t *trail.Trail, now time.Time, caller openai.Caller, class classify.Result) {
	inputs := []waxwingpick.Input{
		waxwingpick.In("workspace", caller.Workspace),
		waxwingpick.InMillis("deadline", class.Deadline.Sub(now)),
		waxwingpick.In("preset", p.preset().Name),
		waxwingpick.In("configRevision", p.configRevision()),
	}
	if class.PromptTokens > 0 {
		inputs = append(inputs, waxwingpick.In("promptTokens", class.PromptTokens), waxwingpick.In("outputTokens", class.OutputTokens))
	}
	if caller.CallerRequestID != "" {
		inputs = append(inputs, waxwingpick.In("callersID", caller.CallerRequestID))
	}
	t.Add(waxwingpick.ActionAccept.Of(now, class.Class.String(), inputs...))
}

// recordRejected ends the trail of a request that was refused before a target was chosen.
func (p *Process) recordRejected(t *trail.Trail, caller openai.Caller, refusal *waxwingpick.Refusal) {
	now := p.timers.Now()
	inputs := append([]waxwingpick.Input{
		waxwingpick.In("workspace", caller.Workspace),
		waxwingpick.In("configRevision", p.configRevision()),
	}, waxwingpick.RefusalInputs(refusal)...)
	t.AddNotable(waxwingpick.ActionAccept.Of(now, outcomeRefused, inputs...))
	t.End(now)
}

// recordChoice records the choice of a target, or the refusal if there was none.
func (p *Process) recordChoice(t *trail.Trail, target chosenTarget, err error) {
	now := p.timers.Now()
	list := waxwingpick.InMillis("listAge", p.list.Age())
	if err != nil {
		t.AddNotable(waxwingpick.ActionChoose.Of(now, outcomeRefused, append(waxwingpick.RefusalInputs(refusalOf(err)), list)...))
		return
	}
	inputs := []waxwingpick.Input{
		waxwingpick.InMillis("predicted", target.choice.Predicted),
		waxwingpick.In("inTime", target.choice.InTime),
		waxwingpick.InMillis("reportAge", target.reportAge),
		list,
	}
	if target.choice.CachedTokens > 0 {
		inputs = append(inputs, waxwingpick.In("cachedTokens", target.choice.CachedTokens))
	}
	if target.prefill != nil {
		inputs = append(inputs, waxwingpick.In("prefill", target.prefill.choice.Target))
	}
	t.Add(waxwingpick.ActionChoose.Of(now, string(target.choice.Target), inputs...))
}

// recordAttempt records how an attempt ended.
func (p *Process) recordAttempt(t *trail.Trail, attempt string, target waxwingpick.TargetID, result routing.Result, err error) {
	now := p.timers.Now()
	inputs := []waxwingpick.Input{waxwingpick.In("attempt", attempt), waxwingpick.In("target", target)}
	if err == nil {
		t.Add(waxwingpick.ActionAttempt.Of(now, result.String(), inputs...))
		return
	}
	t.AddNotable(waxwingpick.ActionAttempt.Of(now, result.String(), append(inputs, waxwingpick.In("error", err.Error()))...))
}

// recordResume records that a stream is resumed at its target after a broken connection.
func (p *Process) recordResume(t *trail.Trail, attempt sidecar.Attempt, err error) {
	t.AddNotable(waxwingpick.ActionResume.Of(p.timers.Now(), string(attempt.Target), waxwingpick.In("attempt", attempt.ID),
		waxwingpick.In("offset", attempt.Offset), waxwingpick.In("error", err.Error())))
}

// recordRetryDecision records whether a request gets a new attempt.
func (p *Process) recordRetryDecision(t *trail.Trail, attemptNumber int, refusal *waxwingpick.Refusal, verdict retry.Verdict) {
	inputs := append([]waxwingpick.Input{waxwingpick.In("attempts", attemptNumber)}, waxwingpick.RefusalInputs(refusal)...)
	outcome := outcomeRefused
	if verdict.Retry {
		outcome = outcomeRetried
		inputs = append(inputs, waxwingpick.InMillis("delay", verdict.Delay))
	}
	t.AddNotable(waxwingpick.ActionRetry.Of(p.timers.Now(), outcome, inputs...))
}

// recordResult ends the trail with the result that the caller received.
func (p *Process) recordResult(t *trail.Trail, e requestResult, inputs ...waxwingpick.Input) {
	now := p.timers.Now()
	inputs = append(inputs, waxwingpick.InMillis("took", e.duration), waxwingpick.In("late", e.late))
	switch refusal := refusalIn(e.err); {
	case e.err == nil && e.late:
		t.AddNotable(waxwingpick.ActionRespond.Of(now, outcomeResponded, inputs...))
	case e.err == nil:
		t.Add(waxwingpick.ActionRespond.Of(now, outcomeResponded, inputs...))
	case refusal != nil:
		t.AddNotable(waxwingpick.ActionRespond.Of(now, outcomeRefused, append(inputs, waxwingpick.RefusalInputs(refusal)...)...))
	default:
		t.AddNotable(waxwingpick.ActionRespond.Of(now, outcomeCallerLeft, inputs...))
	}
	t.End(now)
}
