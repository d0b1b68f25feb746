package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/routing"
	"waxwingpick/internal/virtual"
)

// firstCome is the admission baseline: everything goes to the engine at once, in order of arrival.
type firstCome struct {
	spec     virtual.EngineSpec
	prefill  map[admission.AttemptID]admission.Request
	running  int
	tokens   int
	quick    int
	draining bool
}

func newFirstCome(spec virtual.EngineSpec) *firstCome {
	return &firstCome{
		spec:    spec,
		prefill: make(map[admission.AttemptID]admission.Request),
	}
}

func (f *firstCome) Offer(_ time.Time, req admission.Request) admission.Decision {
	f.running++
	f.prefill[req.ID] = req
	f.count(req, 1)
	return admission.Decision{
		ID:      req.ID,
		Verdict: admission.VerdictRun,
	}
}

func (f *firstCome) Next(time.Time) (admission.Decision, bool) {
	return admission.Decision{}, false
}

func (f *firstCome) Wake() (time.Time, bool) {
	return time.Time{}, false
}

func (f *firstCome) FirstToken(_ time.Time, id admission.AttemptID) {
	if req, ok := f.prefill[id]; ok {
		f.count(req, -1)
		delete(f.prefill, id)
	}
}

func (f *firstCome) Done(now time.Time, id admission.AttemptID, _ int) {
	f.FirstToken(now, id)
	f.running--
}

func (f *firstCome) Cancel(admission.AttemptID) bool {
	return false
}

func (f *firstCome) Load(time.Time) waxwingpick.TargetLoad {
	return waxwingpick.TargetLoad{
		Running:            min(f.running, f.spec.Slots),
		Queued:             max(0, f.running-f.spec.Slots),
		Slots:              f.spec.Slots,
		PrefillTokens:      f.tokens,
		QuickPrefillTokens: f.quick,
	}
}

func (f *firstCome) Drain() {
	f.draining = true
}

func (f *firstCome) Resume() {
	f.draining = false
}

func (f *firstCome) count(req admission.Request, sign int) {
	f.tokens += sign * req.PromptTokens
	if req.Class != waxwingpick.ClassLong {
		f.quick += sign * req.PromptTokens
	}
}

// reported is what the balancing baselines know: the list of targets and their reported load.
type reported struct {
	targets []waxwingpick.TargetID
	busy    map[waxwingpick.TargetID]int
}

func newReported(targets []routing.TargetInfo) reported {
	r := reported{
		busy: make(map[waxwingpick.TargetID]int),
	}
	for _, t := range targets {
		r.targets = append(r.targets, t.ID)
	}
	return r
}

func (r *reported) Observe(_ time.Time, target waxwingpick.TargetID, load waxwingpick.TargetLoad) {
	r.busy[target] = load.Running + load.Queued
}

func (r *reported) Ended(time.Time, virtual.Pick, routing.Result) {
}

// left returns the targets that were not tried yet.
func (r *reported) left(tried []waxwingpick.TargetID) []waxwingpick.TargetID {
	if len(tried) == 0 {
		return r.targets
	}
	return slices.DeleteFunc(slices.Clone(r.targets), func(id waxwingpick.TargetID) bool {
		return slices.Contains(tried, id)
	})
}

// pick lets the function choose one of the targets that were not tried yet.
func (r *reported) pick(tried []waxwingpick.TargetID, choose func(targets []waxwingpick.TargetID) waxwingpick.TargetID) (virtual.Pick, bool) {
	targets := r.left(tried)
	if len(targets) == 0 {
		return virtual.Pick{}, false
	}
	return virtual.Pick{
		Target: choose(targets),
	}, true
}

// roundRobin takes the targets in turn.
type roundRobin struct {
	reported
	next int
}

func (b *roundRobin) Choose(_ time.Time, _ *virtual.Request, _ virtual.Leg, tried []waxwingpick.TargetID) (virtual.Pick, bool) {
	return b.pick(tried, func(targets []waxwingpick.TargetID) waxwingpick.TargetID {
		b.next++
		return targets[b.next%len(targets)]
	})
}

// leastReported takes the target with the lowest reported load, a random one of equals.
type leastReported struct {
	reported
	rand *rand.Rand
}

func (b *leastReported) Choose(_ time.Time, _ *virtual.Request, _ virtual.Leg, tried []waxwingpick.TargetID) (virtual.Pick, bool) {
	return b.pick(tried, func(targets []waxwingpick.TargetID) waxwingpick.TargetID {
		first := b.rand.IntN(len(targets))
		best := targets[first]
		for i := range targets {
			if t := targets[(first+i)%len(targets)]; b.busy[t] < b.busy[best] {
				best = t
			}
		}
		return best
	})
}

// powerOfTwo takes the one with the lower reported load of two random targets.
type powerOfTwo struct {
	reported
	rand *rand.Rand
}

func (b *powerOfTwo) Choose(_ time.Time, _ *virtual.Request, _ virtual.Leg, tried []waxwingpick.TargetID) (virtual.Pick, bool) {
	return b.pick(tried, func(targets []waxwingpick.TargetID) waxwingpick.TargetID {
		one, two := targets[b.rand.IntN(len(targets))], targets[b.rand.IntN(len(targets))]
		if b.busy[two] < b.busy[one] {
			return two
		}
		return one
	})
}

// allKnowing is the greedy bound: before each choice it reads the present state of every target.
type allKnowing struct {
	*virtual.Routed
	sidecars []*virtual.Sidecar
}

func (b *allKnowing) Choose(now time.Time, r *virtual.Request, leg virtual.Leg, tried []waxwingpick.TargetID) (virtual.Pick, bool) {
	for _, s := range b.sidecars {
		b.Routed.Observe(now, s.Engine().Spec().ID, s.Load())
	}
	return b.Routed.Choose(now, r, leg, tried)
}

func (b *allKnowing) Observe(time.Time, waxwingpick.TargetID, waxwingpick.TargetLoad) {
}
