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
	// resumeGrace is how long a stream without a reader is kept for a resume.
	resumeGrace = 5 * time.Second
	// maxEngineResumes bounds the consecutive resumes of a stream after broken engine connections.
	maxEngineResumes  = 3
	engineResumeDelay = 50 * time.Millisecond
	cancelTimeout     = 2 * time.Second
)

// Generate runs a model request and sends its frames until the stream ends.
func (p *Process) Generate(ctx context.Context, a sidecar.Attempt, body []byte, send sidecar.SendFunc) {
	t, arrived := p.beginTrail(a), p.newArrival()
	choice := p.chooseStages(ctx, a)
	refusal := p.admitGeneration(ctx, a, externalPromptTokens(a, choice))
	p.recordAdmission(t, a, arrived, refusal)
	if refusal != nil {
		p.sendRefusal(a, refusal, send)
		return
	}
	readerID := p.streams.addReader(a.ID)
	stream, err := p.startGeneration(ctx, a, choice, body)
	if err != nil {
		p.recordRun(t, a, outcomeBroken, err)
		// A crash is recorded before the request is released, while it still counts as in flight.
		p.sendStartFailure(a, err, send)
		p.release(a.ID, readerID, 0)
		return
	}
	p.forward(ctx, a, readerID, stream, send, t)
}

// Resume sends the frames of a stream that the engine still retains, starting at the attempt's offset.
func (p *Process) Resume(ctx context.Context, a sidecar.Attempt, send sidecar.SendFunc) {
	readerID := p.streams.addReader(a.ID)
	// An entry that resumes here has not received the move, so the move is repeated later.
	p.gate.FinishMove(p.timers.Now(), a.ID, false)
	t := p.beginTrail(a)
	t.AddNotable(waxwingpick.ActionResume.Of(p.timers.Now(), string(p.target), waxwingpick.In("attempt", a.ID), waxwingpick.In("offset", a.Offset)))
	stream, err := p.engine.Resume(ctx, a.ID, a.Offset)
	if err != nil {
		p.release(a.ID, readerID, 0)
		p.recordRun(t, a, outcomeBroken, err)
		p.sendBroken(a, send)
		return
	}
	p.forward(ctx, a, readerID, stream, send, t)
}

// Cancel ends an attempt's stream and releases its resources.
func (p *Process) Cancel(_ context.Context, a sidecar.Attempt) {
	p.exports.end(a.ID)
	readerID := p.streams.addReader(a.ID)
	p.cancelStream(a.ID)
	p.release(a.ID, readerID, 0)
}

// admitGeneration admits a model request, or returns the refusal. externalTokens is the number of its prompt tokens that
// another engine computes.
func (p *Process) admitGeneration(ctx context.Context, a sidecar.Attempt, externalTokens int) *waxwingpick.Refusal {
	now := p.timers.Now()
	// Crash suspects are checked first, because any other refusal could send them to another target.
	if refusal := p.admitToGate(a, true); refusal != nil {
		return refusal
	}
	if refusal := p.checkModel(a); refusal != nil {
		p.releaseGate(a.ID)
		return refusal
	}
	refusal := p.admitter.admit(ctx, admission.Request{
		ID:           admission.AttemptID(a.ID),
		Workspace:    a.Workspace,
		Class:        a.Class,
		PromptTokens: a.PromptTokens,
		OutputTokens: a.OutputTokens,
		CachedTokens: externalTokens,
		Deadline:     a.Deadline(now),
		Continuation: a.Continuation,
	})
	if refusal != nil {
		p.releaseGate(a.ID)
		return refusal
	}
	p.totals.addRequest(a.PromptTokens - externalTokens)
	return nil
}

// checkModel refuses a request for a model that the engine does not currently serve.
func (p *Process) checkModel(a sidecar.Attempt) *waxwingpick.Refusal {
	active, known := p.activeConfig()
	if !known || active.Model == a.Model {
		return nil
	}
	return waxwingpick.NotRun(waxwingpick.ReasonWrongModel, retryAfterModel, fmt.Sprintf("engine serves %q", active.Model))
}

// forward sends a stream's events to the entry, resumes it after broken engine connections, and ends the attempt's trail.
func (p *Process) forward(ctx context.Context, a sidecar.Attempt, readerID int, stream waxwingpick.EventStream, send sidecar.SendFunc, t *trail.Trail) {
	outcome, err := p.forwardEvents(ctx, a, readerID, stream, send, t)
	p.recordRun(t, a, outcome, err)
}

// forwardEvents sends a stream's events to the entry and returns the outcome for the trail.
func (p *Process) forwardEvents(ctx context.Context, a sidecar.Attempt, readerID int, stream waxwingpick.EventStream, send sidecar.SendFunc, t *trail.Trail) (string, error) {
	next := a.Offset
	current := p.activeStreams.add(a.ID)
	defer p.activeStreams.remove(a.ID, current)
	for resumes := 0; ; resumes++ {
		if !current.setStream(stream) {
			p.closeStream(stream)
			p.moveStream(a, readerID, int(next), send)
			return outcomeMoved, nil
		}
		sent, err := p.copyEvents(a, stream, next, send)
		p.closeStream(stream)
		next += sent
		if err != nil && current.wasMoved() {
			p.moveStream(a, readerID, int(next), send)
			return outcomeMoved, nil
		}
		if err == nil {
			p.release(a.ID, readerID, int(next))
			return outcomeResponded, nil
		}
		if errors.Is(err, errEntryDisconnected) || ctx.Err() != nil {
			p.awaitResume(a.ID, readerID, int(next))
			return outcomeEntryDisconnected, err
		}
		if sent > 0 {
			resumes = 0
		}
		t.AddNotable(waxwingpick.ActionResume.Of(p.timers.Now(), string(p.target), waxwingpick.In("attempt", a.ID),
			waxwingpick.In("offset", next), waxwingpick.In("error", err.Error())))
		stream, err = p.reconnect(ctx, a, next, resumes)
		if err != nil {
			p.release(a.ID, readerID, 0)
			p.sendBroken(a, send)
			return outcomeBroken, err
		}
	}
}

// reconnect resumes a stream at its engine. It fails if the engine has lost the stream or has crashed.
func (p *Process) reconnect(ctx context.Context, a sidecar.Attempt, offset int64, resumes int) (waxwingpick.EventStream, error) {
	if resumes >= maxEngineResumes {
		return nil, fmt.Errorf("resume %s after %d tries: %w", a.ID, resumes, waxwingpick.ErrEngineLost)
	}
	if !p.pause(ctx, engineResumeDelay<<resumes) {
		return nil, fmt.Errorf("resume %s: %w", a.ID, ctx.Err())
	}
	stream, err := p.engine.Resume(ctx, a.ID, offset)
	if err != nil {
		p.checkCrash(a, err)
		return nil, fmt.Errorf("resume %s at %d: %w", a.ID, offset, err)
	}
	return stream, nil
}

// copyEvents sends events until the end of the stream, and returns the number of events sent.
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
			p.crashes.markProgress(a.ID)
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
			return sent, fmt.Errorf("%w: %w", errEntryDisconnected, err)
		}
		if event.Last {
			return sent, nil
		}
		sent++
	}
}

// awaitResume cancels a stream that no new reader has resumed within resumeGrace.
func (p *Process) awaitResume(id string, readerID, tokens int) {
	p.timers.After(resumeGrace, func(time.Time) {
		if !p.streams.isLatestReader(id, readerID) {
			return
		}
		p.cancelStream(id)
		p.release(id, readerID, tokens)
	})
}

// release frees the resources of a stream unless it has a newer reader.
func (p *Process) release(id string, readerID, tokens int) {
	if !p.streams.removeReader(id, readerID) {
		return
	}
	p.admitter.done(id, tokens)
	p.totals.addDecode(tokens)
	p.releaseGate(id)
}

func (p *Process) cancelStream(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := p.engine.Cancel(ctx, id); err != nil {
		p.log.WithFields(logrus.Fields{
			"attempt": id,
			"error":   err.Error(),
		}).Warn("failed to cancel engine stream")
	}
}

func (p *Process) closeStream(stream waxwingpick.EventStream) {
	if err := stream.Close(); err != nil {
		p.log.WithField("error", err.Error()).Debug("failed to close engine stream")
	}
}

// sendStartFailure sends the entry the reason why a request did not start.
func (p *Process) sendStartFailure(a sidecar.Attempt, err error, send sidecar.SendFunc) {
	var refusal *waxwingpick.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Outcome == waxwingpick.OutcomeNotRun:
		// Neither engine of a split request accepted it.
		p.sendRefusal(a, waxwingpick.NotRun(refusal.Reason, retryAfterCrash, refusal.Detail), send)
	case errors.Is(err, waxwingpick.ErrEngineUnreachable):
		p.sendRefusal(a, waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, retryAfterCrash, err.Error()), send)
	case errors.Is(err, waxwingpick.ErrEngineRefused):
		p.sendRefusal(a, waxwingpick.NotRun(waxwingpick.ReasonOverload, retryAfterCrash, err.Error()), send)
	default:
		p.checkCrash(a, err)
		p.sendBroken(a, send)
	}
}

func (p *Process) sendRefusal(a sidecar.Attempt, refusal *waxwingpick.Refusal, send sidecar.SendFunc) {
	p.metrics.Refused(refusal)
	// A failed send means that the entry has disconnected and ends the caller's request itself.
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
