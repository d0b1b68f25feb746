package sidecar

import (
	"context"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/stages"
	"waxwingpick/io/sidecar"
)

// continueMoved continues a stream that moves off another target. It fetches the stream's KV cache if that is faster than
// computing it again.
func (p *Process) continueMoved(ctx context.Context, a sidecar.Attempt, choice stages.Choice, req waxwingpick.GenerateRequest) (waxwingpick.EventStream, error) {
	p.log.WithFields(logrus.Fields{
		"attempt": a.ID,
		"from":    a.Source.Target,
		"tokens":  a.Source.Tokens,
		"fetched": choice.TwoStages(),
	}).Info("stream is taken over")
	source := &sourceEngine{
		Engine:  p.engine,
		process: p,
		attempt: a,
	}
	if !choice.TwoStages() {
		p.work.Go(func() {
			// An unreachable leaving target frees the stream by itself.
			_ = source.Cancel(context.WithoutCancel(ctx), a.Source.Attempt)
		})
	}
	return p.runStages(ctx, a, choice, req, source)
}

// prefillRate returns the engine's measured prefill rate in tokens per second, or zero if it is unknown.
func (p *Process) prefillRate(ctx context.Context) float64 {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	load, err := p.engine.Load(ctx)
	if err != nil {
		return 0
	}
	return load.PrefillTokensPerSecond
}

// sourceEngine is the engine that a stream moves off, reached through its sidecar. The state machine only calls its
// Prefill and Cancel methods.
type sourceEngine struct {
	waxwingpick.Engine
	process *Process
	attempt sidecar.Attempt
}

// Prefill exports the KV cache that the engine computed while it ran the stream.
func (s *sourceEngine) Prefill(ctx context.Context, _ waxwingpick.GenerateRequest) (waxwingpick.KVExport, error) {
	return s.process.peers.Export(ctx, s.attempt.Source.Data, s.sourceAttempt())
}

// Cancel ends the stream at the source engine.
func (s *sourceEngine) Cancel(ctx context.Context, _ string) error {
	return s.process.peers.Cancel(ctx, s.attempt.Source.Data, s.sourceAttempt())
}

// sourceAttempt returns the attempt that ran at the leaving target.
func (s *sourceEngine) sourceAttempt() sidecar.Attempt {
	source := s.attempt.Source
	return s.process.attemptAt(source.Target, source.Attempt, s.attempt)
}
