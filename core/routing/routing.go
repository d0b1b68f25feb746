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
	// leavingMargin is how much newer than a refusal a report has to be to say that its target does not leave;
	// a report's age does not include its way.
	leavingMargin = time.Second
	// unseenBelief is the belief that the first target of a prefix's bucket holds its first block though no hint says so.
	unseenBelief = 0.9
)

// The refusals of Choose; they are shared, so callers must not change them.
var (
	errNoTarget   = waxwingpick.NotRun(waxwingpick.ReasonNoTarget, time.Second, "no target is in use")
	errWrongModel = waxwingpick.NotRun(waxwingpick.ReasonWrongModel, 0, "no target serves the model")
)

// Router chooses targets of one service.
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
	// subset bounds the targets of each group whose load is held.
	subset int
}

// New returns a router without targets; it fails when an option is out of its bounds.
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

// Observe takes a report that came with an answer or a probe.
func (r *Router) Observe(now time.Time, rep Report) {
	t, ok := r.byID[rep.Target]
	if !ok {
		return
	}
	s := &r.slots[r.slotOf(now, t)]
	at := now.Add(-time.Duration(rep.Load.AgeMillis) * time.Millisecond)
	if s.known && at.Before(s.loadAt) {
		return
	}
	s.known = true
	leaving := s.load.Leaving && at.Before(s.leftAt.Add(leavingMargin))
	s.load = rep.Load
	s.load.Leaving = rep.Load.Leaving || leaving
	s.loadAt = at
	s.reported(at)
	r.count(s)
	r.means.observe(rep.Load)
}

// ObserveCache takes a cache event of a target as a hint.
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

// Sent records that the request goes to the chosen target now and returns the choice to pass to Done.
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
	r.count(s)
	for _, block := range c.prefix {
		r.hints.set(block, t, now)
	}
	return c
}

// Done records how an attempt that Sent recorded ended.
func (r *Router) Done(now time.Time, c Choice, result Result) {
	t, ok := r.byID[c.Target]
	if !ok || r.targets[t].slot == none {
		return
	}
	s := &r.slots[r.targets[t].slot]
	s.outstanding = max(0, s.outstanding-1)
	s.ended(c.serial)
	r.count(s)
	switch result {
	case ResultAnswered:
		s.failuresInRow = 0
		r.recovered(now, s)
	case ResultFailed:
		r.failed(now, s)
	case ResultLeaving:
		s.load.Leaving = true
		s.leftAt = now
	case ResultRefused, ResultCancelled:
	}
}

// Choose returns the target with the earliest predicted completion among a sample; it fails with a
// *waxwingpick.Refusal where none may be used.
func (r *Router) Choose(now time.Time, req Request) (Choice, error) {
	g, ok := r.groups[groupKey{
		model:   req.Model,
		adapter: req.Adapter,
		leg:     req.Leg,
	}]
	if !ok {
		return Choice{}, errWrongModel
	}
	p := picker{
		router: r,
		now:    now,
		req:    req,
		near:   none,
		far:    none,
	}
	p.sample(g)
	if r.settings.affinity && len(req.Prefix) > 0 {
		p.affine(g)
	}
	if p.near == none && p.far == none {
		p.lastResort = true
		p.all(g)
		p.beyond(g)
	}
	best, ok := p.best()
	if !ok {
		return Choice{}, errNoTarget
	}
	return best, nil
}

// picker compares the candidates of one choice.
type picker struct {
	router *Router
	now    time.Time
	req    Request
	// lastResort takes targets that are still returning from an ejection.
	lastResort bool

	near, far             int32
	nearSeconds           float64
	farSeconds            float64
	nearCached, farCached int
}

// sample considers random members of the subset, or all of a small one.
func (p *picker) sample(g *group) {
	n := len(g.subset)
	if n <= p.router.settings.sample {
		p.all(g)
		return
	}
	first, step := p.router.settings.rand.IntN(n), 1+p.router.settings.rand.IntN(n-1)
	for i := range p.router.settings.sample {
		p.consider(g.subset[(first+i*step)%n], 0, false)
	}
}

func (p *picker) all(g *group) {
	for _, t := range g.subset {
		p.consider(t, 0, false)
	}
}

// beyond considers targets outside of the subset until one may be used, where none of the subset may.
func (p *picker) beyond(g *group) {
	if p.near != none || p.far != none {
		return
	}
	n := len(g.members)
	first := p.router.settings.rand.IntN(n)
	for i := range n {
		if p.consider(g.members[(first+i)%n], 0, false) {
			return
		}
	}
}

// affine considers the target that was last sent the longest prefix and the prefix's rendezvous targets.
func (p *picker) affine(g *group) {
	r := p.router
	home := &g.buckets[p.req.Prefix[0]%affinityBuckets]
	held, blocks, belief := r.hints.longest(p.now, p.req.Prefix, r.settings.hintHalfLife)
	cached := p.cached(blocks, belief)
	if held == home[0] {
		cached = max(cached, p.cached(1, unseenBelief))
	}
	if held != none && r.serves(held, g, &p.req) {
		p.consider(held, cached, true)
	}
	for _, t := range home {
		if t == none || t == held {
			continue
		}
		if p.consider(t, p.cached(1, unseenBelief), true) {
			return
		}
	}
}

func (p *picker) cached(blocks int, belief float64) int {
	return min(int(float64(blocks*blockTokens)*belief), p.req.PromptTokens)
}

// consider compares a candidate with the best ones so far and reports whether it may be used.
func (p *picker) consider(t int32, cached int, affine bool) bool {
	r := p.router
	target := &r.targets[t]
	if slices.Contains(p.req.Exclude, target.info.ID) {
		return false
	}
	s := &r.slots[r.slotOf(p.now, t)]
	if !r.allowed(p.now, s) || !p.lastResort && !r.takesShare(p.now, s) {
		return false
	}
	e := r.estimate(p.now, s, p.req.Class)
	if affine && float64(s.requests()) > (1+r.settings.boundedLoad)*(r.meanRequests()+1) {
		return false
	}
	seconds := e.completion(p.req.PromptTokens-cached, p.req.OutputTokens)
	if target.sameZone {
		if p.near == none || seconds < p.nearSeconds {
			p.near, p.nearSeconds, p.nearCached = t, seconds, cached
		}
		return true
	}
	seconds += r.settings.zonePenalty.Seconds()
	if p.far == none || seconds < p.farSeconds {
		p.far, p.farSeconds, p.farCached = t, seconds, cached
	}
	return true
}

// best prefers the own availability zone while its completion is in time and not much later.
func (p *picker) best() (Choice, bool) {
	if p.near == none && p.far == none {
		return Choice{}, false
	}
	if p.far == none || p.near != none && p.nearPreferred() {
		return p.choice(p.near, p.nearSeconds, p.nearCached), true
	}
	return p.choice(p.far, p.farSeconds, p.farCached), true
}

func (p *picker) nearPreferred() bool {
	if p.nearSeconds <= p.farSeconds {
		return true
	}
	return p.inTime(p.nearSeconds) && p.nearSeconds <= p.farSeconds*(1+p.router.settings.zoneTolerance)
}

func (p *picker) inTime(seconds float64) bool {
	if p.req.Deadline.IsZero() {
		return true
	}
	return seconds <= p.req.Deadline.Sub(p.now).Seconds()
}

func (p *picker) choice(t int32, seconds float64, cached int) Choice {
	return Choice{
		Target:       p.router.targets[t].info.ID,
		Predicted:    time.Duration(seconds * float64(time.Second)),
		CachedTokens: cached,
		InTime:       p.inTime(seconds),
		SameZone:     p.router.targets[t].sameZone,
		prefill:      p.req.PromptTokens - cached,
		quick:        p.req.Class != waxwingpick.ClassLong,
		prefix:       p.req.Prefix,
	}
}

// serves reports whether a target that a hint names may take the request.
func (r *Router) serves(t int32, g *group, req *Request) bool {
	info := &r.targets[t].info
	return !info.Leaving && info.Model == req.Model && info.Adapter == req.Adapter && (g.anyRole || req.Leg.takes(info.Role))
}
