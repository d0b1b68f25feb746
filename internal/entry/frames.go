package entry

import (
	"context"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/stream"
	"waxwingpick/io/sidecar"
)

// readFrames handles the frames of a connection until it ends.
func (a *attempts) readFrames(ctx context.Context, frames *sidecar.Stream, err error) attemptEnd {
	if err != nil {
		return a.connectionLost(err)
	}
	defer frames.Close()
	for {
		f, err := frames.Next()
		if ctx.Err() != nil {
			return attemptEnd{
				done: true,
				err:  ctx.Err(),
			}
		}
		if err != nil {
			return a.connectionLost(err)
		}
		if end, ended := a.handleFrame(f); ended {
			return end
		}
	}
}

// handleFrame handles one frame and reports whether the connection has ended.
func (a *attempts) handleFrame(f sidecar.Frame) (attemptEnd, bool) {
	if f.Report != nil {
		a.targets.observe(a.process.timers.Now(), *f.Report)
	}
	switch {
	case f.Refusal != nil && isIsolationRefusal(f.Refusal):
		return attemptEnd{
			refusal: f.Refusal,
			err:     f.Refusal,
		}, true
	case f.Refusal != nil:
		return a.connectionLost(f.Refusal), true
	case f.Broken:
		return a.connectionLost(waxwingpick.ErrStreamNotFound), true
	case f.Moved:
		return a.streamMoved(f), true
	case f.Heartbeat():
		return attemptEnd{}, false
	}
	switch a.accept(f.Attempt, f.Offset, f.Data, f.Last) {
	case stream.VerdictDeliver, stream.VerdictDuplicate, stream.VerdictForeign:
		return attemptEnd{}, false
	case stream.VerdictGap:
		return a.connectionLost(stream.ErrGap), true
	case stream.VerdictOverflow:
		return attemptEnd{
			done: true,
			err:  errSlowCaller,
		}, true
	case stream.VerdictEnd:
		return attemptEnd{
			done: true,
		}, true
	}
	panic("unknown verdict of the assembly")
}

// streamMoved returns the assembly's next step after a leaving target gave up its stream.
func (a *attempts) streamMoved(f sidecar.Frame) attemptEnd {
	step := a.moved(a.attemptID)
	return attemptEnd{
		done:        step.Kind == stream.StepFail || step.Kind == stream.StepIgnore,
		step:        step,
		err:         waxwingpick.ErrStreamNotFound,
		refusal:     waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "stream moved off a leaving target"),
		moved:       true,
		kvCacheHeld: f.Held,
	}
}

// connectionLost returns the assembly's next step after a broken connection.
func (a *attempts) connectionLost(err error) attemptEnd {
	refusal := refusalFromError(err)
	var step stream.Step
	if a.moving && refusal.Outcome == waxwingpick.OutcomeNotRun {
		// The planned move continues at another target, or later at this one.
		step = a.moved(a.attemptID)
	} else {
		step = a.broken(a.attemptID, err)
	}
	return attemptEnd{
		step:    step,
		err:     err,
		done:    step.Kind == stream.StepFail || step.Kind == stream.StepIgnore,
		refusal: refusal,
	}
}

// refusalFromError converts the error of a broken attempt to a refusal.
func refusalFromError(err error) *waxwingpick.Refusal {
	var refusal *waxwingpick.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		return waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, time.Second, err.Error())
	}
	return waxwingpick.Unknown(waxwingpick.ReasonTargetLost, err.Error())
}
