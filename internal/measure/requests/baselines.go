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

// fifoGate is the baseline for admission: it forwards each request to the engine on arrival.
type fifoGate struct {
	spec     virtual.EngineSpec
	prefill  map[admission.AttemptID]admission.Request
	running  int
	tokens   int
	quick    int
	draining bool
}

func newFIFOGate(spec virtual.EngineSpec) *fifoGate {
	return &fifoGate{
		spec:    spec,
		prefill: make(map[admission.AttemptID]admission.Request),
	}
}

func (f *fifoGate) Offer(_ time.Time, req admission.Request) admission.Decision {
	f.running++
	f.prefill[req.ID] = req
	f.count(req, 1)
	return admission.Decision{
		ID:      req.ID,
		Verdict: admission.VerdictRun,
	}
}

func (f *fifoGate) Next(time.Time) (admission.Decision, bool) {
	return admission.Decision{}, false
}

func (f *fifoGate) Wake() (time.Time, bool) {
	return time.Time{}, false
}

func (f *fifoGate) FirstToken(_ time.Time, id admission.AttemptID) {
	if req, ok := f.prefill[id]; ok {
		f.count(req, -1)
		delete(f.prefill, id)
	}
}

func (f *fifoGate) Done(now time.Time, id admission.AttemptID, _ int) {
	f.FirstToken(now, id)
	f.running--
}

func (f *fifoGate) Cancel(admission.AttemptID) bool {
	return false
}

func (f *fifoGate) Load(time.Time) waxwingpick.TargetLoad {
	return waxwingpick.TargetLoad{
		Running:            min(f.running, f.spec.Slots),
		Queued:             max(0, f.running-f.spec.Slots),
		Slots:              f.spec.Slots,
		PrefillTokens:      f.tokens,
		QuickPrefillTokens: f.quick,
	}
}

func (f *fifoGate) Drain() {
	f.draining = true
}

func (f *fifoGate) Resume() {
	f.draining = false
}

func (f *fifoGate) count(req admission.Request, sign int) {
	f.tokens += sign * req.PromptTokens
	if req.Class != waxwingpick.ClassLong {
		f.quick += sign * req.PromptTokens
	}
}

// loadReports is the state of the balancing baselines: the list of targets and their last reported load.
type loadReports struct {
	targets  []waxwingpick.TargetID
	requests map[waxwingpick.TargetID]int
}

func newLoadReports(targets []routing.TargetInfo) loadReports {
	r := loadReports{
		requests: make(map[waxwingpick.TargetID]int),
	}
	for _, t := range targets {
		r.targets = append(r.targets, t.ID)
	}
	return r
}

func (r *loadReports) Observe(_ time.Time, target waxwingpick.TargetID, load waxwingpick.TargetLoad) {
	r.requests[target] = load.Running + load.Queued
}

func (r *loadReports) Ended(time.Time, virtual.Selection, routing.Result) {
}

// untried returns the targets that a request has not tried.
func (r *loadReports) untried(tried []waxwingpick.TargetID) []waxwingpick.TargetID {
	if len(tried) == 0 {
		return r.targets
	}
	return slices.DeleteFunc(slices.Clone(r.targets), func(id waxwingpick.TargetID) bool {
		return slices.Contains(tried, id)
	})
}

// chooseUntried calls choose with the targets that a request has not tried; it returns false if there are none.
func (r *loadReports) chooseUntried(tried []waxwingpick.TargetID, choose func(targets []waxwingpick.TargetID) waxwingpick.TargetID) (virtual.Selection, bool) {
	targets := r.untried(tried)
	if len(targets) == 0 {
		return virtual.Selection{}, false
	}
	return virtual.Selection{
		Target: choose(targets),
	}, true
}

// roundRobin is a baseline that chooses the targets in turn.
type roundRobin struct {
	loadReports
	next int
}

func (b *roundRobin) Choose(_ time.Time, _ *virtual.Request, _ virtual.Stage, tried []waxwingpick.TargetID) (virtual.Selection, bool) {
	return b.chooseUntried(tried, func(targets []waxwingpick.TargetID) waxwingpick.TargetID {
		b.next++
		return targets[b.next%len(targets)]
	})
}

// leastLoaded is a baseline that chooses the target with the lowest reported load, and a random one among equals.
type leastLoaded struct {
	loadReports
	rand *rand.Rand
}

func (b *leastLoaded) Choose(_ time.Time, _ *virtual.Request, _ virtual.Stage, tried []waxwingpick.TargetID) (virtual.Selection, bool) {
	return b.chooseUntried(tried, func(targets []waxwingpick.TargetID) waxwingpick.TargetID {
		first := b.rand.IntN(len(targets))
		best := targets[first]
		for i := range targets {
			if t := targets[(first+i)%len(targets)]; b.requests[t] < b.requests[best] {
				best = t
			}
		}
		return best
	})
}

// powerOfTwo is a baseline that chooses the less loaded of two random targets, by their reports.
type powerOfTwo struct {
	loadReports
	rand *rand.Rand
}

func (b *powerOfTwo) Choose(_ time.Time, _ *virtual.Request, _ virtual.Stage, tried []waxwingpick.TargetID) (virtual.Selection, bool) {
	return b.chooseUntried(tried, func(targets []waxwingpick.TargetID) waxwingpick.TargetID {
		one, two := targets[b.rand.IntN(len(targets))], targets[b.rand.IntN(len(targets))]
		if b.requests[two] < b.requests[one] {
			return two
		}
		return one
	})
}

// oracle is the upper bound of greedy routing: before each choice it reads the present load of every target.
type oracle struct {
	*virtual.RouterBalancer
	sidecars []*virtual.Sidecar
}

func (b *oracle) Choose(now time.Time, r *virtual.Request, stage virtual.Stage, tried []waxwingpick.TargetID) (virtual.Selection, bool) {
	for _, s := range b.sidecars {
		b.RouterBalancer.Observe(now, s.Engine().Spec().ID, s.Load())
	}
	return b.RouterBalancer.Choose(now, r, stage, tried)
}

func (b *oracle) Observe(time.Time, waxwingpick.TargetID, waxwingpick.TargetLoad) {
}
