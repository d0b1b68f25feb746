package placement

import (
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/routetable"
)

// Demand is a model request that looks for engines.
type Demand struct {
	Prompt waxwingpick.Prompt
	// Parts are those of Prompt.
	Parts    Parts
	Priority int
	// Bytes is the size of the request.
	Bytes int
	// Deadline is when the first event is of no use any more.
	Deadline time.Time
	// Exclude holds the engines that were tried before.
	Exclude []waxwingpick.TargetID
}

// Choice names the engines of a request.
type Choice struct {
	// Run generates; Prefill reads the prompt before it, where present.
	Run     waxwingpick.Target
	Prefill waxwingpick.Option[waxwingpick.Target]
	// Ahead is the prompt work that the request waits for, Predicted the time to its first event, HeldTokens what the
	// reading engine is thought to keep of the prompt.
	Ahead      time.Duration
	Predicted  time.Duration
	HeldTokens int
	// Ages are how old what was told of the load at Run is, for each that told some.
	Ages []time.Duration
	// cost is Predicted with the time that the reading takes from requests that come later.
	cost time.Duration
}

// Fleet places requests on the engines of one service; it is not safe for concurrent use.
type Fleet struct {
	zone    waxwingpick.AvailabilityZone
	traits  routetable.Engines
	engines map[waxwingpick.TargetID]*engine
	order   []waxwingpick.TargetID
	// keys finds engines by what summaries name them.
	keys    map[EngineKey]*engine
	prefill pace
	decode  pace
	reads   []told
	// zoneReads are the reads of the whole zone that no digest has told, zones when the known digests of others were made.
	zoneReads []Read
	zones     map[waxwingpick.AvailabilityZone]time.Time
	// resides is how long requests occupy memory at engines that generate.
	resides residence
	// readings is how often the reading of a prompt counts in its cost.
	readings int
	// copies says that engines copy KV cache from each other.
	copies bool
}

// costReadings is how often the reading of a prompt counts in its cost: once until its first event, and once more since in
// a burst it delays what comes after it as long. A longer wait where a part of the prompt is kept then goes before a
// second reading of it elsewhere.
const costReadings = 2

// aheadGrowth is how many times the known work ahead a request may have to wait for in a burst: more urgent requests that
// come later are admitted before it, and other gateways choose the same engine before they hear of this choice.
const aheadGrowth = 3

// New returns a fleet as seen from an availability zone.
func New(zone waxwingpick.AvailabilityZone) *Fleet {
	return &Fleet{
		zone:     zone,
		engines:  make(map[waxwingpick.TargetID]*engine),
		zones:    make(map[waxwingpick.AvailabilityZone]time.Time),
		readings: costReadings,
		copies:   true,
		resides: residence{
			mean: firstResidence,
		},
		prefill: pace{
			factor: 1,
			base:   firstBase,
		},
		decode: pace{
			factor: decodeSlowdown,
			base:   firstBase,
		},
	}
}

// SetTargets takes the newest list of the service's engines.
func (f *Fleet) SetTargets(targets []waxwingpick.Target, traits routetable.Engines) {
	f.traits = traits
	f.order = f.order[:0]
	known := make(map[waxwingpick.TargetID]*engine, len(targets))
	f.keys = make(map[EngineKey]*engine, len(targets))
	for _, t := range targets {
		e, ok := f.engines[t.ID]
		if !ok || e.target.Born != t.Born {
			e = newEngine(traits.MemoryTokens)
		}
		e.target = t
		known[t.ID] = e
		f.keys[KeyOf(t.ID)] = e
		f.order = append(f.order, t.ID)
	}
	f.engines = known
}

// HandleLife returns how long an engine keeps KV cache that another one is to fetch; zero where that is not known.
func (f *Fleet) HandleLife() time.Duration {
	return f.traits.HandleLife
}

func (f *Fleet) paceOf(r waxwingpick.Role) *pace {
	if r == waxwingpick.RolePrefill {
		return &f.prefill
	}
	return &f.decode
}

// option is one way to serve a request.
type option struct {
	engine *engine
	held   int
	load   load
	// wait is the work ahead, silence the wait for an engine that gives no sign of life, read the reading of the prompt.
	wait    time.Duration
	silence time.Duration
	read    time.Duration
	// room is the wait for memory behind requests that are at least as urgent, roomAll that behind all.
	room    time.Duration
	roomAll time.Duration
	// farBytes is what sending the request's bytes to an engine of another availability zone costs.
	farBytes time.Duration
	// cost is the wait with the reading as often as it counts, and more at an engine of another availability zone.
	cost time.Duration
}

// options returns the ways to have a request run, and the best one to have its prompt read apart. Engines that give no
// answers are left out unless no other one runs requests.
func (f *Fleet) options(now time.Time, d Demand) (runners []option, reader waxwingpick.Option[option]) {
	for _, all := range []bool{false, true} {
		for _, id := range f.order {
			e := f.engines[id]
			if !f.usable(e, d) || !all && e.answers.Out(now) {
				continue
			}
			o := f.option(now, e, d)
			best, some := reader.Get()
			switch {
			case e.target.Role != waxwingpick.RolePrefill:
				runners = append(runners, o)
			case !some || o.cost < best.cost:
				reader = waxwingpick.Some(o)
			}
		}
		if len(runners) > 0 {
			return runners, reader
		}
		reader = waxwingpick.None[option]()
	}
	return nil, reader
}

// Choose picks the engines with the earliest first event.
func (f *Fleet) Choose(now time.Time, d Demand) (Choice, waxwingpick.Verdict) {
	runners, reader := f.options(now, d)
	if len(runners) == 0 {
		return Choice{}, waxwingpick.VerdictNone
	}
	choice := f.whole(runners)
	if o, ok := reader.Get(); ok {
		if split := f.split(d, o, runners); split.cost < choice.cost {
			choice = split
		}
	}
	choice.Ages = f.engines[choice.Run.ID].ages(now)
	if now.Add(choice.Predicted + (aheadGrowth-1)*choice.Ahead).After(d.Deadline) {
		return choice, waxwingpick.VerdictLate
	}
	return choice, waxwingpick.VerdictPlaced
}

// ChooseRun picks the engine that fetches the KV cache which another one holds, and generates.
func (f *Fleet) ChooseRun(now time.Time, d Demand, reader waxwingpick.Target) (waxwingpick.Target, bool) {
	from := option{
		engine: &engine{
			target: reader,
		},
	}
	runners, _ := f.options(now, d)
	if len(runners) == 0 {
		return waxwingpick.Target{}, false
	}
	return f.split(d, from, runners).Run, true
}

// whole picks the engine that reads the prompt and generates.
func (f *Fleet) whole(runners []option) Choice {
	best := Choice{}
	for i, o := range runners {
		cost := o.cost + o.roomAll + o.crowding()
		if i == 0 || cost < best.cost {
			best = Choice{
				Run:        o.engine.target,
				Ahead:      o.wait,
				Predicted:  o.wait + o.silence + o.read + o.room + o.crowding(),
				HeldTokens: o.held,
				cost:       cost,
			}
		}
	}
	return best
}

// split picks the engine that fetches the KV cache from the one that reads the prompt, and generates.
func (f *Fleet) split(d Demand, reader option, runners []option) Choice {
	best := Choice{}
	for i, o := range runners {
		rest := splitCost + f.transferTime(d.Parts.prompt-o.held, reader.engine.target, o.engine.target) + o.wait + o.silence + o.crowding()
		cost := reader.cost + o.roomAll + o.farBytes + rest
		if i == 0 || cost < best.cost {
			best = Choice{
				Run:        o.engine.target,
				Prefill:    waxwingpick.Some(reader.engine.target),
				Ahead:      reader.wait,
				Predicted:  reader.wait + reader.silence + reader.read + o.room + rest,
				HeldTokens: reader.held,
				cost:       cost,
			}
		}
	}
	return best
}

const (
	// splitCost is the time that a second leg takes besides its transfer: a sending and the set-up of the transfer. It
	// also keeps prompts from moving where that gains nothing, since moved memory has a price.
	splitCost = 30 * time.Millisecond
	// farCost keeps requests in their availability zone where an engine of another one would answer hardly sooner: bytes
	// between zones have a price, and gateways of different zones then choose the same engine less often.
	farCost = 30 * time.Millisecond
	// farByteCost is farCost's share of each byte of a request; a large one is worth a wait of a tenth of a second.
	farByteCost = 2500 * time.Nanosecond
)

func (f *Fleet) usable(e *engine, d Demand) bool {
	if e.target.Leaving {
		return false
	}
	if slices.Contains(d.Exclude, e.target.ID) {
		return false
	}
	return d.Prompt.Model == "" || len(e.target.Models) == 0 || slices.Contains(e.target.Models, d.Prompt.Model)
}

func (f *Fleet) option(now time.Time, e *engine, d Demand) option {
	held := e.cache.held(d.Parts)
	all := e.load(now)
	p := f.paceOf(e.target.Role)
	far, farBytes := time.Duration(0), time.Duration(0)
	if e.target.Zone != f.zone {
		far, farBytes = farCost, time.Duration(d.Bytes)*farByteCost
	}
	need := e.memory.need(d.Parts)
	wait, read := p.scale(all.work), p.base+p.scale(readTime(d.Parts.prompt, held))
	return option{
		engine:   e,
		held:     held,
		load:     all,
		wait:     wait,
		read:     read,
		room:     f.resides.wait(all.upTo(d.Priority), need, f.traits.MemoryTokens),
		roomAll:  f.resides.wait(all.upTo(priorities-1), need, f.traits.MemoryTokens),
		silence:  all.overdue,
		farBytes: farBytes,
		cost:     wait + all.overdue + time.Duration(f.readings)*read + f.stall(e, read) + far + farBytes,
	}
}

// resided notes how long a request occupied memory at an engine that generates.
func (f *Fleet) resided(l *Leg, now time.Time) {
	if !l.read || l.engine.target.Role == waxwingpick.RolePrefill || f.traits.MemoryTokens <= 0 {
		return
	}
	tokens := 0
	for _, n := range l.parts.tokens {
		tokens += n
	}
	f.resides.observe(now.Sub(l.begun), float64(tokens)/float64(f.traits.MemoryTokens))
}

// stallScale is the reading at an engine that generates which costs as much again as it takes: the requests that come to the
// engine meanwhile wait for it, and the longer it takes the more they are and the longer they wait. The optimum is flat
// between 0.25 and 0.4 s.
const stallScale = 400 * time.Millisecond

// stall is what a reading costs the other requests of an engine that generates.
func (f *Fleet) stall(e *engine, read time.Duration) time.Duration {
	if e.target.Role == waxwingpick.RolePrefill {
		return 0
	}
	return time.Duration(float64(read) * float64(read) / float64(stallScale))
}

// crowding is what the requests that generate at an engine add to each of its steps.
func (o option) crowding() time.Duration {
	over := max(0, o.load.running-o.engine.target.Slots)
	return time.Duration(o.load.running)*runningTime + time.Duration(over)*overfullTime
}

const (
	// runningTime is what one more running request adds to the first event of the next.
	runningTime = time.Millisecond
	// overfullTime is the wait for a slot behind one more request than an engine has slots.
	overfullTime = 50 * time.Millisecond
)
