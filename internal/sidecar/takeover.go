package sidecar

import (
	"context"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/legs"
	"waxwingpick/io/sidecar"
)

// takeOver continues a stream that leaves another target, from its KV cache where that is sooner than computing it again.
func (p *Process) takeOver(ctx context.Context, a sidecar.Attempt, choice legs.Choice, req waxwingpick.GenerateRequest) (waxwingpick.EventStream, error) {
	p.log.WithFields(logrus.Fields{
		"attempt": a.ID,
		"from":    a.Source.Target,
		"tokens":  a.Source.Tokens,
		"fetched": choice.TwoLegs(),
	}).Info("stream is taken over")
	source := &sourceEngine{
		Engine:  p.engine,
		process: p,
		attempt: a,
	}
	if !choice.TwoLegs() {
		p.work.Go(func() {
			// The leaving target frees by itself what it can't be told to free.
			_ = source.Cancel(context.WithoutCancel(ctx), a.Source.Attempt)
		})
	}
	return p.runLegs(ctx, a, choice, req, source)
}

// prefillRate returns the engine's measured rate in tokens a second; zero where it is unknown.
func (p *Process) prefillRate(ctx context.Context) float64 {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	load, err := p.engine.Load(ctx)
	if err != nil {
		return 0
	}
	return load.PrefillTokensPerSecond
}

// sourceEngine is the engine that a stream leaves, reached through its sidecar; of the port's calls the machine makes
// only Prefill and Cancel there.
type sourceEngine struct {
	waxwingpick.Engine
	process *Process
	attempt sidecar.Attempt
}

// Prefill has the KV cache exported that the engine computed while it ran the stream.
func (s *sourceEngine) Prefill(ctx context.Context, _ waxwingpick.GenerateRequest) (waxwingpick.KVExport, error) {
	return s.process.peers.Export(ctx, s.attempt.Source.Data, s.former())
}

// Cancel ends the stream at the engine that it left.
func (s *sourceEngine) Cancel(ctx context.Context, _ string) error {
	return s.process.peers.Cancel(ctx, s.attempt.Source.Data, s.former())
}

// former returns the attempt that ran at the leaving target.
func (s *sourceEngine) former() sidecar.Attempt {
	source := s.attempt.Source
	return s.process.attemptAt(source.Target, source.Attempt, s.attempt)
}
