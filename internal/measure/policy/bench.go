package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/policy"
	"waxwingpick/core/retry"
	"waxwingpick/core/routing"
	"waxwingpick/core/timer"
	"waxwingpick/internal/virtual"
)

const (
	defaultChunk  = 256
	loadPeriod    = 100 * time.Millisecond
	controlPeriod = time.Second
	// rolePropagation is the delay until entries apply a role change.
	rolePropagation = 500 * time.Millisecond
	// tailTime is the time after the last arrival within which requests may end.
	tailTime = 2 * time.Minute
	// firstTokenObjective is the objective for the time to the first token of 95 % of quick requests.
	firstTokenObjective = 890 * time.Millisecond
)

// bench is one run of a policy on a trace.
type bench struct {
	fleet  fleet
	trace  trace
	policy controlPolicy
	seed   uint64
	load   float64
	quick  float64
	length time.Duration
	// chunk is the maximum number of prompt tokens in a step of a mixed engine.
	chunk int

	timers   *timer.Manual
	sidecars []*virtual.Sidecar
	routers  []*routing.Router
	entries  []*virtual.Entry
	nodes    []*node
	mix      *policy.Mix
	work     policy.Work
	control  controller
	result   result
}

// node is the role state of one engine.
type node struct {
	role     waxwingpick.Role
	changing bool
	since    time.Time
	leaving  bool
}

// result is what one run measured.
type result struct {
	offered map[waxwingpick.Class]int
	inTime  map[waxwingpick.Class]int
	// fastFirstTokens counts quick requests in time whose first token met firstTokenObjective.
	fastFirstTokens int
	changes         int
	// lostSeconds is the sum of the times from the start of a drain until the engine serves in its new role, in
	// seconds.
	lostSeconds float64
	// points counts responses in time by arrival, in buckets of controlPeriod.
	points []int
}

// goodput returns the responses in time per second.
func (r result) goodput(length time.Duration) float64 {
	n := 0
	for _, c := range r.inTime {
		n += c
	}
	return float64(n) / length.Seconds()
}

func (b *bench) run() (result, error) {
	b.timers = timer.NewManual(time.Unix(0, 0))
	b.result = result{
		offered: make(map[waxwingpick.Class]int),
		inTime:  make(map[waxwingpick.Class]int),
		points:  make([]int, int(b.length/controlPeriod)+1),
	}
	if err := b.build(); err != nil {
		return result{}, err
	}
	entryRand := rand.New(rand.NewPCG(b.seed, 2))
	arrivals := rand.New(rand.NewPCG(b.seed, 1))
	virtual.StartLoad(b.timers, arrivals, b.fleet.mix(b.trace, b.load, b.quick, b.length), b.length, func(r *virtual.Request) {
		b.arrive(r, entryRand.IntN(len(b.entries)))
	})
	b.timers.Every(loadPeriod, b.report)
	if b.control != nil {
		b.timers.Every(controlPeriod, b.decide)
	}
	if b.trace.withdraws {
		b.timers.After(b.length/2, b.withdraw)
	}
	b.timers.Advance(b.length + tailTime)
	return b.result, nil
}

func (b *bench) build() error {
	for i := range b.fleet.engines {
		if err := b.addEngine(i); err != nil {
			return err
		}
	}
	for i, zone := range b.fleet.zones {
		if err := b.addEntry(i, zone); err != nil {
			return err
		}
	}
	b.publishRoles(b.timers.Now())
	var err error
	var opts []policy.MixOption
	if h := b.policy.halfLives; h[0] > 0 {
		opts = append(opts, policy.HalfLives(h[0], h[1]))
	}
	if b.mix, err = policy.NewMix(opts...); err != nil {
		return err
	}
	if b.policy.control != nil {
		b.control, err = b.policy.control(b.fleet)
	}
	return err
}

func (b *bench) addEngine(i int) error {
	zones := b.fleet.zones
	spec := engineSpec(waxwingpick.TargetID(fmt.Sprintf("engine-%02d", i)), zones[i%len(zones)])
	spec.StepTokens = b.chunk
	spec.Role = b.policy.otherRole
	if i < b.policy.prefill {
		spec.Role = waxwingpick.RolePrefill
	}
	gate, err := admission.New(admission.Slots(spec.Slots), admission.Memory(spec.KVBlocks, virtual.BlockTokens))
	if err != nil {
		return err
	}
	b.sidecars = append(b.sidecars, virtual.NewSidecar(b.timers, virtual.NewEngine(b.timers, spec), gate))
	b.nodes = append(b.nodes, &node{
		role: spec.Role,
	})
	return nil
}

func (b *bench) addEntry(i int, zone waxwingpick.AvailabilityZone) error {
	r, err := routing.New(
		routing.Entry(waxwingpick.InstanceID("entry-"+string(zone)), zone),
		routing.Rand(rand.New(rand.NewPCG(b.seed, uint64(10+i)))),
	)
	if err != nil {
		return err
	}
	retries, err := retry.New(retry.Rand(rand.New(rand.NewPCG(b.seed, uint64(100+i)))))
	if err != nil {
		return err
	}
	counted := &workCounter{
		RouterBalancer: virtual.NewRouterBalancer(r),
		bench:          b,
	}
	e := virtual.NewEntry(b.timers, zone, counted, retries, b.sidecars)
	e.OnEnded = b.ended
	b.routers = append(b.routers, r)
	b.entries = append(b.entries, e)
	return nil
}

// workCounter is a balancer that counts the work of requests when they are first sent.
type workCounter struct {
	*virtual.RouterBalancer
	bench *bench
}

// Choose implements virtual.Balancer.
func (c *workCounter) Choose(now time.Time, r *virtual.Request, stage virtual.Stage, tried []waxwingpick.TargetID) (virtual.Selection, bool) {
	p, ok := c.RouterBalancer.Choose(now, r, stage, tried)
	if ok && stage != virtual.StageDecode && len(tried) == 0 {
		c.bench.reportWork(policy.Work{
			Requests:      1,
			PrefillTokens: float64(max(0, r.PromptTokens-p.Cached)),
			DecodeTokens:  float64(r.EstimatedOutput),
		})
	}
	return p, ok
}

// reportWork adds work to the observed work after the report delay of the trace.
func (b *bench) reportWork(w policy.Work) {
	b.timers.After(b.trace.reportAge, func(time.Time) {
		b.work.Requests += w.Requests
		b.work.PrefillTokens += w.PrefillTokens
		b.work.DecodeTokens += w.DecodeTokens
	})
}

func (b *bench) arrive(r *virtual.Request, entry int) {
	r.EstimatedOutput = r.OutputTokens
	r.TwoStages = b.needsTwoEngines(r.Class)
	b.result.offered[r.Class]++
	b.entries[entry].Arrive(r)
}

// needsTwoEngines reports whether requests of a class run their prefill and decode stages on two engines. Without mixed
// engines all requests do. With some mixed engines only long requests do.
func (b *bench) needsTwoEngines(class waxwingpick.Class) bool {
	mixed := 0
	for _, n := range b.nodes {
		if n.role == waxwingpick.RoleMixed {
			mixed++
		}
	}
	return mixed == 0 || mixed < len(b.nodes) && class == waxwingpick.ClassLong
}

func (b *bench) ended(o virtual.Outcome) {
	if !o.Complete {
		return
	}
	r := o.Request
	b.result.inTime[r.Class]++
	b.result.points[int(r.Arrival.Sub(time.Unix(0, 0))/controlPeriod)]++
	if r.Class == waxwingpick.ClassQuick && o.FirstToken <= firstTokenObjective {
		b.result.fastFirstTokens++
	}
}

func (b *bench) report(time.Time) {
	for _, s := range b.sidecars {
		load := s.Load()
		load.AgeMillis = b.trace.reportAge.Milliseconds()
		id := s.Engine().Spec().ID
		b.timers.After(b.trace.reportAge, func(time.Time) {
			for _, e := range b.entries {
				e.Observe(id, load)
			}
		})
	}
}

func (b *bench) decide(now time.Time) {
	b.mix.Observe(now, b.work)
	b.work = policy.Work{}
	if !b.mix.Ready() {
		return
	}
	spec := engineSpec("", "")
	demand := b.mix.Demand(drainTime+spec.RoleChangeTime, engineRates(spec))
	for _, c := range b.control(now, b.engines(), demand) {
		b.change(now, c)
	}
}

// engineRates returns the token rates of an engine that only prefills and of one that only decodes.
func engineRates(spec virtual.EngineSpec) policy.Rates {
	step := spec.StepBase.Seconds()
	prefill := step + float64(spec.PrefillStepTokens)/spec.PrefillTokensPerSecond
	decode := step + float64(spec.Slots)*spec.StepPerSequence.Seconds()
	return policy.Rates{
		PrefillTokensPerSecond: float64(spec.PrefillStepTokens) / prefill,
		DecodeTokensPerSecond:  float64(spec.Slots) / decode,
	}
}

func (b *bench) engines() []policy.Engine {
	engines := make([]policy.Engine, 0, len(b.nodes))
	for i, n := range b.nodes {
		s := b.sidecars[i]
		load := s.Load()
		engines = append(engines, policy.Engine{
			Target:  s.Engine().Spec().ID,
			Zone:    s.Engine().Spec().Zone,
			Role:    n.role,
			Ready:   !n.changing,
			Leaving: n.leaving,
			Running: load.Running + load.Queued,
			Slots:   load.Slots,
		})
	}
	return engines
}

func (b *bench) change(now time.Time, c policy.Change) {
	for i, s := range b.sidecars {
		if s.Engine().Spec().ID != c.Target {
			continue
		}
		n := b.nodes[i]
		n.role = c.To
		n.changing = true
		n.since = now
		b.result.changes++
		s.ChangeRole(c.To, func(done time.Time) {
			n.changing = false
			b.result.lostSeconds += done.Sub(n.since).Seconds()
			b.timers.After(rolePropagation, b.publishRoles)
		})
	}
	b.timers.After(rolePropagation, b.publishRoles)
}

// withdraw removes the last engine: it drains and does not return.
func (b *bench) withdraw(time.Time) {
	last := len(b.nodes) - 1
	b.nodes[last].leaving = true
	b.sidecars[last].Drain()
	b.timers.After(rolePropagation, b.publishRoles)
}

// publishRoles publishes the engines' roles to the entries.
func (b *bench) publishRoles(now time.Time) {
	infos := virtual.Targets(b.sidecars)
	for i, n := range b.nodes {
		infos[i].Role = n.role
		infos[i].Leaving = n.leaving || n.changing
	}
	for _, r := range b.routers {
		r.SetTargets(now, infos)
	}
}
