package entry

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/routing"
	"waxwingpick/core/stages"
	"waxwingpick/io/sidecar"
)

const (
	// minSplitPromptTokens is the shortest prompt, in tokens, whose KV cache is worth transferring to another engine.
	minSplitPromptTokens = 2000
	// minSplitGain is the minimum predicted time saved by two engines over one.
	minSplitGain = 20 * time.Millisecond
)

// chooseStageTargets selects one engine for both stages of a request, or one for each stage if that is faster. The caller
// must call doneStages afterwards.
func (s *serviceTargets) chooseStageTargets(now time.Time, req routing.Request) (chosenTarget, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	single, err := s.router.Choose(now, req)
	if req.PromptTokens < minSplitPromptTokens || !s.splitRoles(req.Model) {
		return s.recordSent(now, single, err)
	}
	prefill, decode, ok := s.choosePair(now, req)
	// A decode engine serves a long prompt by itself only if no pair is available, because the prompt delays its streams.
	mixed := err == nil && s.targets[single.Target].active.Role == waxwingpick.RoleMixed
	if !ok || mixed && !splitIsFaster(req, single, prefill, decode) {
		return s.recordSent(now, single, err)
	}
	target, _ := s.recordSent(now, decode, nil)
	first, _ := s.recordSent(now, prefill, nil)
	target.prefill = &first
	return target, nil
}

// recordSent counts a choice as sent and adds the addresses of its target. The caller must hold s.mu.
func (s *serviceTargets) recordSent(now time.Time, choice routing.Choice, err error) (chosenTarget, error) {
	if err != nil {
		return chosenTarget{}, err
	}
	target := s.targets[choice.Target]
	return chosenTarget{
		choice:      s.router.Sent(now, choice),
		instance:    target.instance,
		reportAge:   now.Sub(target.reportedAt),
		incarnation: s.incarnations[choice.Target],
	}, nil
}

// splitRoles reports whether any engine with the model has the prefill role. The caller must hold s.mu.
func (s *serviceTargets) splitRoles(model string) bool {
	for _, t := range s.targets {
		if t.active.Model == model && t.active.Role == waxwingpick.RolePrefill {
			return true
		}
	}
	return false
}

// choosePair selects an engine for each stage. The caller must hold s.mu.
func (s *serviceTargets) choosePair(now time.Time, req routing.Request) (prefill, decode routing.Choice, ok bool) {
	first := req
	first.Stage = routing.StagePrefill
	first.OutputTokens = 0
	prefill, err := s.router.Choose(now, first)
	if err != nil {
		return prefill, decode, false
	}
	second := req
	second.Stage = routing.StageDecode
	second.PromptTokens = 0
	second.Prefix = nil
	decode, err = s.router.Choose(now, second)
	return prefill, decode, err == nil && prefill.Target != decode.Target
}

func splitIsFaster(req routing.Request, single, prefill, decode routing.Choice) bool {
	return stages.Choice{
		Single: stages.Estimate{
			Target: single.Target,
			Decode: single.Predicted,
		},
		Prefill: stages.Estimate{
			Target:  prefill.Target,
			Prefill: prefill.Predicted,
		},
		Decode: stages.Estimate{
			Target: decode.Target,
			Decode: decode.Predicted,
		},
		Transfer: stages.TransferTime(req.PromptTokens),
		Margin:   minSplitGain,
	}.TwoStages()
}

// doneStages records how an attempt ended at its target, and releases the request count at its prefill target.
func (s *serviceTargets) doneStages(now time.Time, c chosenTarget, result routing.Result) {
	s.done(now, c, result)
	if c.prefill != nil {
		s.done(now, *c.prefill, routing.ResultCancelled)
	}
}

func prefillStage(c chosenTarget) *sidecar.PrefillStage {
	if c.prefill == nil {
		return nil
	}
	return &sidecar.PrefillStage{
		Target: c.prefill.choice.Target,
		Data:   c.prefill.instance.Data,
	}
}
