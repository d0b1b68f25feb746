package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/trail"
	"waxwingpick/io/sidecar"
)

const (
	// resumeGrace is how long a stream without a reader waits to be resumed.
	resumeGrace = 5 * time.Second
	// engineResumes bounds the resumes of one stream after a broken engine connection.
	engineResumes    = 3
	engineResumeWait = 50 * time.Millisecond
	cancelTimeout    = 2 * time.Second
)

// Generate runs a model request and sends its frames until the stream ends.
func (p *Process) Generate(ctx context.Context, a sidecar.Attempt, body []byte, send sidecar.SendFunc) {
	t, came := p.arrived(a), p.arrival()
	choice := p.choose(ctx, a)
	refusal := p.enter(ctx, a, computedElsewhere(a, choice))
	p.admitted(t, a, came, refusal)
	if refusal != nil {
		p.refuse(a, refusal, send)
		return
	}
	turn := p.streams.take(a.ID)
	stream, err := p.begin(ctx, a, choice, body)
	if err != nil {
		p.ran(t, a, outcomeBroken, err)
		// What was in flight is asked for before it is let out.
		p.failStart(a, err, send)
		p.release(a.ID, turn, 0)
		return
	}
	p.forward(ctx, a, turn, stream, send, t)
}

// Resume sends the frames of a stream that the engine still holds, from the attempt's offset.
func (p *Process) Resume(ctx context.Context, a sidecar.Attempt, send sidecar.SendFunc) {
	turn := p.streams.take(a.ID)
	// An entry that goes on here has not heard of a move, which is tried again later.
	p.gate.Moved(p.timers.Now(), a.ID, false)
	t := p.arrived(a)
	t.Note(waxwingpick.ActionResume.Of(p.timers.Now(), string(p.target), waxwingpick.In("attempt", a.ID), waxwingpick.In("offset", a.Offset)))
	stream, err := p.engine.Resume(ctx, a.ID, a.Offset)
	if err != nil {
		p.release(a.ID, turn, 0)
		p.ran(t, a, outcomeBroken, err)
		p.sendBroken(a, send)
		return
	}
	p.forward(ctx, a, turn, stream, send, t)
}

// Cancel ends an attempt's stream and forgets it.
func (p *Process) Cancel(_ context.Context, a sidecar.Attempt) {
	p.exports.end(a.ID)
	turn := p.streams.take(a.ID)
	p.cancelStream(a.ID)
	p.release(a.ID, turn, 0)
}

// enter admits a model request of which another engine computes a number of prompt tokens, or says why it does not run.
func (p *Process) enter(ctx context.Context, a sidecar.Attempt, elsewhere int) *waxwingpick.Refusal {
	now := p.timers.Now()
	// A crash suspect is refused as such before anything else could send it on to another target.
	if refusal := p.enterGate(a, true); refusal != nil {
		return refusal
	}
	if refusal := p.checkModel(a); refusal != nil {
		p.leaveGate(a.ID)
		return refusal
	}
	refusal := p.admitter.admit(ctx, admission.Request{
		ID:           admission.AttemptID(a.ID),
		Workspace:    a.Workspace,
		Class:        a.Class,
		PromptTokens: a.PromptTokens,
		OutputTokens: a.OutputTokens,
		CachedTokens: elsewhere,
		Deadline:     a.Deadline(now),
		Begun:        a.Begun,
	})
	if refusal != nil {
		p.leaveGate(a.ID)
		return refusal
	}
	p.totals.admitted(a.PromptTokens - elsewhere)
	return nil
}

// checkModel refuses a request for a model that the engine does not serve now.
func (p *Process) checkModel(a sidecar.Attempt) *waxwingpick.Refusal {
	active, known := p.activeConfig()
	if !known || active.Model == a.Model {
		return nil
	}
	return waxwingpick.NotRun(waxwingpick.ReasonWrongModel, retryAfterModel, fmt.Sprintf("engine serves %q", active.Model))
}

// forward sends a stream's events, survives broken engine connections and ends the attempt's trail.
func (p *Process) forward(ctx context.Context, a sidecar.Attempt, turn int, stream waxwingpick.EventStream, send sidecar.SendFunc, t *trail.Trail) {
	outcome, err := p.forwardAll(ctx, a, turn, stream, send, t)
	p.ran(t, a, outcome, err)
}

// forwardAll returns how the stream ended here.
func (p *Process) forwardAll(ctx context.Context, a sidecar.Attempt, turn int, stream waxwingpick.EventStream, send sidecar.SendFunc, t *trail.Trail) (string, error) {
	next := a.Offset
	mover := p.movers.add(a.ID)
	defer p.movers.remove(a.ID, mover)
	for resumes := 0; ; resumes++ {
		if !mover.reads(stream) {
			p.closeStream(stream)
			p.handOver(a, turn, int(next), send)
			return outcomeMoved, nil
		}
		sent, err := p.copyEvents(a, stream, next, send)
		p.closeStream(stream)
		next += sent
		if err != nil && mover.wasMoved() {
			p.handOver(a, turn, int(next), send)
			return outcomeMoved, nil
		}
		if err == nil {
			p.release(a.ID, turn, int(next))
			return outcomeAnswered, nil
		}
		if errors.Is(err, errEntryGone) || ctx.Err() != nil {
			p.awaitResume(a.ID, turn, int(next))
			return outcomeNoEntry, err
		}
		if sent > 0 {
			resumes = 0
		}
		t.Note(waxwingpick.ActionResume.Of(p.timers.Now(), string(p.target), waxwingpick.In("attempt", a.ID),
			waxwingpick.In("offset", next), waxwingpick.In("error", err.Error())))
		stream, err = p.reconnect(ctx, a, next, resumes)
		if err != nil {
			p.release(a.ID, turn, 0)
			p.sendBroken(a, send)
			return outcomeBroken, err
		}
	}
}

// reconnect resumes a stream at its engine; ErrStreamNotFound or a crash makes it fail.
func (p *Process) reconnect(ctx context.Context, a sidecar.Attempt, offset int64, resumes int) (waxwingpick.EventStream, error) {
	if resumes >= engineResumes {
		return nil, fmt.Errorf("resume %s after %d tries: %w", a.ID, resumes, waxwingpick.ErrEngineLost)
	}
	if !p.pause(ctx, engineResumeWait<<resumes) {
		return nil, fmt.Errorf("resume %s: %w", a.ID, ctx.Err())
	}
	stream, err := p.engine.Resume(ctx, a.ID, offset)
	if err != nil {
		p.suspectCrash(a, err)
		return nil, fmt.Errorf("resume %s at %d: %w", a.ID, offset, err)
	}
	return stream, nil
}

// copyEvents sends events until the stream's end, and returns the number of those sent.
func (p *Process) copyEvents(a sidecar.Attempt, stream waxwingpick.EventStream, next int64, send sidecar.SendFunc) (int64, error) {
	var sent int64
	for {
		event, err := stream.Next()
		if err != nil {
			return sent, fmt.Errorf("read stream: %w", err)
		}
		if event.Offset < next+sent && !event.Last {
			continue
		}
		if sent == 0 && next == 0 {
			p.admitter.firstToken(a.ID)
			p.crashes.proved(a.ID)
		}
		f := sidecar.Frame{
			Attempt: a.ID,
			Offset:  event.Offset,
			Data:    event.Data,
			Last:    event.Last,
		}
		if event.Last {
			f.Report = p.reportPointer()
		}
		if err := send(f); err != nil {
			return sent, fmt.Errorf("%w: %w", errEntryGone, err)
		}
		if event.Last {
			return sent, nil
		}
		sent++
	}
}

// awaitResume keeps a stream without a reader for a while, then cancels it.
func (p *Process) awaitResume(id string, turn, tokens int) {
	p.timers.After(resumeGrace, func(time.Time) {
		if !p.streams.owns(id, turn) {
			return
		}
		p.cancelStream(id)
		p.release(id, turn, tokens)
	})
}

// release frees what a stream holds, unless another reader took the stream over.
func (p *Process) release(id string, turn, tokens int) {
	if !p.streams.drop(id, turn) {
		return
	}
	p.admitter.done(id, tokens)
	p.totals.generated(tokens)
	p.leaveGate(id)
}

func (p *Process) cancelStream(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := p.engine.Cancel(ctx, id); err != nil {
		p.log.WithFields(logrus.Fields{
			"attempt": id,
			"error":   err.Error(),
		}).Warn("engine stream not cancelled")
	}
}

func (p *Process) closeStream(stream waxwingpick.EventStream) {
	if err := stream.Close(); err != nil {
		p.log.WithField("error", err.Error()).Debug("engine stream not closed")
	}
}

// failStart tells the entry why a request did not start.
func (p *Process) failStart(a sidecar.Attempt, err error, send sidecar.SendFunc) {
	var refusal *waxwingpick.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Outcome == waxwingpick.OutcomeNotRun:
		// Neither engine of a request on two took it.
		p.refuse(a, waxwingpick.NotRun(refusal.Reason, retryAfterCrash, refusal.Detail), send)
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		p.refuse(a, waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, retryAfterCrash, err.Error()), send)
	case errors.Is(err, waxwingpick.ErrEngineRefused):
		p.refuse(a, waxwingpick.NotRun(waxwingpick.ReasonOverload, retryAfterCrash, err.Error()), send)
	default:
		p.suspectCrash(a, err)
		p.sendBroken(a, send)
	}
}

func (p *Process) refuse(a sidecar.Attempt, refusal *waxwingpick.Refusal, send sidecar.SendFunc) {
	p.metrics.Refused(refusal)
	// A failed send means that the entry is gone, which then answers its caller itself.
	_ = send(sidecar.Frame{
		Attempt: a.ID,
		Refusal: refusal,
		Report:  p.reportPointer(),
	})
}

func (p *Process) sendBroken(a sidecar.Attempt, send sidecar.SendFunc) {
	_ = send(sidecar.Frame{
		Attempt: a.ID,
		Broken:  true,
		Report:  p.reportPointer(),
	})
}
