package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/retry"
	"waxwingpick/core/routing"
	"waxwingpick/core/stream"
	"waxwingpick/io/openai"
	"waxwingpick/io/sidecar"
)

const (
	firstResumeWait = 20 * time.Millisecond
	minRemaining    = time.Millisecond
	noTargetRetry   = 2 * time.Second
	// targetWait is the time between two looks for a target that can go on with a begun answer.
	targetWait = 100 * time.Millisecond
)

// errSlowCaller says that the caller left too much of its answer unread.
var errSlowCaller = eris.New("caller reads too slowly")

// attempts makes attempts for one generation until its answer is whole or given up.
type attempts struct {
	*generation
	attemptID string
	made      int
	tried     []waxwingpick.TargetID
	// last is why the latest attempt ended without a whole answer; nil before it did.
	last *waxwingpick.Refusal
	// source is the leaving target that holds the answer's KV cache; nil where none does.
	source *sidecar.MoveSource
	// moving says that a planned move took the answer off its target and no other target has taken it yet.
	moving bool
}

// attemptEnd is how the frames of one connection ended.
type attemptEnd struct {
	// over says that the answer is finished, one way or another.
	over    bool
	refusal *waxwingpick.Refusal
	step    stream.Step
	err     error
	// moved says that a leaving target handed its stream over.
	moved bool
	// held says that the leaving target keeps the stream's KV cache for the next attempt.
	held bool
}

func (a *attempts) run(ctx context.Context) {
	for {
		target, err := a.choose()
		a.process.picked(a.trail, target, err)
		if err != nil && a.mayWait(refusalOf(err)) && a.process.pause(ctx, targetWait) {
			a.tried = nil
			continue
		}
		if err != nil {
			a.fail(a.lastOr(refusalOf(err)))
			return
		}
		a.made++
		a.sentTo(target.choice.Target)
		a.tried = append(a.tried, target.choice.Target)
		end := a.try(ctx, target)
		a.noteMove(target, end)
		if end.over || !a.again(ctx, end) {
			return
		}
	}
}

// lastOr returns why the latest attempt failed where a new one only lacks a further target, which says less to the caller.
func (a *attempts) lastOr(refusal *waxwingpick.Refusal) *waxwingpick.Refusal {
	if refusal.Reason == waxwingpick.ReasonNoTarget && a.last != nil {
		return a.last
	}
	return refusal
}

// mayWait reports whether an answer that has begun waits for a target to come back rather than fail.
func (a *attempts) mayWait(refusal *waxwingpick.Refusal) bool {
	return refusal.Reason == waxwingpick.ReasonNoTarget && a.begun()
}

// choose picks the next target; a crash suspect goes to its home target alone.
func (a *attempts) choose() (chosen, error) {
	now := a.process.timers.Now()
	req := routing.Request{
		Class:        a.class.Class,
		Model:        a.call.Request.Model(),
		PromptTokens: a.class.PromptTokens,
		OutputTokens: a.class.OutputTokens,
		Prefix:       a.prefix,
		Deadline:     a.class.Deadline,
		Exclude:      a.tried,
	}
	if err := a.process.isolate(&req, a.fingerprint, a.targets); err != nil {
		return chosen{}, err
	}
	target, err := a.chooseFrom(now, req)
	if err != nil && refusalOf(err).Reason == waxwingpick.ReasonWrongModel {
		// The configuration lists the model, so a target will serve it.
		return target, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, noTargetRetry, "no target serves the model now")
	}
	return target, err
}

// chooseFrom picks one engine for an answer whose KV cache is held, else one for each leg where that is sooner.
func (a *attempts) chooseFrom(now time.Time, req routing.Request) (chosen, error) {
	if a.source != nil {
		req.Leg = routing.LegDecode
		return a.targets.choose(now, req)
	}
	return a.targets.chooseLegs(now, req)
}

// noteMove keeps that the answer moves and where its KV cache is held, until an attempt may have taken it.
func (a *attempts) noteMove(target chosen, end attemptEnd) {
	notRun := end.refusal != nil && end.refusal.Outcome == waxwingpick.OutcomeNotRun
	a.moving = end.moved || a.moving && notRun
	switch {
	case end.held:
		a.source = &sidecar.MoveSource{
			Target:  target.choice.Target,
			Data:    target.instance.Data,
			Attempt: a.attemptID,
		}
	case !notRun:
		a.source = nil
	}
}

// try runs one attempt, with resumes, until it ends.
func (a *attempts) try(ctx context.Context, target chosen) attemptEnd {
	attempt := a.describe(target)
	delivered := a.delivered()
	if a.call.Request.Exhausted(delivered) {
		return a.finishByLength(target)
	}
	body, err := a.engineBody(delivered)
	if err != nil {
		a.fail(waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, err.Error()))
		return attemptEnd{
			over: true,
		}
	}
	continueAfter(&attempt, delivered.Tokens)
	frames, err := a.process.data.Generate(ctx, target.instance.Data, attempt, body)
	for resumes := 0; ; resumes++ {
		end := a.read(ctx, frames, err)
		if end.step.Kind != stream.StepResume {
			a.conclude(ctx, target, attempt, end)
			return end
		}
		if !a.process.pause(ctx, firstResumeWait<<resumes) {
			end.over = true
			a.conclude(ctx, target, attempt, end)
			return end
		}
		attempt.Offset = end.step.Offset
		a.process.resumed(a.trail, attempt, end.err)
		attempt.RemainingMillis = a.remaining().Milliseconds()
		frames, err = a.process.data.Resume(ctx, target.instance.Data, attempt)
	}
}

// engineBody returns the request for an engine; the first attempt takes the body that was made for the fingerprint.
func (a *attempts) engineBody(delivered openai.Delivered) ([]byte, error) {
	body := a.body
	a.body = nil
	if body != nil && delivered.Text == "" {
		return body, nil
	}
	return a.call.Request.EngineBody(delivered)
}

// continueAfter makes an attempt continue an answer of which the caller has some tokens.
func continueAfter(attempt *sidecar.Attempt, tokens int) {
	if tokens == 0 {
		return
	}
	attempt.Begun = true
	attempt.PromptTokens += tokens
	attempt.OutputTokens = max(1, attempt.OutputTokens-tokens)
	if attempt.Source != nil {
		attempt.Source.Tokens = attempt.PromptTokens
	}
}

// finishByLength ends an answer whose tokens were all delivered before its end was lost.
func (a *attempts) finishByLength(target chosen) attemptEnd {
	a.targets.doneLegs(a.process.timers.Now(), target, routing.ResultCancelled)
	data, err := openai.FinishedByLength(a.call.Request.Path(), a.call.Request.Model())
	if err != nil {
		a.fail(waxwingpick.Unknown(waxwingpick.ReasonTargetLost, err.Error()))
	} else {
		a.accept(a.attemptID, 0, data, false)
		a.accept(a.attemptID, 1, nil, true)
	}
	return attemptEnd{
		over: true,
	}
}

// again decides on a new attempt after one that ended without a whole answer.
func (a *attempts) again(ctx context.Context, end attemptEnd) bool {
	if end.refusal != nil && isolated(end.refusal) {
		return a.process.pause(ctx, isolationWait)
	}
	if end.moved {
		// A planned move is no failure, so it takes nothing from the retry budget.
		a.begin()
		return true
	}
	if a.moving && end.refusal != nil && end.refusal.Outcome == waxwingpick.OutcomeNotRun {
		// A planned move cuts no answer because the other targets are busy now.
		a.tried = nil
		a.begin()
		return a.process.pause(ctx, targetWait)
	}
	a.last = end.refusal
	verdict := a.process.decide(retry.Attempt{
		Number:     a.made,
		Refusal:    end.refusal,
		Repeatable: true,
		Deadline:   a.class.Deadline,
	})
	a.process.judged(a.trail, a.made, end.refusal, verdict)
	if !verdict.Retry {
		a.fail(verdict.Refusal)
		return false
	}
	a.process.outcomes.metrics.Retry(end.refusal.Reason)
	if !a.process.pause(ctx, verdict.Delay) {
		return false
	}
	a.begin()
	return true
}

// begin takes a new attempt ID, whose events follow what was accepted.
func (a *attempts) begin() {
	a.attemptID = uuid.NewString()
	a.restart(a.attemptID)
}

func (a *attempts) describe(target chosen) sidecar.Attempt {
	return sidecar.Attempt{
		ID:              a.attemptID,
		Request:         a.trail.Request(),
		Service:         target.instance.Service,
		Target:          target.choice.Target,
		Workspace:       a.call.Caller.Workspace,
		Class:           a.class.Class,
		Path:            a.call.Request.Path(),
		Model:           a.call.Request.Model(),
		PromptTokens:    a.class.PromptTokens,
		OutputTokens:    a.class.OutputTokens,
		RemainingMillis: a.remaining().Milliseconds(),
		Urgency:         a.class.Urgency,
		ConfigRevision:  a.process.configRevision(),
		Fingerprint:     a.fingerprint,
		Suspicion:       a.process.suspicion(a.fingerprint),
		Repeatable:      true,
		Prefill:         prefillLeg(target),
		Source:          a.source,
		Traceparent:     a.call.Caller.Traceparent,
	}
}

func (a *attempts) remaining() time.Duration {
	return max(minRemaining, a.class.Deadline.Sub(a.process.timers.Now()))
}

func refusalOf(err error) *waxwingpick.Refusal {
	if refusal := refusalIn(err); refusal != nil {
		return refusal
	}
	return waxwingpick.Unknown(waxwingpick.ReasonTargetLost, err.Error())
}
