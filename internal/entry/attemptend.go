package entry

import (
	"context"

	"waxwingpick"
	"waxwingpick/core/routing"
	"waxwingpick/io/sidecar"
)

// finishAttempt reports the result of an attempt to the router and cancels a failed attempt that may still run.
func (a *attempts) finishAttempt(ctx context.Context, target chosenTarget, attempt sidecar.Attempt, end attemptEnd) {
	result := routingResult(ctx, end)
	a.targets.doneStages(a.process.timers.Now(), target, result)
	a.process.recordAttempt(a.trail, attempt.ID, attempt.Target, result, end.err)
	if end.err == nil || end.refusal != nil && isIsolationRefusal(end.refusal) {
		return
	}
	if end.refusal != nil && end.refusal.Reason == waxwingpick.ReasonCrashSuspect {
		// The sidecar recorded a crash that this entry has not received yet.
		a.process.fetchCrash(a.targets, target.instance)
	}
	if end.refusal != nil && end.refusal.Outcome == waxwingpick.OutcomeNotRun {
		return
	}
	if ctx.Err() == nil && !end.moved {
		// A crash recorded by the target's sidecar limits where the request may go next.
		a.process.fetchCrash(a.targets, target.instance)
	}
	if end.kvCacheHeld {
		// The next target fetches the KV cache and frees it. A leaving target frees an unfetched cache by itself.
		return
	}
	a.process.work.Start(func() {
		// An unreachable sidecar cancels the stream by itself, because the stream has no reader.
		_ = a.process.data.Cancel(context.WithoutCancel(ctx), target.instance.Data, attempt)
	})
}

func routingResult(ctx context.Context, end attemptEnd) routing.Result {
	switch {
	case ctx.Err() != nil:
		return routing.ResultCancelled
	case end.moved:
		return routing.ResultLeaving
	case end.refusal == nil:
		return routing.ResultResponded
	case end.refusal.Reason == waxwingpick.ReasonLeaving, end.refusal.Reason == waxwingpick.ReasonStopping,
		end.refusal.Reason == waxwingpick.ReasonTargetUnreachable:
		// An unreachable target gets no requests until a new report shows that it is available again.
		return routing.ResultLeaving
	case end.refusal.Reason == waxwingpick.ReasonTargetLost:
		return routing.ResultFailed
	}
	return routing.ResultRefused
}
