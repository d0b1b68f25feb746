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
	// rolesSpread is how long entries take to hear of a role.
	rolesSpread = 500 * time.Millisecond
	// settleTime is how long requests may still end after the last arrival.
	settleTime = 2 * time.Minute
	// promptFirstToken is the time to the first token that 95 in 100 quick requests should keep.
	promptFirstToken = 890 * time.Millisecond
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
	// chunk bounds the prompt tokens of a mixed engine's step.
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

// node is what is known of one engine's role.
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
	// prompt counts quick requests in time whose first token came within promptFirstToken.
	prompt  int
	changes int
	// lost is the engine-seconds from the start of a drain until the new role serves.
	lost float64
	// points counts answers in time by controlPeriod buckets of arrival.
	points []int
}

// goodput returns the answers in time per second.
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
	pick := rand.New(rand.NewPCG(b.seed, 2))
	arrivals := rand.New(rand.NewPCG(b.seed, 1))
	virtual.StartLoad(b.timers, arrivals, b.fleet.mix(b.trace, b.load, b.quick, b.length), b.length, func(r *virtual.Request) {
		b.arrive(r, pick.IntN(len(b.entries)))
	})
	b.timers.Every(loadPeriod, b.report)
	if b.control != nil {
		b.timers.Every(controlPeriod, b.decide)
	}
	if b.trace.withdraws {
		b.timers.After(b.length/2, b.withdraw)
	}
	b.timers.Advance(b.length + settleTime)
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
	b.spread(b.timers.Now())
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
	spec.Role = b.policy.rest
	if i < b.policy.prefill {
		spec.Role = waxwingpick.RolePrefill
	}
	gate, err := admission.New(admission.Slots(spec.Slots), admission.Memory(spec.Pieces, virtual.BlockTokens))
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
	counted := &counting{
		Routed: virtual.NewRouted(r),
		bench:  b,
	}
	e := virtual.NewEntry(b.timers, zone, counted, retries, b.sidecars)
	e.Ended = b.ended
	b.routers = append(b.routers, r)
	b.entries = append(b.entries, e)
	return nil
}

// counting counts the work of requests when they are first sent.
type counting struct {
	*virtual.Routed
	bench *bench
}

// Choose passes the choice on.
func (c *counting) Choose(now time.Time, r *virtual.Request, leg virtual.Leg, tried []waxwingpick.TargetID) (virtual.Pick, bool) {
	p, ok := c.Routed.Choose(now, r, leg, tried)
	if ok && leg != virtual.LegDecode && len(tried) == 0 {
		c.bench.count(policy.Work{
			Requests:      1,
			PrefillTokens: float64(max(0, r.PromptTokens-p.Cached)),
			DecodeTokens:  float64(r.EstimatedOutput),
		})
	}
	return p, ok
}

// count reports work as late as the trace says.
func (b *bench) count(w policy.Work) {
	b.timers.After(b.trace.late, func(time.Time) {
		b.work.Requests += w.Requests
		b.work.PrefillTokens += w.PrefillTokens
		b.work.DecodeTokens += w.DecodeTokens
	})
}

func (b *bench) arrive(r *virtual.Request, entry int) {
	r.EstimatedOutput = r.OutputTokens
	r.TwoLegs = b.twoLegs(r.Class)
	b.result.offered[r.Class]++
	b.entries[entry].Arrive(r)
}

// twoLegs reports whether a request runs on two engines: all do where no engine is mixed, else the long ones where some
// engine has another role.
func (b *bench) twoLegs(class waxwingpick.Class) bool {
	mixed := 0
	for _, n := range b.nodes {
		if n.role == waxwingpick.RoleMixed {
			mixed++
		}
	}
	return mixed == 0 || mixed < len(b.nodes) && class == waxwingpick.ClassLong
}

func (b *bench) ended(o virtual.Outcome) {
	if !o.Whole {
		return
	}
	r := o.Request
	b.result.inTime[r.Class]++
	b.result.points[int(r.Arrival.Sub(time.Unix(0, 0))/controlPeriod)]++
	if r.Class == waxwingpick.ClassQuick && o.FirstToken <= promptFirstToken {
		b.result.prompt++
	}
}

func (b *bench) report(time.Time) {
	for _, s := range b.sidecars {
		load := s.Load()
		load.AgeMillis = b.trace.late.Milliseconds()
		id := s.Engine().Spec().ID
		b.timers.After(b.trace.late, func(time.Time) {
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

// engineRates returns the rates of an engine that has one role only.
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
			b.result.lost += done.Sub(n.since).Seconds()
			b.timers.After(rolesSpread, b.spread)
		})
	}
	b.timers.After(rolesSpread, b.spread)
}

// withdraw takes the last engine out: it drains and stays away.
func (b *bench) withdraw(time.Time) {
	last := len(b.nodes) - 1
	b.nodes[last].leaving = true
	b.sidecars[last].Drain()
	b.timers.After(rolesSpread, b.spread)
}

// spread tells the entries the engines' roles.
func (b *bench) spread(now time.Time) {
	infos := virtual.Targets(b.sidecars)
	for i, n := range b.nodes {
		infos[i].Role = n.role
		infos[i].Leaving = n.leaving || n.changing
	}
	for _, r := range b.routers {
		r.SetTargets(now, infos)
	}
}
