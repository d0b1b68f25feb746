package main

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingpick"
	"waxwingpick/core/classify"
	"waxwingpick/core/config"
	"waxwingpick/core/retry"
	"waxwingpick/core/timer"
	"waxwingpick/internal/virtual"
)

const (
	reportPeriod  = 100 * time.Millisecond
	poisonAt      = 100 * time.Second
	bytesPerToken = 4
	// histogramMax is the maximum recorded time, in microseconds.
	histogramMax = 300_000_000
)

// bench is one run of a policy in a scenario.
type bench struct {
	fleet    fleet
	scenario scenario
	policy   policy
	seed     uint64
	length   time.Duration

	timers     *timer.Manual
	sidecars   []*virtual.Sidecar
	entries    []*virtual.Entry
	balancers  []virtual.Balancer
	classifier *classify.Classifier
	hedges     hedges
	result     result
}

// result is what one run measured.
type result struct {
	classes map[waxwingpick.Class]*classResult
	// computed counts all computed tokens, wasted those for requests that did not complete in time.
	computed, wasted int
	crashes          int
	// cachedTokens counts the prompt tokens that the engines read from their caches.
	cachedTokens int
}

type classResult struct {
	offered, inTime, refused, untried int
	firstToken, betweenTokens         *hdrhistogram.Histogram
}

func newResult() result {
	r := result{
		classes: make(map[waxwingpick.Class]*classResult),
	}
	for _, c := range waxwingpick.Classes() {
		r.classes[c] = &classResult{
			firstToken:    hdrhistogram.New(1, histogramMax, 3),
			betweenTokens: hdrhistogram.New(1, histogramMax, 3),
		}
	}
	return r
}

// goodput returns the responses in time per second and as a fraction of the requests.
func (r result) goodput(length time.Duration) (perSecond, share float64) {
	offered, inTime := 0, 0
	for _, c := range r.classes {
		offered += c.offered
		inTime += c.inTime
	}
	return float64(inTime) / length.Seconds(), float64(inTime) / float64(max(1, offered))
}

func (b *bench) run() (result, error) {
	b.timers = timer.NewManual(time.Unix(0, 0))
	b.hedges = newHedges()
	b.result = newResult()
	classifier, err := classify.New()
	if err != nil {
		return result{}, err
	}
	b.classifier = classifier
	if err := b.build(); err != nil {
		return result{}, err
	}
	arrivals := rand.New(rand.NewPCG(b.seed, 1))
	entryRand := rand.New(rand.NewPCG(b.seed, 2))
	mix := b.fleet.mixOf(b.scenario.phases, b.scenario.load)
	virtual.StartLoad(b.timers, arrivals, mix, b.length, func(r *virtual.Request) {
		b.arrive(r, entryRand.IntN(len(b.entries)))
	})
	b.timers.Every(reportPeriod, b.report)
	if b.scenario.slowEngine {
		b.sidecars[0].Engine().SetSlowdown(slowFactor)
	}
	b.timers.Advance(b.length + 3*time.Minute)
	for _, s := range b.sidecars {
		b.result.crashes += s.Engine().Crashes()
		b.result.cachedTokens += s.Engine().SavedTokens()
	}
	return b.result, nil
}

func (b *bench) build() error {
	for i := range b.fleet.engines {
		spec := b.fleet.newEngineSpec(i)
		gate, err := b.policy.gate(spec)
		if err != nil {
			return err
		}
		s := virtual.NewSidecar(b.timers, virtual.NewEngine(b.timers, spec), gate)
		s.SetPriorities(b.policy.priorities)
		b.sidecars = append(b.sidecars, s)
	}
	shared, err := b.balancer(0)
	if err != nil {
		return err
	}
	for i := range max(b.fleet.entries, len(b.fleet.zones)) {
		zone := b.fleet.zone(i)
		balancer := shared
		if !b.policy.oracle && i > 0 {
			if balancer, err = b.balancer(i); err != nil {
				return err
			}
		}
		retries, err := retry.New(retry.Rand(rand.New(rand.NewPCG(b.seed, uint64(100+i)))))
		if err != nil {
			return err
		}
		e := virtual.NewEntry(b.timers, zone, balancer, retries, b.sidecars)
		b.balancers = append(b.balancers, balancer)
		e.OnFirstToken = b.hedges.onFirstToken
		e.OnToken = b.token
		e.OnEnded = b.ended
		b.entries = append(b.entries, e)
	}
	return nil
}

func (b *bench) balancer(entry int) (virtual.Balancer, error) {
	return b.policy.balancer(balancerInput{
		entry:    b.fleet.entryName(entry),
		zone:     b.fleet.zone(entry),
		rand:     rand.New(rand.NewPCG(b.seed, uint64(10+entry))),
		sidecars: b.sidecars,
		now:      b.timers.Now(),
		every: func(period time.Duration, fn func(now time.Time)) {
			b.timers.Every(period, fn)
		},
	})
}

func (b *bench) arrive(r *virtual.Request, entry int) {
	now := b.timers.Now()
	estimate := b.classifier.Classify(now, config.Preset{}, classify.Request{
		Workspace: r.Workspace,
		BodyBytes: r.PromptTokens * bytesPerToken,
		Class:     waxwingpick.Some(r.Class),
	})
	r.EstimatedOutput = estimate.OutputTokens
	if b.policy.oracle {
		r.EstimatedOutput = r.OutputTokens
	}
	if b.scenario.poison && r.Serial > 1 && now.Sub(time.Unix(0, 0)) >= poisonAt {
		b.scenario.poison = false
		r.Poison = true
	}
	b.result.classes[r.Class].offered++
	cancel := b.entries[entry].Arrive(r)
	if b.policy.hedgeAfter > 0 && r.Class == waxwingpick.ClassQuick {
		b.hedges.start(b, r, entry, cancel)
	}
}

// report sends each target's load to all entries, with the delay of the scenario.
func (b *bench) report(time.Time) {
	for _, s := range b.sidecars {
		load := s.Load()
		load.AgeMillis = b.scenario.reportDelay.Milliseconds()
		id := s.Engine().Spec().ID
		events := s.Engine().HottestBlocks(b.policy.hints)
		b.timers.After(b.scenario.reportDelay, func(time.Time) {
			b.observeCache(id, events)
			for _, e := range b.entries {
				e.Observe(id, load)
			}
		})
	}
}

// observeCache reports the cached blocks of a target to every entry.
func (b *bench) observeCache(id waxwingpick.TargetID, events []waxwingpick.CacheEvent) {
	for _, balancer := range b.balancers {
		if routed, ok := balancer.(*virtual.RouterBalancer); ok && len(events) > 0 {
			routed.ObserveCache(id, events)
		}
	}
}

func (b *bench) token(class waxwingpick.Class, gap time.Duration) {
	_ = b.result.classes[class].betweenTokens.RecordValue(max(1, gap.Microseconds()))
}

func (b *bench) ended(o virtual.Outcome) {
	if b.hedges.cancelled(o) {
		b.result.wasted += o.Computed
	}
	o, last := b.hedges.ended(o)
	if !last {
		return
	}
	r := o.Request
	c := b.result.classes[r.Class]
	b.result.computed += o.Computed
	if o.FirstToken > 0 {
		_ = c.firstToken.RecordValue(max(1, o.FirstToken.Microseconds()))
	}
	switch {
	case o.Complete:
		c.inTime++
		b.classifier.Observe(r.Workspace, r.Class, r.PromptTokens*bytesPerToken, r.PromptTokens, r.OutputTokens)
		return
	case o.CallerLeft:
		c.untried++
	default:
		c.refused++
	}
	b.result.wasted += o.Computed
}
