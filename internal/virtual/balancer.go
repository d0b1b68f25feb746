package virtual

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/routing"
)

// Routed is a balancer on core/routing.
type Routed struct {
	router *routing.Router
}

// NewRouted returns a balancer on the router.
func NewRouted(r *routing.Router) *Routed {
	return &Routed{
		router: r,
	}
}

// Choose asks the router and records the send.
func (b *Routed) Choose(now time.Time, r *Request, leg Leg, tried []waxwingpick.TargetID) (Pick, bool) {
	c, err := b.router.Choose(now, routing.Request{
		Class:        r.Class,
		Leg:          leg,
		PromptTokens: r.PromptTokens,
		OutputTokens: r.EstimatedOutput,
		Prefix:       r.Prefix,
		Deadline:     r.Deadline,
		Exclude:      tried,
	})
	if err != nil {
		return Pick{}, false
	}
	return Pick{
		Target: c.Target,
		Cached: c.CachedTokens,
		Choice: b.router.Sent(now, c),
	}, true
}

// Observe passes a report on to the router.
func (b *Routed) Observe(now time.Time, target waxwingpick.TargetID, load waxwingpick.TargetLoad) {
	b.router.Observe(now, routing.Report{
		Target: target,
		Load:   load,
	})
}

// ObserveCache passes cache events on to the router.
func (b *Routed) ObserveCache(target waxwingpick.TargetID, events []waxwingpick.CacheEvent) {
	for _, event := range events {
		b.router.ObserveCache(target, event)
	}
}

// Ended passes the end of an attempt on to the router.
func (b *Routed) Ended(now time.Time, p Pick, result routing.Result) {
	b.router.Done(now, p.Choice, result)
}

// Targets returns what a router has to know of the engines behind the sidecars.
func Targets(sidecars []*Sidecar) []routing.TargetInfo {
	infos := make([]routing.TargetInfo, 0, len(sidecars))
	for _, s := range sidecars {
		infos = append(infos, routing.TargetInfo{
			ID:   s.engine.spec.ID,
			Zone: s.engine.spec.Zone,
			Role: s.engine.spec.Role,
		})
	}
	return infos
}
