package entry

import (
	"context"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/stream"
	"waxwingpick/io/sidecar"
)

// read takes frames until the connection ends one way or another.
func (a *attempts) read(ctx context.Context, frames *sidecar.Stream, err error) attemptEnd {
	if err != nil {
		return a.lost(err)
	}
	defer frames.Close()
	for {
		f, err := frames.Next()
		if ctx.Err() != nil {
			return attemptEnd{
				over: true,
				err:  ctx.Err(),
			}
		}
		if err != nil {
			return a.lost(err)
		}
		if end, ended := a.take(f); ended {
			return end
		}
	}
}

// take handles one frame and reports whether the connection is done.
func (a *attempts) take(f sidecar.Frame) (attemptEnd, bool) {
	if f.Report != nil {
		a.targets.observe(a.process.timers.Now(), *f.Report)
	}
	switch {
	case f.Refusal != nil && isolated(f.Refusal):
		return attemptEnd{
			refusal: f.Refusal,
			err:     f.Refusal,
		}, true
	case f.Refusal != nil:
		return a.lost(f.Refusal), true
	case f.Broken:
		return a.lost(waxwingpick.ErrStreamNotFound), true
	case f.Moved:
		return a.handedOver(f), true
	case f.Heartbeat():
		return attemptEnd{}, false
	}
	switch a.accept(f.Attempt, f.Offset, f.Data, f.Last) {
	case stream.VerdictDeliver, stream.VerdictRepeated, stream.VerdictForeign:
		return attemptEnd{}, false
	case stream.VerdictGap:
		return a.lost(stream.ErrGap), true
	case stream.VerdictOverflow:
		return attemptEnd{
			over: true,
			err:  errSlowCaller,
		}, true
	case stream.VerdictEnd:
		return attemptEnd{
			over: true,
		}, true
	}
	panic("unknown verdict of the assembly")
}

// handedOver asks the assembly how the answer goes on after a leaving target handed its stream over.
func (a *attempts) handedOver(f sidecar.Frame) attemptEnd {
	step := a.moved(a.attemptID)
	return attemptEnd{
		over:    step.Kind == stream.StepFail || step.Kind == stream.StepIgnore,
		step:    step,
		err:     waxwingpick.ErrStreamNotFound,
		refusal: waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "stream moved off a leaving target"),
		moved:   true,
		held:    f.Held,
	}
}

// lost asks the assembly how the answer goes on after a break.
func (a *attempts) lost(err error) attemptEnd {
	refusal := lossOf(err)
	var step stream.Step
	if a.moving && refusal.Outcome == waxwingpick.OutcomeNotRun {
		// The planned move goes on at another target, or at this one later.
		step = a.moved(a.attemptID)
	} else {
		step = a.broken(a.attemptID, err)
	}
	return attemptEnd{
		step:    step,
		err:     err,
		over:    step.Kind == stream.StepFail || step.Kind == stream.StepIgnore,
		refusal: refusal,
	}
}

// lossOf tells what a broken attempt means for its request.
func lossOf(err error) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		return waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, time.Second, err.Error())
	}
	return waxwingpick.Unknown(waxwingpick.ReasonTargetLost, err.Error())
}
