package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/classify"
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
	now := p.timers.Now()
	id := uuid.NewString()
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
	g, err := newGeneration(p, call, targets, class, id)
	if err != nil {
		p.gate.Leave(id)
		return nil, err
	}
	p.countRequest(now)
	p.launch(ctx, g, id)
	if err := g.wait(); err != nil {
		g.Close()
		return nil, err
	}
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
	p.outcomes.record(now, ended{
		service:   g.targets.service,
		class:     g.class.Class,
		preset:    g.preset,
		target:    c.target,
		workspace: g.call.Caller.Workspace,
		took:      now.Sub(g.started),
		late:      now.After(g.class.Deadline),
		err:       c.err(),
	})
	fields := logrus.Fields{
		"workspace": g.call.Caller.Workspace,
		"class":     g.class.Class.String(),
		"model":     g.call.Request.Model(),
		"chunks":    c.chunks,
		"millis":    now.Sub(g.started).Milliseconds(),
	}
	if c.whole {
		p.outcomes.metrics.FirstToken(g.class.Class, c.first.Sub(g.started))
		p.countAnswer()
		p.absolve(g.fingerprint)
		p.classifier.Observe(g.call.Caller.Workspace, g.class.Class, len(g.call.Request.Prompt()), c.prompt, c.chunks)
		p.log.WithFields(fields).Debug("request answered")
		return
	}
	if c.refusal != nil {
		fields["reason"] = c.refusal.Reason
		fields["outcome"] = c.refusal.Outcome
	}
	p.log.WithFields(fields).Info("request not answered")
}

// called records the end of a request to a plain service.
func (p *Process) called(c *serviceCall, started time.Time, err error) {
	now := p.timers.Now()
	p.outcomes.record(now, ended{
		service:   c.call.Service,
		class:     c.class.Class,
		preset:    p.preset().Name,
		target:    c.target,
		workspace: c.call.Caller.Workspace,
		took:      now.Sub(started),
		late:      now.After(c.class.Deadline),
		err:       err,
	})
	fields := logrus.Fields{
		"workspace": c.call.Caller.Workspace,
		"service":   c.call.Service,
		"method":    c.call.Request.Method,
		"millis":    now.Sub(started).Milliseconds(),
	}
	if err == nil {
		p.countAnswer()
		p.absolve(c.fingerprint)
		p.log.WithFields(fields).Debug("call answered")
		return
	}
	fields["error"] = err.Error()
	p.log.WithFields(fields).Info("call not answered")
}
