package main

import (
	"time"

	"waxwingpick/internal/virtual"
)

// hedges sends a second copy of slow quick requests, and cancels the other copy when one yields its first token.
type hedges struct {
	pairs map[*virtual.Request]*pair
}

// pair is a request and its second copy, if one was sent.
type pair struct {
	requests [2]*virtual.Request
	cancels  [2]func(now time.Time)
	started  bool
	open     int
	// outcome is the merged outcome of both copies.
	outcome virtual.Outcome
}

func newHedges() hedges {
	return hedges{
		pairs: make(map[*virtual.Request]*pair),
	}
}

// start schedules the second copy of a request, which is sent unless the first token arrives in time.
func (h hedges) start(b *bench, r *virtual.Request, entry int, cancel func(now time.Time)) {
	p := &pair{
		open: 1,
	}
	p.requests[0], p.cancels[0] = r, cancel
	h.pairs[r] = p
	b.timers.After(b.policy.hedgeAfter, func(time.Time) {
		if p.started || p.open == 0 {
			return
		}
		second := *r
		p.open++
		p.requests[1] = &second
		h.pairs[&second] = p
		p.cancels[1] = b.entries[entry].Arrive(&second)
	})
}

// onFirstToken handles the first token of a pair: it cancels the other copy.
func (h hedges) onFirstToken(r *virtual.Request) {
	p, ok := h.pairs[r]
	if !ok || p.started {
		return
	}
	p.started = true
	for i, other := range p.requests {
		if other != nil && other != r {
			p.cancels[i](r.Arrival)
		}
	}
}

// cancelled reports whether an outcome is that of a copy that was cancelled.
func (h hedges) cancelled(o virtual.Outcome) bool {
	p, ok := h.pairs[o.Request]
	return ok && p.started && o.CallerLeft
}

// ended merges the outcomes of a pair, and reports whether no copy is left running.
func (h hedges) ended(o virtual.Outcome) (virtual.Outcome, bool) {
	p, ok := h.pairs[o.Request]
	if !ok {
		return o, true
	}
	delete(h.pairs, o.Request)
	p.open--
	merged := o
	merged.Computed += p.outcome.Computed
	if p.outcome.Complete || p.outcome.Request != nil && !o.Complete && p.outcome.FirstToken > 0 {
		computed := merged.Computed
		merged = p.outcome
		merged.Computed = computed
	}
	p.outcome = merged
	return merged, p.open == 0
}
