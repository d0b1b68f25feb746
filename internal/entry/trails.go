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

// outcomeAnswered is the outcome of a request or an attempt with a whole answer, outcomeRefused of one that was given up.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeLeft     = "callerLeft"
	outcomeRetried  = "retried"
)

// arrived begins the trail of a caller's request.
func (p *Process) arrived(caller openai.Caller) *trail.Trail {
	return p.trails.Begin(cmp.Or(caller.RequestID, waxwingpick.RequestID(uuid.NewString())))
}

// accepted notes what a request was taken for, under which configuration.
func (p *Process) accepted(t *trail.Trail, now time.Time, caller openai.Caller, class classify.Result) {
	inputs := []waxwingpick.Input{
		waxwingpick.In("workspace", caller.Workspace),
		waxwingpick.InMillis("deadline", class.Deadline.Sub(now)),
		waxwingpick.In("preset", p.preset().Name),
		waxwingpick.In("configRevision", p.configRevision()),
	}
	if class.PromptTokens > 0 {
		inputs = append(inputs, waxwingpick.In("promptTokens", class.PromptTokens), waxwingpick.In("outputTokens", class.OutputTokens))
	}
	if caller.OwnID != "" {
		inputs = append(inputs, waxwingpick.In("callersID", caller.OwnID))
	}
	t.Add(waxwingpick.ActionAccept.Of(now, class.Class.String(), inputs...))
}

// turnedAway ends the trail of a request that was refused before a target was chosen.
func (p *Process) turnedAway(t *trail.Trail, caller openai.Caller, refusal *waxwingpick.Refusal) {
	now := p.timers.Now()
	inputs := append([]waxwingpick.Input{
		waxwingpick.In("workspace", caller.Workspace),
		waxwingpick.In("configRevision", p.configRevision()),
	}, waxwingpick.RefusalInputs(refusal)...)
	t.Note(waxwingpick.ActionAccept.Of(now, outcomeRefused, inputs...))
	t.End(now)
}

// picked notes the choice of a target, or that there was none.
func (p *Process) picked(t *trail.Trail, target chosen, err error) {
	now := p.timers.Now()
	list := waxwingpick.InMillis("listAge", p.list.Age())
	if err != nil {
		t.Note(waxwingpick.ActionChoose.Of(now, outcomeRefused, append(waxwingpick.RefusalInputs(refusalOf(err)), list)...))
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

// attempted notes how an attempt ended.
func (p *Process) attempted(t *trail.Trail, attempt string, target waxwingpick.TargetID, result routing.Result, err error) {
	now := p.timers.Now()
	inputs := []waxwingpick.Input{waxwingpick.In("attempt", attempt), waxwingpick.In("target", target)}
	if err == nil {
		t.Add(waxwingpick.ActionAttempt.Of(now, result.String(), inputs...))
		return
	}
	t.Note(waxwingpick.ActionAttempt.Of(now, result.String(), append(inputs, waxwingpick.In("error", err.Error()))...))
}

// resumed notes that a stream goes on at its target after a broken connection.
func (p *Process) resumed(t *trail.Trail, attempt sidecar.Attempt, err error) {
	t.Note(waxwingpick.ActionResume.Of(p.timers.Now(), string(attempt.Target), waxwingpick.In("attempt", attempt.ID),
		waxwingpick.In("offset", attempt.Offset), waxwingpick.In("error", err.Error())))
}

// judged notes whether a request gets a new attempt.
func (p *Process) judged(t *trail.Trail, made int, refusal *waxwingpick.Refusal, verdict retry.Verdict) {
	inputs := append([]waxwingpick.Input{waxwingpick.In("attempts", made)}, waxwingpick.RefusalInputs(refusal)...)
	outcome := outcomeRefused
	if verdict.Retry {
		outcome = outcomeRetried
		inputs = append(inputs, waxwingpick.InMillis("delay", verdict.Delay))
	}
	t.Note(waxwingpick.ActionRetry.Of(p.timers.Now(), outcome, inputs...))
}

// concluded ends the trail with what the caller got.
func (p *Process) concluded(t *trail.Trail, e ended, inputs ...waxwingpick.Input) {
	now := p.timers.Now()
	inputs = append(inputs, waxwingpick.InMillis("took", e.took), waxwingpick.In("late", e.late))
	switch refusal := refusalIn(e.err); {
	case e.err == nil && e.late:
		t.Note(waxwingpick.ActionAnswer.Of(now, outcomeAnswered, inputs...))
	case e.err == nil:
		t.Add(waxwingpick.ActionAnswer.Of(now, outcomeAnswered, inputs...))
	case refusal != nil:
		t.Note(waxwingpick.ActionAnswer.Of(now, outcomeRefused, append(inputs, waxwingpick.RefusalInputs(refusal)...)...))
	default:
		t.Note(waxwingpick.ActionAnswer.Of(now, outcomeLeft, inputs...))
	}
	t.End(now)
}
