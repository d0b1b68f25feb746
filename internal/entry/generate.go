package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/classify"
	"waxwingpick/core/trail"
	"waxwingpick/io/openai"
)

// stoppingRetryAfter is the Retry-After of a stopping entry.
const stoppingRetryAfter = time.Second

// completion describes how a model request ended.
type completion struct {
	complete     bool
	refusal      *waxwingpick.Refusal
	chunks       int
	promptTokens int
	firstChunkAt time.Time
	target       waxwingpick.TargetID
}

// errCallerDisconnected is the result of a request whose caller disconnected before the response was complete.
var errCallerDisconnected = eris.New("caller disconnected")

func (c completion) err() error {
	switch {
	case c.complete:
		return nil
	case c.refusal != nil:
		return c.refusal
	}
	return errCallerDisconnected
}

// Generate starts a model request. It returns once the first chunk is available or the request has failed.
func (p *Process) Generate(ctx context.Context, call openai.ModelCall) (openai.ChunkStream, error) {
	t := p.beginTrail(call.Caller)
	g, err := p.admitGeneration(call, t)
	if err != nil {
		p.recordRejected(t, call.Caller, refusalOf(err))
		return nil, err
	}
	p.startAttempts(ctx, g, g.id)
	if err := g.waitForFirstEvent(); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// admitGeneration admits a model request, or returns the refusal.
func (p *Process) admitGeneration(call openai.ModelCall, t *trail.Trail) (*generation, error) {
	now := p.timers.Now()
	id := string(t.Request())
	if err := p.admit(now, id); err != nil {
		return nil, err
	}
	targets := p.modelService(call.Request.Model())
	if targets == nil {
		p.gate.Done(id)
		return nil, waxwingpick.NotRun(waxwingpick.ReasonWrongModel, 0, "no service serves model "+call.Request.Model())
	}
	class := p.classify(now, call.Caller, classify.Request{
		BodyBytes: len(call.Request.Prompt()),
		MaxTokens: call.Request.MaxTokens(),
	})
	if err := p.checkQuota(now, call.Caller.Workspace); err != nil {
		p.gate.Done(id)
		p.recordRateLimited(targets.service, call.Caller.Workspace, class.Class, err)
		return nil, err
	}
	g, err := newGeneration(p, call, targets, class, t)
	if err != nil {
		p.gate.Done(id)
		return nil, err
	}
	p.recordAccepted(t, now, call.Caller, class)
	p.countRequest(now)
	return g, nil
}

// startAttempts runs the attempts of a generation in the background.
func (p *Process) startAttempts(ctx context.Context, g *generation, id string) {
	callerCtx := ctx
	g.callerDisconnected = func() bool {
		return callerCtx.Err() != nil
	}
	ctx, cancel := context.WithCancel(ctx)
	stopWithProcess := context.AfterFunc(p.lifecycle, cancel)
	g.cancel = cancel
	stopExpiry := p.timers.After(g.class.Deadline.Sub(g.started), g.expire)
	a := &attempts{
		generation: g,
		attemptID:  id,
	}
	started := p.work.Start(func() {
		defer cancel()
		defer stopExpiry()
		defer stopWithProcess()
		a.run(ctx)
		// This wakes a waiting reader if the attempts ended without a result.
		a.fail(waxwingpick.Unknown(waxwingpick.ReasonStopping, "request was cancelled"))
	})
	if !started {
		stopExpiry()
		stopWithProcess()
		cancel()
		a.fail(waxwingpick.NotRun(waxwingpick.ReasonStopping, stoppingRetryAfter, "entry is stopping"))
	}
}

func (p *Process) classify(now time.Time, caller openai.Caller, req classify.Request) classify.Result {
	req.Workspace = caller.Workspace
	req.Prefer = caller.Prefer
	req.Priority = caller.Priority
	return p.classifier.Classify(now, p.preset(), req)
}

// recordGeneration records the result of a model request.
func (p *Process) recordGeneration(g *generation, c completion) {
	p.gate.Done(g.id)
	now := p.timers.Now()
	e := requestResult{
		service:   g.targets.service,
		class:     g.class.Class,
		preset:    g.preset,
		target:    c.target,
		workspace: g.call.Caller.Workspace,
		duration:  now.Sub(g.started),
		late:      now.After(g.class.Deadline),
		err:       c.err(),
	}
	p.outcomes.record(now, e)
	p.recordResult(g.trail, e, waxwingpick.In("model", g.call.Request.Model()), waxwingpick.In("chunks", c.chunks))
	if c.complete {
		p.outcomes.metrics.FirstToken(g.class.Class, c.firstChunkAt.Sub(g.started))
		p.countResponse()
		p.clearSuspect(g.fingerprint)
		p.classifier.Observe(g.call.Caller.Workspace, g.class.Class, len(g.call.Request.Prompt()), c.promptTokens, c.chunks)
	}
}

// recordCall records the result of a request to a plain service.
func (p *Process) recordCall(c *serviceCall, started time.Time, err error) {
	now := p.timers.Now()
	e := requestResult{
		service:   c.call.Service,
		class:     c.class.Class,
		preset:    p.preset().Name,
		target:    c.target,
		workspace: c.call.Caller.Workspace,
		duration:  now.Sub(started),
		late:      now.After(c.class.Deadline),
		err:       err,
	}
	p.outcomes.record(now, e)
	p.recordResult(c.trail, e, waxwingpick.In("service", c.call.Service), waxwingpick.In("method", c.call.Request.Method))
	if err == nil {
		p.countResponse()
		p.clearSuspect(c.fingerprint)
	}
}
