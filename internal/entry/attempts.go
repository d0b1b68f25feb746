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
	initialResumeDelay = 20 * time.Millisecond
	minRemaining       = time.Millisecond
	noTargetRetryAfter = 2 * time.Second
	// targetPollInterval is the time between two searches for a target that can continue a partly delivered response.
	targetPollInterval = 100 * time.Millisecond
)

// errSlowCaller is returned when the unread part of a response exceeds its buffer.
var errSlowCaller = eris.New("caller reads too slowly")

// attempts sends the attempts of one generation until its response is complete or has failed.
type attempts struct {
	*generation
	attemptID    string
	attemptCount int
	tried        []waxwingpick.TargetID
	// lastRefusal is why the latest attempt failed; nil if none has.
	lastRefusal *waxwingpick.Refusal
	// source is the leaving target that holds the KV cache of the response; nil if there is none.
	source *sidecar.MoveSource
	// moving reports that a planned move has ended the stream on one target and no other target has accepted it yet.
	moving bool
}

// attemptEnd describes how the frames of one connection ended.
type attemptEnd struct {
	// done reports that the response has ended, whether completely or with a failure.
	done    bool
	refusal *waxwingpick.Refusal
	step    stream.Step
	err     error
	// moved reports that a leaving target gave up its stream for a planned move.
	moved bool
	// kvCacheHeld reports that the leaving target keeps the stream's KV cache for the next attempt.
	kvCacheHeld bool
}

func (a *attempts) run(ctx context.Context) {
	for {
		target, err := a.choose()
		a.process.recordChoice(a.trail, target, err)
		if err != nil && a.mayWaitForTarget(refusalOf(err)) && a.process.pause(ctx, targetPollInterval) {
			a.tried = nil
			continue
		}
		if err != nil {
			a.fail(a.preferLastRefusal(refusalOf(err)))
			return
		}
		a.attemptCount++
		a.setTarget(target.choice.Target)
		a.tried = append(a.tried, target.choice.Target)
		end := a.try(ctx, target)
		a.recordMove(target, end)
		if end.done || !a.prepareRetry(ctx, end) {
			return
		}
	}
}

// preferLastRefusal replaces a no-target refusal with the refusal of the latest attempt, which is more specific.
func (a *attempts) preferLastRefusal(refusal *waxwingpick.Refusal) *waxwingpick.Refusal {
	if refusal.Reason == waxwingpick.ReasonNoTarget && a.lastRefusal != nil {
		return a.lastRefusal
	}
	return refusal
}

// mayWaitForTarget reports whether a partly delivered response waits for a target to become available instead of failing.
func (a *attempts) mayWaitForTarget(refusal *waxwingpick.Refusal) bool {
	return refusal.Reason == waxwingpick.ReasonNoTarget && a.hasOutput()
}

// choose selects the next target. A crash suspect may only go to its owner target.
func (a *attempts) choose() (chosenTarget, error) {
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
		return chosenTarget{}, err
	}
	target, err := a.chooseStages(now, req)
	if err != nil && refusalOf(err).Reason == waxwingpick.ReasonWrongModel {
		// The configuration lists the model, so a target is expected to serve it later.
		return target, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, noTargetRetryAfter, "no target serves the model now")
	}
	return target, err
}

// chooseStages selects one engine if a leaving target holds the KV cache. Otherwise it may split the request into a prefill
// and a decode engine, if that is faster.
func (a *attempts) chooseStages(now time.Time, req routing.Request) (chosenTarget, error) {
	if a.source != nil {
		req.Stage = routing.StageDecode
		return a.targets.choose(now, req)
	}
	return a.targets.chooseStageTargets(now, req)
}

// recordMove tracks a planned move and the target that holds the KV cache, until an attempt may have fetched it.
func (a *attempts) recordMove(target chosenTarget, end attemptEnd) {
	notRun := end.refusal != nil && end.refusal.Outcome == waxwingpick.OutcomeNotRun
	a.moving = end.moved || a.moving && notRun
	switch {
	case end.kvCacheHeld:
		a.source = &sidecar.MoveSource{
			Target:  target.choice.Target,
			Data:    target.instance.Data,
			Attempt: a.attemptID,
		}
	case !notRun:
		a.source = nil
	}
}

// try runs one attempt until it ends, resuming its stream after broken connections.
func (a *attempts) try(ctx context.Context, target chosenTarget) attemptEnd {
	attempt := a.newAttempt(target)
	delivered := a.delivered()
	if a.call.Request.Exhausted(delivered) {
		return a.finishByLength(target)
	}
	body, err := a.engineBody(delivered)
	if err != nil {
		a.fail(waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, err.Error()))
		return attemptEnd{
			done: true,
		}
	}
	continueAfter(&attempt, delivered.Tokens)
	frames, err := a.process.data.Generate(ctx, target.instance.Data, attempt, body)
	for resumes := 0; ; resumes++ {
		end := a.readFrames(ctx, frames, err)
		if end.step.Kind != stream.StepResume {
			a.finishAttempt(ctx, target, attempt, end)
			return end
		}
		if !a.process.pause(ctx, initialResumeDelay<<resumes) {
			end.done = true
			a.finishAttempt(ctx, target, attempt, end)
			return end
		}
		attempt.Offset = end.step.Offset
		a.process.recordResume(a.trail, attempt, end.err)
		attempt.RemainingMillis = a.remaining().Milliseconds()
		frames, err = a.process.data.Resume(ctx, target.instance.Data, attempt)
	}
}

// engineBody returns the request body for an engine. The first attempt reuses the body that was encoded for the fingerprint.
func (a *attempts) engineBody(delivered openai.Delivered) ([]byte, error) {
	body := a.body
	a.body = nil
	if body != nil && delivered.Text == "" {
		return body, nil
	}
	return a.call.Request.EngineBody(delivered)
}

// continueAfter makes an attempt continue a response after the given number of delivered tokens.
func continueAfter(attempt *sidecar.Attempt, tokens int) {
	if tokens == 0 {
		return
	}
	attempt.Continuation = true
	attempt.PromptTokens += tokens
	attempt.OutputTokens = max(1, attempt.OutputTokens-tokens)
	if attempt.Source != nil {
		attempt.Source.Tokens = attempt.PromptTokens
	}
}

// finishByLength ends a response whose tokens were all delivered although its final event was lost.
func (a *attempts) finishByLength(target chosenTarget) attemptEnd {
	a.targets.doneStages(a.process.timers.Now(), target, routing.ResultCancelled)
	data, err := openai.LengthLimitChunk(a.call.Request.Path(), a.call.Request.Model())
	if err != nil {
		a.fail(waxwingpick.Unknown(waxwingpick.ReasonTargetLost, err.Error()))
	} else {
		a.accept(a.attemptID, 0, data, false)
		a.accept(a.attemptID, 1, nil, true)
	}
	return attemptEnd{
		done: true,
	}
}

// prepareRetry decides whether a new attempt follows a failed one, and waits for the retry delay.
func (a *attempts) prepareRetry(ctx context.Context, end attemptEnd) bool {
	if end.refusal != nil && isIsolationRefusal(end.refusal) {
		return a.process.pause(ctx, isolationRetryDelay)
	}
	if end.moved {
		// A planned move is not a failure, so it does not use the retry budget.
		a.renewAttemptID()
		return true
	}
	if a.moving && end.refusal != nil && end.refusal.Outcome == waxwingpick.OutcomeNotRun {
		// A planned move must not fail a response only because the other targets are busy.
		a.tried = nil
		a.renewAttemptID()
		return a.process.pause(ctx, targetPollInterval)
	}
	a.lastRefusal = end.refusal
	verdict := a.process.decide(retry.Attempt{
		Number:     a.attemptCount,
		Refusal:    end.refusal,
		Repeatable: true,
		Deadline:   a.class.Deadline,
	})
	a.process.recordRetryDecision(a.trail, a.attemptCount, end.refusal, verdict)
	if !verdict.Retry {
		a.fail(verdict.Refusal)
		return false
	}
	a.process.outcomes.metrics.Retry(end.refusal.Reason)
	if !a.process.pause(ctx, verdict.Delay) {
		return false
	}
	a.renewAttemptID()
	return true
}

// renewAttemptID assigns a new attempt ID, whose events continue after those already accepted.
func (a *attempts) renewAttemptID() {
	a.attemptID = uuid.NewString()
	a.restart(a.attemptID)
}

func (a *attempts) newAttempt(target chosenTarget) sidecar.Attempt {
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
		Suspicion:       a.process.suspectRecord(a.fingerprint),
		Repeatable:      true,
		Prefill:         prefillStage(target),
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
