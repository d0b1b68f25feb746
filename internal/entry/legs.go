package entry

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/legs"
	"waxwingpick/core/routing"
	"waxwingpick/io/sidecar"
)

const (
	// leastLegsTokens is the shortest prompt, in tokens, whose KV cache is worth a move.
	leastLegsTokens = 2000
	// legsMargin is by how much two engines have to be sooner than one.
	legsMargin = 20 * time.Millisecond
)

// chooseLegs picks one engine for both legs of a request, or one for each where that is sooner; doneLegs has to follow.
func (s *serviceTargets) chooseLegs(now time.Time, req routing.Request) (chosen, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole, err := s.router.Choose(now, req)
	if req.PromptTokens < leastLegsTokens || !s.splitRoles(req.Model) {
		return s.sent(now, whole, err)
	}
	prefill, decode, ok := s.pair(now, req)
	// A decode engine takes a long prompt itself only where no pair is to be had, for it would delay its streams.
	mixed := err == nil && s.targets[whole.Target].active.Role == waxwingpick.RoleMixed
	if !ok || mixed && !soonerOnTwo(req, whole, prefill, decode) {
		return s.sent(now, whole, err)
	}
	target, _ := s.sent(now, decode, nil)
	first, _ := s.sent(now, prefill, nil)
	target.prefill = &first
	return target, nil
}

// sent counts a choice as sent and adds the addresses of its target; the lock is held.
func (s *serviceTargets) sent(now time.Time, choice routing.Choice, err error) (chosen, error) {
	if err != nil {
		return chosen{}, err
	}
	target := s.targets[choice.Target]
	return chosen{
		choice:      s.router.Sent(now, choice),
		instance:    target.instance,
		reportAge:   now.Sub(target.reportedAt),
		incarnation: s.incarnations[choice.Target],
	}, nil
}

// splitRoles reports whether engines with the model have taken apart prefill and decode; the lock is held.
func (s *serviceTargets) splitRoles(model string) bool {
	for _, t := range s.targets {
		if t.active.Model == model && t.active.Role == waxwingpick.RolePrefill {
			return true
		}
	}
	return false
}

// pair picks an engine for each leg; the lock is held.
func (s *serviceTargets) pair(now time.Time, req routing.Request) (prefill, decode routing.Choice, ok bool) {
	first := req
	first.Leg = routing.LegPrefill
	first.OutputTokens = 0
	prefill, err := s.router.Choose(now, first)
	if err != nil {
		return prefill, decode, false
	}
	second := req
	second.Leg = routing.LegDecode
	second.PromptTokens = 0
	second.Prefix = nil
	decode, err = s.router.Choose(now, second)
	return prefill, decode, err == nil && prefill.Target != decode.Target
}

func soonerOnTwo(req routing.Request, whole, prefill, decode routing.Choice) bool {
	return legs.Choice{
		Single: legs.Estimate{
			Target: whole.Target,
			Decode: whole.Predicted,
		},
		Prefill: legs.Estimate{
			Target:  prefill.Target,
			Prefill: prefill.Predicted,
		},
		Decode: legs.Estimate{
			Target: decode.Target,
			Decode: decode.Predicted,
		},
		Transfer: legs.TransferTime(req.PromptTokens),
		Margin:   legsMargin,
	}.TwoLegs()
}

// doneLegs records how an attempt ended at the target, and frees the count at the one of its first leg.
func (s *serviceTargets) doneLegs(now time.Time, c chosen, result routing.Result) {
	s.done(now, c, result)
	if c.prefill != nil {
		s.done(now, *c.prefill, routing.ResultCancelled)
	}
}

func prefillLeg(c chosen) *sidecar.PrefillLeg {
	if c.prefill == nil {
		return nil
	}
	return &sidecar.PrefillLeg{
		Target: c.prefill.choice.Target,
		Data:   c.prefill.instance.Data,
	}
}
