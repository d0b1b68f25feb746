package virtual

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/routing"
)

// RouterBalancer is a Balancer that chooses by core/routing.
type RouterBalancer struct {
	router *routing.Router
}

// NewRouterBalancer returns a balancer that chooses by the router.
func NewRouterBalancer(r *routing.Router) *RouterBalancer {
	return &RouterBalancer{
		router: r,
	}
}

// Choose returns the choice of the router and records the attempt as sent.
func (b *RouterBalancer) Choose(now time.Time, r *Request, stage Stage, tried []waxwingpick.TargetID) (Selection, bool) {
	c, err := b.router.Choose(now, routing.Request{
		Class:        r.Class,
		Stage:        stage,
		PromptTokens: r.PromptTokens,
		OutputTokens: r.EstimatedOutput,
		Prefix:       r.Prefix,
		Deadline:     r.Deadline,
		Exclude:      tried,
	})
	if err != nil {
		return Selection{}, false
	}
	return Selection{
		Target: c.Target,
		Cached: c.CachedTokens,
		Choice: b.router.Sent(now, c),
	}, true
}

// Observe forwards a load report to the router.
func (b *RouterBalancer) Observe(now time.Time, target waxwingpick.TargetID, load waxwingpick.TargetLoad) {
	b.router.Observe(now, routing.Report{
		Target: target,
		Load:   load,
	})
}

// ObserveCache forwards cache events to the router.
func (b *RouterBalancer) ObserveCache(target waxwingpick.TargetID, events []waxwingpick.CacheEvent) {
	for _, event := range events {
		b.router.ObserveCache(target, event)
	}
}

// Ended reports the result of an attempt to the router.
func (b *RouterBalancer) Ended(now time.Time, p Selection, result routing.Result) {
	b.router.Done(now, p.Choice, result)
}

// Targets describes the engines behind the sidecars for routing.Router.SetTargets.
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
