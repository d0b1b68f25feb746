package entry

import (
	"context"

	"waxwingpick"
	"waxwingpick/core/routing"
	"waxwingpick/io/sidecar"
)

// conclude tells the router how an attempt ended and frees what a lost one may still hold.
func (a *attempts) conclude(ctx context.Context, target chosen, attempt sidecar.Attempt, end attemptEnd) {
	result := resultOf(ctx, end)
	a.targets.doneLegs(a.process.timers.Now(), target, result)
	a.process.attempted(a.trail, attempt.ID, attempt.Target, result, end.err)
	if end.err == nil || end.refusal != nil && isolated(end.refusal) {
		return
	}
	if end.refusal != nil && end.refusal.Reason == waxwingpick.ReasonCrashSuspect {
		// The sidecar knows of a crash that this entry has not heard of.
		a.process.learnCrash(a.targets, target.instance)
	}
	if end.refusal != nil && end.refusal.Outcome == waxwingpick.OutcomeNotRun {
		return
	}
	if ctx.Err() == nil && !end.moved {
		// What the target's sidecar knows of a crash decides where the request may go next.
		a.process.learnCrash(a.targets, target.instance)
	}
	if end.held {
		// The next target fetches the KV cache and frees it; a leaving target frees by itself what nobody fetches.
		return
	}
	a.process.work.Start(func() {
		// A sidecar that can't be reached cancels the stream itself, for want of a reader.
		_ = a.process.data.Cancel(context.WithoutCancel(ctx), target.instance.Data, attempt)
	})
}

func resultOf(ctx context.Context, end attemptEnd) routing.Result {
	switch {
	case ctx.Err() != nil:
		return routing.ResultCancelled
	case end.moved:
		return routing.ResultLeaving
	case end.refusal == nil:
		return routing.ResultAnswered
	case end.refusal.Reason == waxwingpick.ReasonLeaving, end.refusal.Reason == waxwingpick.ReasonStopping,
		end.refusal.Reason == waxwingpick.ReasonTargetUnreachable:
		// Where nobody listens, nothing is sent until a new report says that the target is back.
		return routing.ResultLeaving
	case end.refusal.Reason == waxwingpick.ReasonTargetLost:
		return routing.ResultFailed
	}
	return routing.ResultRefused
}
