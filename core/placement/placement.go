package placement

import (
	"cmp"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/routetable"
)

// Demand is a model request to be placed.
type Demand struct {
	Prompt waxwingpick.Prompt
	// Parts are the segments of Prompt.
	Parts    Parts
	Priority int
	// Bytes is the size of the request.
	Bytes int
	// Deadline is the time after which the first event is useless.
	Deadline time.Time
	// PauseLimit is the longest pause between events with which the response is in time; zero if there is none.
	PauseLimit time.Duration
	// Exclude holds the engines that were already tried.
	Exclude []waxwingpick.TargetID
	// Blocked holds the engines that accept no request now, according to what they state.
	Blocked waxwingpick.Set[waxwingpick.TargetID]
	// Zone is the availability zone whose engines have no cross-zone cost; empty for the local one.
	Zone waxwingpick.AvailabilityZone
}

// Choice is the selection of engines for a request.
type Choice struct {
	// Run generates. Prefill, if present, computes the prompt for it.
	Run     waxwingpick.Target
	Prefill waxwingpick.Option[waxwingpick.Target]
	// QueuedWork is the queued prompt computation that the request waits for, Predicted the predicted time to its first
	// event and HeldTokens the cached prefix on the engine that computes the prompt.
	QueuedWork time.Duration
	Predicted  time.Duration
	HeldTokens int
	// Ages are the ages of the load reports for Run.
	Ages []time.Duration
	// cost is Predicted plus the delay that the prefill causes for later requests.
	cost time.Duration
}

// Fleet places requests on the engines of one service. It is not safe for concurrent use.
type Fleet struct {
	zone    waxwingpick.AvailabilityZone
	traits  routetable.Engines
	engines map[waxwingpick.TargetID]*engine
	order   []waxwingpick.TargetID
	// keys maps the engine keys used in summaries to engines.
	keys    map[EngineKey]*engine
	prefill pace
	decode  pace
	reads   []pendingRead
	// zoneReads are the zone's prefills not yet sent in a digest. zones holds the creation times of other zones' digests.
	zoneReads []CachedPrompt
	zones     map[waxwingpick.AvailabilityZone]time.Time
	// memoryResidence is how long requests occupy memory on engines that generate.
	memoryResidence residence
	pauses          pauses
	// demand is the work of this process's requests.
	demand workMeter
	// prefillWeight is the factor of a request's prefill in its cost.
	prefillWeight int
	// copies enables copying KV cache between engines.
	copies bool
}

// defaultPrefillWeight counts a prefill twice: it delays the first event of the request and, in a burst, later requests
// by the same time. A longer wait for an engine that caches a prefix is thus preferred to computing the prefix again.
const defaultPrefillWeight = 2

// burstWaitFactor is the factor by which the wait of a request can exceed the known work ahead of it in a burst.
// Requests of a higher priority that arrive later are admitted first, and other gateways select the same engine before
// they receive a report of this selection.
const burstWaitFactor = 3

// New returns a Fleet for a process in the given availability zone.
func New(zone waxwingpick.AvailabilityZone) *Fleet {
	return &Fleet{
		zone:          zone,
		engines:       make(map[waxwingpick.TargetID]*engine),
		zones:         make(map[waxwingpick.AvailabilityZone]time.Time),
		prefillWeight: defaultPrefillWeight,
		copies:        true,
		memoryResidence: residence{
			mean: initialResidence,
		},
		pauses: pauses{
			usual: initialPause,
		},
		prefill: pace{
			factor: 1,
			base:   initialBase,
		},
		decode: pace{
			factor: decodeSlowdown,
			base:   initialBase,
		},
	}
}

// SetTargets replaces the list of the service's engines.
func (f *Fleet) SetTargets(targets []waxwingpick.Target, traits routetable.Engines) {
	f.traits = traits
	f.order = f.order[:0]
	current := make(map[waxwingpick.TargetID]*engine, len(targets))
	f.keys = make(map[EngineKey]*engine, len(targets))
	for _, t := range targets {
		e, ok := f.engines[t.ID]
		if !ok || e.target.StartUnixMillis != t.StartUnixMillis {
			e = newEngine(traits.MemoryTokens)
		}
		e.target = t
		current[t.ID] = e
		f.keys[KeyOf(t.ID)] = e
		f.order = append(f.order, t.ID)
	}
	f.engines = current
}

// HandleLifetime returns how long an engine keeps exported KV cache; zero if unknown.
func (f *Fleet) HandleLifetime() time.Duration {
	return f.traits.HandleLifetime
}

func (f *Fleet) paceOf(r waxwingpick.Role) *pace {
	if r == waxwingpick.RolePrefill {
		return &f.prefill
	}
	return &f.decode
}

// candidate is an engine with its predictions for a request.
type candidate struct {
	engine *engine
	held   int
	load   load
	// wait is the work ahead, overdueWait the delay of an unresponsive engine and prefill the computation of the prompt.
	wait        time.Duration
	overdueWait time.Duration
	prefill     time.Duration
	// memoryWait is the wait for memory behind requests of at least the same priority, memoryWaitAll behind all requests.
	memoryWait    time.Duration
	memoryWaitAll time.Duration
	// crossZoneBytes is the cost of sending the request body to another availability zone.
	crossZoneBytes time.Duration
	// streamCost is the cost of generating the stream there, see Fleet.streamCost.
	streamCost time.Duration
	// failureCost is the cost of the failures to expect there.
	failureCost time.Duration
	// cost is the wait plus the weighted prefill, and more for an engine in another availability zone.
	cost time.Duration
}

// candidates returns the engines that can generate and the best engine for a separate prefill. Ejected engines are only
// included if no other engine can generate.
func (f *Fleet) candidates(now time.Time, d Demand) (runners []candidate, prefiller waxwingpick.Option[candidate]) {
	rejected := f.leastRejected(now)
	for _, all := range []bool{false, true} {
		for _, id := range f.order {
			e := f.engines[id]
			if !f.usable(e, d) || !all && e.health.Ejected(now) {
				continue
			}
			o := f.candidate(now, e, d)
			o.failureCost = time.Duration(e.failures.Share(now, rejected) * float64(failedRequestCost))
			o.cost += o.failureCost
			best, some := prefiller.Get()
			switch {
			case e.target.Role != waxwingpick.RolePrefill:
				runners = append(runners, o)
			case !some || o.cost < best.cost:
				prefiller = waxwingpick.Some(o)
			}
		}
		if len(runners) > 0 {
			return runners, prefiller
		}
		prefiller = waxwingpick.None[candidate]()
	}
	return nil, prefiller
}

// failedRequestCost is the wait at another engine that is preferred to a failure.
const failedRequestCost = time.Second

// leastRejected returns the share of rejected requests of the engine that rejects the fewest.
func (f *Fleet) leastRejected(now time.Time) float64 {
	least := 1.0
	for _, e := range f.engines {
		least = min(least, e.failures.Rejected(now))
	}
	return least
}

// Choose selects the engines with the lowest cost and predicts the time to the first event.
func (f *Fleet) Choose(now time.Time, d Demand) (Choice, waxwingpick.Verdict) {
	runners, prefiller := f.candidates(now, d)
	if len(runners) == 0 {
		return Choice{}, waxwingpick.VerdictNone
	}
	choice := f.single(runners)
	if o, ok := prefiller.Get(); ok {
		if split := f.split(d, o, runners); split.cost < choice.cost {
			choice = split
		}
	}
	choice.Ages = f.engines[choice.Run.ID].ages(now)
	if now.Add(choice.Predicted + (burstWaitFactor-1)*choice.QueuedWork).After(d.Deadline) {
		return choice, waxwingpick.VerdictLate
	}
	return choice, waxwingpick.VerdictPlaced
}

// ChooseRun selects the engine that generates after it has fetched the KV cache from prefiller.
func (f *Fleet) ChooseRun(now time.Time, d Demand, prefiller waxwingpick.Target) (waxwingpick.Target, bool) {
	from := candidate{
		engine: &engine{
			target: prefiller,
		},
	}
	runners, _ := f.candidates(now, d)
	if len(runners) == 0 {
		return waxwingpick.Target{}, false
	}
	return f.split(d, from, runners).Run, true
}

// single selects one engine for both the prefill and the generation.
func (f *Fleet) single(runners []candidate) Choice {
	best := Choice{}
	for i, o := range runners {
		cost := o.cost + o.memoryWaitAll + o.batchDelay() + o.streamCost
		if i == 0 || cost < best.cost {
			best = Choice{
				Run:        o.engine.target,
				QueuedWork: o.wait,
				Predicted:  o.wait + o.overdueWait + o.prefill + o.memoryWait + o.batchDelay(),
				HeldTokens: o.held,
				cost:       cost,
			}
		}
	}
	return best
}

// split selects the engine that fetches the KV cache from the prefill engine and generates.
func (f *Fleet) split(d Demand, prefiller candidate, runners []candidate) Choice {
	best := Choice{}
	for i, o := range runners {
		rest := splitCost + f.transferTime(d.Parts.prompt-o.held, prefiller.engine.target, o.engine.target) + o.wait + o.overdueWait + o.batchDelay()
		cost := prefiller.cost + o.memoryWaitAll + o.crossZoneBytes + o.streamCost + o.failureCost + rest
		if i == 0 || cost < best.cost {
			best = Choice{
				Run:        o.engine.target,
				Prefill:    waxwingpick.Some(prefiller.engine.target),
				QueuedWork: prefiller.wait,
				Predicted:  prefiller.wait + prefiller.overdueWait + prefiller.prefill + o.memoryWait + rest,
				HeldTokens: prefiller.held,
				cost:       cost,
			}
		}
	}
	return best
}

const (
	// splitCost is the time that a decode stage takes besides its transfer, for another request and the transfer's setup.
	// It also prevents transfers that gain nothing, since transferred bytes have a price.
	splitCost = 30 * time.Millisecond
	// crossZoneCost keeps requests in their availability zone unless another one responds noticeably sooner. Bytes between
	// zones have a price, and gateways of different zones then select the same engine less often.
	crossZoneCost = 30 * time.Millisecond
	// crossZoneByteCost is added to it for each byte of a request. It makes a wait of 0.1 s acceptable for a large
	// request.
	crossZoneByteCost = 2500 * time.Nanosecond
)

func (f *Fleet) usable(e *engine, d Demand) bool {
	if e.target.Leaving {
		return false
	}
	if slices.Contains(d.Exclude, e.target.ID) || d.Blocked.Has(e.target.ID) {
		return false
	}
	return d.Prompt.Model == "" || len(e.target.Models) == 0 || slices.Contains(e.target.Models, d.Prompt.Model)
}

func (f *Fleet) candidate(now time.Time, e *engine, d Demand) candidate {
	held := e.cache.held(d.Parts)
	all := e.load(now)
	p := f.paceOf(e.target.Role)
	far, crossZoneBytes := time.Duration(0), time.Duration(0)
	if e.target.Zone != cmp.Or(d.Zone, f.zone) {
		far, crossZoneBytes = crossZoneCost, time.Duration(d.Bytes)*crossZoneByteCost
	}
	need := e.memory.need(d.Parts)
	factor := e.speed.Factor(now)
	wait, prefill := p.scale(all.work), p.base+p.scale(prefillTime(d.Parts.prompt, held))
	return candidate{
		engine:         e,
		held:           held,
		load:           all,
		wait:           wait,
		prefill:        prefill,
		memoryWait:     f.memoryResidence.wait(all.upTo(d.Priority), need, f.traits.MemoryTokens),
		memoryWaitAll:  f.memoryResidence.wait(all.upTo(priorities-1), need, f.traits.MemoryTokens),
		overdueWait:    all.overdue,
		crossZoneBytes: crossZoneBytes,
		streamCost:     f.streamCost(e, all, factor, d.PauseLimit),
		cost:           wait + all.overdue + time.Duration(f.prefillWeight)*prefill + f.stallCost(e, prefill) + f.pauseCost(e, all, slowed(prefill-p.base, factor), factor, d.PauseLimit) + far + crossZoneBytes,
	}
}

// slowed returns how long some work takes on a machine with the factor.
func slowed(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// recordResidence records how long a request occupied memory on an engine that generates.
func (f *Fleet) recordResidence(l *Stage, now time.Time) {
	if !l.prefilled || l.engine.target.Role == waxwingpick.RolePrefill || f.traits.MemoryTokens <= 0 {
		return
	}
	tokens := 0
	for _, n := range l.parts.tokens {
		tokens += n
	}
	f.memoryResidence.observe(now.Sub(l.startedAt), float64(tokens)/float64(f.traits.MemoryTokens))
}

// stallScale is the prefill time on a generating engine at which its cost to other requests equals the prefill itself.
// The cost is quadratic: a longer prefill delays more requests, and each of them for longer. The optimum is flat
// between 0.25 and 0.4 s.
const stallScale = 400 * time.Millisecond

// stallCost returns the cost of a prefill to the other requests of an engine that generates.
func (f *Fleet) stallCost(e *engine, prefill time.Duration) time.Duration {
	if e.target.Role == waxwingpick.RolePrefill {
		return 0
	}
	return time.Duration(float64(prefill) * float64(prefill) / float64(stallScale))
}

// batchDelay returns the delay that running requests add to the first event of the next one.
func (o candidate) batchDelay() time.Duration {
	over := max(0, o.load.running-o.engine.target.Slots)
	return time.Duration(o.load.running)*runningRequestDelay + time.Duration(over)*queuedRequestDelay
}

const (
	// runningRequestDelay is the delay of the next first event per running request.
	runningRequestDelay = time.Millisecond
	// queuedRequestDelay is the wait for a slot per request beyond the number of slots.
	queuedRequestDelay = 50 * time.Millisecond
)
