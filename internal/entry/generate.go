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

// stoppingRetryAfter is when a caller may ask again that reached an entry at its end.
const stoppingRetryAfter = time.Second

// completion is how a model request ended.
type completion struct {
	whole   bool
	refusal *waxwingpick.Refusal
	chunks  int
	prompt  int
	first   time.Time
	target  waxwingpick.TargetID
}

// errCallerLeft says that the caller left before the answer was whole.
var errCallerLeft = eris.New("caller left")

func (c completion) err() error {
	switch {
	case c.whole:
		return nil
	case c.refusal != nil:
		return c.refusal
	}
	return errCallerLeft
}

// Generate starts a model request and returns once its first chunk is there or it was given up.
func (p *Process) Generate(ctx context.Context, call openai.ModelCall) (openai.Answer, error) {
	t := p.arrived(call.Caller)
	g, err := p.generation(call, t)
	if err != nil {
		p.turnedAway(t, call.Caller, refusalOf(err))
		return nil, err
	}
	p.launch(ctx, g, g.id)
	if err := g.wait(); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// generation takes a model request in, or says why not.
func (p *Process) generation(call openai.ModelCall, t *trail.Trail) (*generation, error) {
	now := p.timers.Now()
	id := string(t.Request())
	if err := p.enter(now, id); err != nil {
		return nil, err
	}
	targets := p.modelService(call.Request.Model())
	if targets == nil {
		p.gate.Leave(id)
		return nil, waxwingpick.NotRun(waxwingpick.ReasonWrongModel, 0, "no service serves model "+call.Request.Model())
	}
	class := p.classify(now, call.Caller, classify.Request{
		BodyBytes: len(call.Request.Prompt()),
		MaxTokens: call.Request.MaxTokens(),
	})
	if err := p.checkQuota(now, call.Caller.Workspace); err != nil {
		p.gate.Leave(id)
		p.overRate(targets.service, call.Caller.Workspace, class.Class, err)
		return nil, err
	}
	g, err := newGeneration(p, call, targets, class, t)
	if err != nil {
		p.gate.Leave(id)
		return nil, err
	}
	p.accepted(t, now, call.Caller, class)
	p.countRequest(now)
	return g, nil
}

// launch runs the attempts of a generation beside its reader.
func (p *Process) launch(ctx context.Context, g *generation, id string) {
	callers := ctx
	g.left = func() bool {
		return callers.Err() != nil
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
		// No reader is left waiting, whichever way the attempts ended.
		a.fail(waxwingpick.Unknown(waxwingpick.ReasonStopping, "request was cancelled"))
	})
	if !started {
		stopExpiry()
		stopWithProcess()
		cancel()
		a.fail(waxwingpick.NotRun(waxwingpick.ReasonStopping, stoppingRetryAfter, "entry stops"))
	}
}

func (p *Process) classify(now time.Time, caller openai.Caller, req classify.Request) classify.Result {
	req.Workspace = caller.Workspace
	req.Prefer = caller.Prefer
	req.Priority = caller.Priority
	return p.classifier.Classify(now, p.preset(), req)
}

// completed records the end of a model request.
func (p *Process) completed(g *generation, c completion) {
	p.gate.Leave(g.id)
	now := p.timers.Now()
	e := ended{
		service:   g.targets.service,
		class:     g.class.Class,
		preset:    g.preset,
		target:    c.target,
		workspace: g.call.Caller.Workspace,
		took:      now.Sub(g.started),
		late:      now.After(g.class.Deadline),
		err:       c.err(),
	}
	p.outcomes.record(now, e)
	p.concluded(g.trail, e, waxwingpick.In("model", g.call.Request.Model()), waxwingpick.In("chunks", c.chunks))
	if c.whole {
		p.outcomes.metrics.FirstToken(g.class.Class, c.first.Sub(g.started))
		p.countAnswer()
		p.absolve(g.fingerprint)
		p.classifier.Observe(g.call.Caller.Workspace, g.class.Class, len(g.call.Request.Prompt()), c.prompt, c.chunks)
	}
}

// called records the end of a request to a plain service.
func (p *Process) called(c *serviceCall, started time.Time, err error) {
	now := p.timers.Now()
	e := ended{
		service:   c.call.Service,
		class:     c.class.Class,
		preset:    p.preset().Name,
		target:    c.target,
		workspace: c.call.Caller.Workspace,
		took:      now.Sub(started),
		late:      now.After(c.class.Deadline),
		err:       err,
	}
	p.outcomes.record(now, e)
	p.concluded(c.trail, e, waxwingpick.In("service", c.call.Service), waxwingpick.In("method", c.call.Request.Method))
	if err == nil {
		p.countAnswer()
		p.absolve(c.fingerprint)
	}
}
