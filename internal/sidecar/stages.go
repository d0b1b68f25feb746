package sidecar

import (
	"context"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/stages"
	"waxwingpick/internal/stagerunner"
	"waxwingpick/io/sidecar"
)

// singleEnginePrefill is the predicted prefill time for this engine alone. It is far too long to be chosen, because the
// entry has already decided on two engines.
const singleEnginePrefill = time.Hour

// chooseStages decides whether an attempt starts from the KV cache of another engine.
func (p *Process) chooseStages(ctx context.Context, a sidecar.Attempt) stages.Choice {
	switch {
	case a.Source != nil:
		return p.chooseMove(ctx, a)
	case a.Prefill != nil:
		return stages.Choice{
			Single: stages.Estimate{
				Target:  p.target,
				Prefill: singleEnginePrefill,
			},
			Prefill: stages.Estimate{
				Target: a.Prefill.Target,
			},
			Decode: stages.Estimate{
				Target: p.target,
			},
		}
	}
	return stages.Choice{
		Single: stages.Estimate{
			Target: p.target,
		},
	}
}

// chooseMove compares fetching a stream's KV cache with computing it again. Only the other sidecar knows whether its
// engine supports direct fetches. If it does not, the time limit of the stages bounds the cost of the wrong prediction.
func (p *Process) chooseMove(ctx context.Context, a sidecar.Attempt) stages.Choice {
	choice := stages.Move(a.Source.Target, p.target, a.Source.Tokens, p.prefillRate(ctx))
	if p.transfersDirectly() {
		choice.Transfer = p.imports.predict(a.Source.Tokens)
	}
	return choice
}

// externalPromptTokens returns the number of prompt tokens that another engine computes for the attempt.
func externalPromptTokens(a sidecar.Attempt, choice stages.Choice) int {
	if choice.TwoStages() {
		return a.PromptTokens
	}
	return 0
}

// startGeneration starts a generation at the engine, with the KV cache of another engine if the attempt names one.
func (p *Process) startGeneration(ctx context.Context, a sidecar.Attempt, choice stages.Choice, body []byte) (waxwingpick.EventStream, error) {
	req := waxwingpick.GenerateRequest{
		StreamID:    a.ID,
		Path:        a.Path,
		Body:        body,
		Urgency:     a.Urgency,
		Traceparent: a.Traceparent,
	}
	switch {
	case a.Source != nil:
		return p.continueMoved(ctx, a, choice, req)
	case a.Prefill != nil:
		return p.runStages(ctx, a, choice, req, &remoteEngine{
			Engine:  p.engine,
			process: p,
			attempt: a,
		})
	}
	return p.engine.Generate(ctx, req)
}

// runStages runs an attempt on this engine and the remote engine that holds or computes its KV cache.
func (p *Process) runStages(ctx context.Context, a sidecar.Attempt, choice stages.Choice, req waxwingpick.GenerateRequest, remote waxwingpick.Engine) (waxwingpick.EventStream, error) {
	local := &localEngine{
		Engine:         p.engine,
		process:        p,
		attempt:        a,
		externalTokens: externalPromptTokens(a, choice),
	}
	runner := stagerunner.New(p.timers, func(target waxwingpick.TargetID) waxwingpick.Engine {
		if target == p.target {
			return local
		}
		return remote
	})
	return runner.Run(ctx, choice, req, a.Deadline(p.timers.Now()))
}

// localEngine is this target's engine, for a request whose prompt another engine may compute.
type localEngine struct {
	waxwingpick.Engine
	process        *Process
	attempt        sidecar.Attempt
	externalTokens int
}

// Generate counts the prompt as work of this engine if there is no KV cache from the other engine.
func (o *localEngine) Generate(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.EventStream, error) {
	if req.KVHandle == "" {
		o.process.totals.addPrefill(o.externalTokens)
	}
	return o.Engine.Generate(ctx, req)
}

// ImportKV imports KV cache into the engine. If the export is a reference, the fetch waits in the import queue.
func (o *localEngine) ImportKV(ctx context.Context, export waxwingpick.KVExport) (string, error) {
	if export.Reference == nil {
		return o.Engine.ImportKV(ctx, export)
	}
	p := o.process
	now := p.timers.Now()
	err := p.imports.begin(ctx, stages.Transfer{
		ID:       o.attempt.ID,
		Tokens:   export.Tokens,
		Deadline: now.Add(export.Reference.Lifetime()),
	}, func() {})
	if err != nil {
		return "", err
	}
	defer p.imports.end(o.attempt.ID)
	started := p.timers.Now()
	// A fetch that hangs is cancelled, because computing the prompt again is then faster.
	ctx, cancel := context.WithTimeout(ctx, p.imports.limit(export.Tokens))
	defer cancel()
	handle, err := o.Engine.ImportKV(ctx, export)
	p.metrics.KVFetched(err == nil)
	if err == nil {
		p.imports.recordDuration(export.Tokens, p.timers.Now().Sub(started))
	}
	return handle, err
}

// remoteEngine is the engine of another target, reached through its sidecar. The state machine only calls its Prefill and
// Cancel methods.
type remoteEngine struct {
	waxwingpick.Engine
	process *Process
	attempt sidecar.Attempt
}

// Prefill computes and exports the KV cache at the other engine.
func (r *remoteEngine) Prefill(ctx context.Context, req waxwingpick.GenerateRequest) (waxwingpick.KVExport, error) {
	return r.process.peers.Prefill(ctx, r.attempt.Prefill.Data, r.prefillAttempt(req.StreamID), req.Body)
}

// Cancel frees the resources of the request at the other engine.
func (r *remoteEngine) Cancel(ctx context.Context, streamID string) error {
	return r.process.peers.Cancel(ctx, r.attempt.Prefill.Data, r.prefillAttempt(streamID))
}

// prefillAttempt returns the attempt in the form for the prefill target's sidecar.
func (r *remoteEngine) prefillAttempt(streamID string) sidecar.Attempt {
	a := r.process.attemptAt(r.attempt.Prefill.Target, streamID, r.attempt)
	a.OutputTokens = 0
	return a
}

// attemptAt returns the attempt in the form for the sidecar of another target that exports KV cache to this engine.
func (p *Process) attemptAt(target waxwingpick.TargetID, id string, a sidecar.Attempt) sidecar.Attempt {
	a.ID = id
	a.Target = target
	a.Prefill = nil
	a.Source = nil
	a.ByReference = p.transfersDirectly()
	return a
}

// Prefill computes and exports the KV cache of a request whose decode stage runs on another engine.
func (p *Process) Prefill(ctx context.Context, a sidecar.Attempt, body []byte) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if p.engine == nil {
		return waxwingpick.KVExport{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "target is not an engine")
	}
	if refusal := p.admitGeneration(ctx, a, 0); refusal != nil {
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
		return export, p.abortPrefill(a, err)
	}
	p.admitter.firstToken(a.ID)
	// A request whose prefill succeeded is no crash suspect, even while the engine keeps its cache.
	p.crashes.leave(a.ID)
	return p.offerExport(ctx, a, export, lifetime(export), func() {
		p.releasePrefill(a.ID)
	})
}

// abortPrefill frees the resources of a failed prefill and returns the refusal.
func (p *Process) abortPrefill(a sidecar.Attempt, err error) *waxwingpick.Refusal {
	defer p.releasePrefill(a.ID)
	if errors.Is(err, waxwingpick.ErrEngineLost) {
		p.checkCrash(a, err)
		p.cancelStream(a.ID)
	}
	return waxwingpick.NotRun(waxwingpick.ReasonTargetLost, retryAfterCrash, err.Error())
}

// offerExport returns exported KV cache for another target. A reference waits in the export queue, and its request counts
// as running until the cache is fetched or the timeout passes. release is called then, or immediately if the export
// contains the data itself.
func (p *Process) offerExport(ctx context.Context, a sidecar.Attempt, export waxwingpick.KVExport, timeout time.Duration, release func()) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if export.Reference == nil {
		release()
		return export, nil
	}
	err := p.exports.begin(ctx, stages.Transfer{
		ID:       a.ID,
		Tokens:   export.Tokens,
		Deadline: p.timers.Now().Add(timeout),
	}, release)
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

func (p *Process) releasePrefill(id string) {
	p.admitter.done(id, 1)
	p.releaseGate(id)
}
