package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// blockTokens is the number of tokens in one prefix block.
	blockTokens = 2000
	// leavingMargin is how much newer than a refusal a report has to be to clear the target's leaving state.
	// A report's age does not include its transit time.
	leavingMargin = time.Second
	// rendezvousConfidence is the confidence that the rendezvous target of a prefix holds its first block without a hint.
	rendezvousConfidence = 0.9
)

// Refusals returned by Choose. They are shared, so callers must not modify them.
var (
	errNoTarget   = waxwingpick.NotRun(waxwingpick.ReasonNoTarget, time.Second, "no target is in use")
	errWrongModel = waxwingpick.NotRun(waxwingpick.ReasonWrongModel, 0, "no target serves the model")
)

// Router chooses among the targets of one service.
type Router struct {
	settings settings
	targets  []target
	byID     map[waxwingpick.TargetID]int32
	groups   map[groupKey]*group
	slots    []slot
	free     []int32
	hints    hints
	means    means
	total    total
	serial   uint64
	probe    prober
	// subset is the maximum number of targets of each group whose load is tracked.
	subset int
}

// New returns a router without targets. It fails if an option is out of bounds.
func New(opts ...Option) (*Router, error) {
	s := defaults()
	for _, opt := range opts {
		if err := opt(&s); err != nil {
			return nil, fmt.Errorf("routing option: %w", err)
		}
	}
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(1, xxhash.Sum64String(string(s.entry))))
	}
	return &Router{
		settings: s,
		subset:   s.subset,
		byID:     make(map[waxwingpick.TargetID]int32),
	}, nil
}

// Observe records a report that came with a response or a probe.
func (r *Router) Observe(now time.Time, rep Report) {
	t, ok := r.byID[rep.Target]
	if !ok {
		return
	}
	s := &r.slots[r.slotOf(now, t)]
	at := now.Add(-time.Duration(rep.Load.AgeMillis) * time.Millisecond)
	if s.hasLoad && at.Before(s.loadAt) {
		return
	}
	s.hasLoad = true
	leaving := s.load.Leaving && at.Before(s.leavingAt.Add(leavingMargin))
	s.load = rep.Load
	s.load.Leaving = rep.Load.Leaving || leaving
	s.loadAt = at
	s.dropReported(at)
	r.addToTotal(s)
	r.means.observe(rep.Load)
}

// ObserveCache records a cache event of a target as a hint.
func (r *Router) ObserveCache(id waxwingpick.TargetID, event waxwingpick.CacheEvent) {
	t, ok := r.byID[id]
	if !ok {
		return
	}
	if event.Held {
		r.hints.set(event.Block, t, event.At)
		return
	}
	r.hints.drop(event.Block, t, event.At)
}

// Sent records that the request is sent to the chosen target now and returns the choice to pass to Done.
func (r *Router) Sent(now time.Time, c Choice) Choice {
	t, ok := r.byID[c.Target]
	if !ok {
		return c
	}
	r.serial++
	c.serial = r.serial
	s := &r.slots[r.slotOf(now, t)]
	s.used = now
	s.outstanding++
	s.addSend(send{
		serial:  c.serial,
		at:      now,
		prefill: c.prefill,
		quick:   c.quick,
	})
	r.addToTotal(s)
	for _, block := range c.prefix {
		r.hints.set(block, t, now)
	}
	return c
}

// Done records the result of an attempt that was recorded by Sent.
func (r *Router) Done(now time.Time, c Choice, result Result) {
	t, ok := r.byID[c.Target]
	if !ok || r.targets[t].slot == none {
		return
	}
	s := &r.slots[r.targets[t].slot]
	s.outstanding = max(0, s.outstanding-1)
	s.removeSend(c.serial)
	r.addToTotal(s)
	switch result {
	case ResultResponded:
		s.failuresInRow = 0
		r.resetEjections(now, s)
	case ResultFailed:
		r.recordFailure(now, s)
	case ResultLeaving:
		s.load.Leaving = true
		s.leavingAt = now
	case ResultRefused, ResultCancelled:
	}
}

// Choose returns the target with the earliest predicted completion among a sample of candidates. It fails with a
// *waxwingpick.Refusal if no target may be used.
func (r *Router) Choose(now time.Time, req Request) (Choice, error) {
	g, ok := r.groups[groupKey{
		model:   req.Model,
		adapter: req.Adapter,
		stage:   req.Stage,
	}]
	if !ok {
		return Choice{}, errWrongModel
	}
	sel := selection{
		router: r,
		now:    now,
		req:    req,
		near:   none,
		far:    none,
	}
	sel.sample(g)
	if r.settings.affinity && len(req.Prefix) > 0 {
		sel.considerAffine(g)
	}
	if sel.near == none && sel.far == none {
		sel.lastResort = true
		sel.considerAll(g)
		sel.considerOutside(g)
	}
	best, ok := sel.best()
	if !ok {
		return Choice{}, errNoTarget
	}
	return best, nil
}

// selection compares the candidates of one choice.
type selection struct {
	router *Router
	now    time.Time
	req    Request
	// lastResort admits all targets in slow start.
	lastResort bool

	near, far             int32
	nearSeconds           float64
	farSeconds            float64
	nearCached, farCached int
}

// sample considers random members of the subset, or all of them if the subset is small.
func (sel *selection) sample(g *group) {
	n := len(g.subset)
	if n <= sel.router.settings.sample {
		sel.considerAll(g)
		return
	}
	first, step := sel.router.settings.rand.IntN(n), 1+sel.router.settings.rand.IntN(n-1)
	for i := range sel.router.settings.sample {
		sel.consider(g.subset[(first+i*step)%n], 0, false)
	}
}

func (sel *selection) considerAll(g *group) {
	for _, t := range g.subset {
		sel.consider(t, 0, false)
	}
}

// considerOutside considers the members of the group from a random one on until one may be used. It does nothing if a
// candidate was found already.
func (sel *selection) considerOutside(g *group) {
	if sel.near != none || sel.far != none {
		return
	}
	n := len(g.members)
	first := sel.router.settings.rand.IntN(n)
	for i := range n {
		if sel.consider(g.members[(first+i)%n], 0, false) {
			return
		}
	}
}

// considerAffine considers the target with the newest hint for the longest prefix, and the prefix's rendezvous targets.
func (sel *selection) considerAffine(g *group) {
	r := sel.router
	rendezvous := &g.buckets[sel.req.Prefix[0]%affinityBuckets]
	hinted, blocks, confidence := r.hints.longest(sel.now, sel.req.Prefix, r.settings.hintHalfLife)
	cached := sel.cached(blocks, confidence)
	if hinted == rendezvous[0] {
		cached = max(cached, sel.cached(1, rendezvousConfidence))
	}
	if hinted != none && r.serves(hinted, g, &sel.req) {
		sel.consider(hinted, cached, true)
	}
	for _, t := range rendezvous {
		if t == none || t == hinted {
			continue
		}
		if sel.consider(t, sel.cached(1, rendezvousConfidence), true) {
			return
		}
	}
}

func (sel *selection) cached(blocks int, confidence float64) int {
	return min(int(float64(blocks*blockTokens)*confidence), sel.req.PromptTokens)
}

// consider compares a candidate with the best ones so far and reports whether it may be used.
func (sel *selection) consider(t int32, cached int, affine bool) bool {
	r := sel.router
	target := &r.targets[t]
	if slices.Contains(sel.req.Exclude, target.info.ID) {
		return false
	}
	s := &r.slots[r.slotOf(sel.now, t)]
	if !r.allowed(sel.now, s) || !sel.lastResort && !r.slowStartAdmits(sel.now, s) {
		return false
	}
	e := r.estimate(sel.now, s, sel.req.Class)
	if affine && float64(s.requests()) > (1+r.settings.boundedLoad)*(r.meanRequests()+1) {
		return false
	}
	seconds := e.completion(sel.req.PromptTokens-cached, sel.req.OutputTokens)
	if target.sameZone {
		if sel.near == none || seconds < sel.nearSeconds {
			sel.near, sel.nearSeconds, sel.nearCached = t, seconds, cached
		}
		return true
	}
	seconds += r.settings.zonePenalty.Seconds()
	if sel.far == none || seconds < sel.farSeconds {
		sel.far, sel.farSeconds, sel.farCached = t, seconds, cached
	}
	return true
}

// best returns the best candidate. It prefers the entry's availability zone as long as completion there meets the
// deadline and is within the zone tolerance of the other zones.
func (sel *selection) best() (Choice, bool) {
	if sel.near == none && sel.far == none {
		return Choice{}, false
	}
	if sel.far == none || sel.near != none && sel.nearPreferred() {
		return sel.choice(sel.near, sel.nearSeconds, sel.nearCached), true
	}
	return sel.choice(sel.far, sel.farSeconds, sel.farCached), true
}

func (sel *selection) nearPreferred() bool {
	if sel.nearSeconds <= sel.farSeconds {
		return true
	}
	return sel.inTime(sel.nearSeconds) && sel.nearSeconds <= sel.farSeconds*(1+sel.router.settings.zoneTolerance)
}

func (sel *selection) inTime(seconds float64) bool {
	if sel.req.Deadline.IsZero() {
		return true
	}
	return seconds <= sel.req.Deadline.Sub(sel.now).Seconds()
}

func (sel *selection) choice(t int32, seconds float64, cached int) Choice {
	return Choice{
		Target:       sel.router.targets[t].info.ID,
		Predicted:    time.Duration(seconds * float64(time.Second)),
		CachedTokens: cached,
		InTime:       sel.inTime(seconds),
		SameZone:     sel.router.targets[t].sameZone,
		prefill:      sel.req.PromptTokens - cached,
		quick:        sel.req.Class != waxwingpick.ClassLong,
		prefix:       sel.req.Prefix,
	}
}

// serves reports whether the target of a hint can serve the request.
func (r *Router) serves(t int32, g *group, req *Request) bool {
	info := &r.targets[t].info
	return !info.Leaving && info.Model == req.Model && info.Adapter == req.Adapter && (g.anyRole || req.Stage.takes(info.Role))
}
