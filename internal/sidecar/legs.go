package sidecar

import (
	"context"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/legs"
	"waxwingpick/internal/legrunner"
	"waxwingpick/io/sidecar"
)

// oneEnginePrefill makes one engine the later choice, as the entry has found two engines to be sooner.
const oneEnginePrefill = time.Hour

// choose decides whether an attempt starts from the KV cache of another engine.
func (p *Process) choose(ctx context.Context, a sidecar.Attempt) legs.Choice {
	switch {
	case a.Source != nil:
		return p.chooseMove(ctx, a)
	case a.Prefill != nil:
		return legs.Choice{
			Single: legs.Estimate{
				Target:  p.target,
				Prefill: oneEnginePrefill,
			},
			Prefill: legs.Estimate{
				Target: a.Prefill.Target,
			},
			Decode: legs.Estimate{
				Target: p.target,
			},
		}
	}
	return legs.Choice{
		Single: legs.Estimate{
			Target: p.target,
		},
	}
}

// chooseMove compares fetching a stream's KV cache with computing it again. Whether the other engine lets it be fetched
// directly is known only to its sidecar; where it doesn't, the bound on the time of the legs limits what that costs.
func (p *Process) chooseMove(ctx context.Context, a sidecar.Attempt) legs.Choice {
	choice := legs.Move(a.Source.Target, p.target, a.Source.Tokens, p.prefillRate(ctx))
	if p.transfersDirectly() {
		choice.Transfer = p.imports.predict(a.Source.Tokens)
	}
	return choice
}

// computedElsewhere returns the prompt tokens that another engine computes for the attempt.
func computedElsewhere(a sidecar.Attempt, choice legs.Choice) int {
	if choice.TwoLegs() {
		return a.PromptTokens
	}
	return 0
}

// begin starts a generation at the engine, with the KV cache of another engine where the attempt names one.
func (p *Process) begin(ctx context.Context, a sidecar.Attempt, choice legs.Choice, body []byte) (waxwingpick.EventStream, error) {
	req := waxwingpick.GenerateRequest{
		StreamID:    a.ID,
		Path:        a.Path,
		Body:        body,
		Urgency:     a.Urgency,
		Traceparent: a.Traceparent,
	}
	switch {
	case a.Source != nil:
		return p.takeOver(ctx, a, choice, req)
	case a.Prefill != nil:
		return p.runLegs(ctx, a, choice, req, &remoteEngine{
			Engine:  p.engine,
			process: p,
			attempt: a,
		})
	}
	return p.engine.Generate(ctx, req)
}

// runLegs runs an attempt on this engine and the one that holds or computes its KV cache.
func (p *Process) runLegs(ctx context.Context, a sidecar.Attempt, choice legs.Choice, req waxwingpick.GenerateRequest, first waxwingpick.Engine) (waxwingpick.EventStream, error) {
	own := &ownEngine{
		Engine:    p.engine,
		process:   p,
		attempt:   a,
		elsewhere: computedElsewhere(a, choice),
	}
	runner := legrunner.New(p.timers, func(target waxwingpick.TargetID) waxwingpick.Engine {
		if target == p.target {
			return own
		}
		return first
	})
	return runner.Run(ctx, choice, req, a.Deadline(p.timers.Now()))
}

// ownEngine is this target's engine, which answers a request whose prompt another engine was to compute.
type ownEngine struct {
	waxwingpick.Engine
	process   *Process
	attempt   sidecar.Attempt
	elsewhere int
}

// Generate counts the prompt as work of this engine where the other one's KV cache did not come.
func (o *ownEngine) Generate(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.EventStream, error) {
	if req.KVHandle == "" {
		o.process.totals.computed(o.elsewhere)
	}
	return o.Engine.Generate(ctx, req)
}

// ImportKV has the engine import KV cache, and fetch it in its turn where the export is a reference.
func (o *ownEngine) ImportKV(ctx context.Context, export waxwingpick.KVExport) (string, error) {
	if export.Reference == nil {
		return o.Engine.ImportKV(ctx, export)
	}
	p := o.process
	now := p.timers.Now()
	err := p.imports.begin(ctx, legs.Transfer{
		ID:     o.attempt.ID,
		Tokens: export.Tokens,
		By:     now.Add(export.Reference.Lifetime()),
	}, func() {})
	if err != nil {
		return "", err
	}
	defer p.imports.end(o.attempt.ID)
	started := p.timers.Now()
	// Computing the prompt again is better than a fetch that hangs.
	ctx, cancel := context.WithTimeout(ctx, p.imports.limit(export.Tokens))
	defer cancel()
	handle, err := o.Engine.ImportKV(ctx, export)
	p.metrics.KVFetched(err == nil)
	if err == nil {
		p.imports.measured(export.Tokens, p.timers.Now().Sub(started))
	}
	return handle, err
}

// remoteEngine is the engine of another target, reached through its sidecar; of the port's calls the machine makes
// only Prefill and Cancel there.
type remoteEngine struct {
	waxwingpick.Engine
	process *Process
	attempt sidecar.Attempt
}

// Prefill has the other engine compute and export the KV cache.
func (r *remoteEngine) Prefill(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.KVExport, error) {
	return r.process.peers.Prefill(ctx, r.attempt.Prefill.Data, r.leg(req.StreamID), req.Body)
}

// Cancel frees what the other engine holds for the request.
func (r *remoteEngine) Cancel(ctx context.Context, streamID string) error {
	return r.process.peers.Cancel(ctx, r.attempt.Prefill.Data, r.leg(streamID))
}

// leg returns the attempt as the other target's sidecar sees it.
func (r *remoteEngine) leg(streamID string) sidecar.Attempt {
	a := r.process.attemptAt(r.attempt.Prefill.Target, streamID, r.attempt)
	a.OutputTokens = 0
	return a
}

// attemptAt returns an attempt as the sidecar of another target sees it, which gives KV cache for it to this engine.
func (p *Process) attemptAt(target waxwingpick.TargetID, id string, a sidecar.Attempt) sidecar.Attempt {
	a.ID = id
	a.Target = target
	a.Prefill = nil
	a.Source = nil
	a.ByReference = p.transfersDirectly()
	return a
}

// Prefill computes and exports the KV cache of a request that another engine answers.
func (p *Process) Prefill(ctx context.Context, a sidecar.Attempt, body []byte) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if p.engine == nil {
		return waxwingpick.KVExport{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "target is no engine")
	}
	if refusal := p.enter(ctx, a, 0); refusal != nil {
		return waxwingpick.KVExport{}, refusal
	}
	export, err := p.engine.Prefill(ctx, waxwingpick.GenerateRequest{
		StreamID:    a.ID,
		Path:        a.Path,
		Body:        body,
		Urgency:     a.Urgency,
		ByReference: a.ByReference && p.transfersDirectly(),
		Traceparent: a.Traceparent,
	})
	if err != nil {
		return export, p.failPrefill(a, err)
	}
	p.admitter.firstToken(a.ID)
	// What computed well is out of suspicion, even while the engine keeps the cache.
	p.crashes.leave(a.ID)
	return p.giveOut(ctx, a, export, lifetime(export), func() {
		p.leavePrefill(a.ID)
	})
}

// failPrefill frees what a lost prefill may hold and says why there is no KV cache.
func (p *Process) failPrefill(a sidecar.Attempt, err error) *waxwingpick.Refusal {
	defer p.leavePrefill(a.ID)
	if errors.Is(err, waxwingpick.ErrEngineLost) {
		p.suspectCrash(a, err)
		p.cancelStream(a.ID)
	}
	return waxwingpick.NotRun(waxwingpick.ReasonTargetLost, retryAfterCrash, err.Error())
}

// giveOut hands exported KV cache to another target. A reference waits for its turn, and its request counts as running here
// until the cache was fetched or the time is over; what is given out has left then. Data is out of hand at once.
func (p *Process) giveOut(ctx context.Context, a sidecar.Attempt, export waxwingpick.KVExport, within time.Duration, left func()) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if export.Reference == nil {
		left()
		return export, nil
	}
	err := p.exports.begin(ctx, legs.Transfer{
		ID:     a.ID,
		Tokens: export.Tokens,
		By:     p.timers.Now().Add(within),
	}, left)
	if err != nil {
		p.Cancel(ctx, a)
		return waxwingpick.KVExport{}, waxwingpick.NotRun(waxwingpick.ReasonOverload, 0, err.Error())
	}
	return export, nil
}

func lifetime(export waxwingpick.KVExport) time.Duration {
	if export.Reference == nil {
		return 0
	}
	return export.Reference.Lifetime()
}

func (p *Process) leavePrefill(id string) {
	p.admitter.done(id, 1)
	p.leaveGate(id)
}
