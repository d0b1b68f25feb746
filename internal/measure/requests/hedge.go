package main

import (
	"time"

	"waxwingpick/internal/virtual"
)

// hedges pairs quick requests with their second sends; the one whose first token comes first goes on alone.
type hedges struct {
	pairs map[*virtual.Request]*pair
}

// pair is one request and, once it was sent, its second.
type pair struct {
	requests [2]*virtual.Request
	leaves   [2]func(now time.Time)
	started  bool
	open     int
	// outcome merges those of both.
	outcome virtual.Outcome
}

func newHedges() hedges {
	return hedges{
		pairs: make(map[*virtual.Request]*pair),
	}
}

// start arranges for the second send of a request that has no first token in time.
func (h hedges) start(b *bench, r *virtual.Request, entry int, leave func(now time.Time)) {
	p := &pair{
		open: 1,
	}
	p.requests[0], p.leaves[0] = r, leave
	h.pairs[r] = p
	b.timers.After(b.policy.hedgeAfter, func(time.Time) {
		if p.started || p.open == 0 {
			return
		}
		second := *r
		p.open++
		p.requests[1] = &second
		h.pairs[&second] = p
		p.leaves[1] = b.entries[entry].Arrive(&second)
	})
}

// first ends the other request of a pair.
func (h hedges) first(r *virtual.Request) {
	p, ok := h.pairs[r]
	if !ok || p.started {
		return
	}
	p.started = true
	for i, other := range p.requests {
		if other != nil && other != r {
			p.leaves[i](r.Arrival)
		}
	}
}

// lost reports whether an outcome is that of a send that was ended for the other's first token.
func (h hedges) lost(o virtual.Outcome) bool {
	p, ok := h.pairs[o.Request]
	return ok && p.started && o.Left
}

// ended merges the outcomes of a pair and reports whether it was the last one.
func (h hedges) ended(o virtual.Outcome) (virtual.Outcome, bool) {
	p, ok := h.pairs[o.Request]
	if !ok {
		return o, true
	}
	delete(h.pairs, o.Request)
	p.open--
	merged := o
	merged.Computed += p.outcome.Computed
	if p.outcome.Whole || p.outcome.Request != nil && !o.Whole && p.outcome.FirstToken > 0 {
		computed := merged.Computed
		merged = p.outcome
		merged.Computed = computed
	}
	p.outcome = merged
	return merged, p.open == 0
}
