package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/ejection"
)

// rule is a configuration of placement that a replay compares.
type rule struct {
	name          string
	shared        bool
	prefillWeight int
	copies        bool
}

// tally counts the outcomes of a replay's requests.
type tally struct {
	requests int
	onTime   int
	late     int
	refused  int
	// readAgain is the number of shared prompt tokens that were computed again although an engine had computed them
	// before.
	readAgain int
}

func (t tally) String() string {
	return fmt.Sprintf("%d requests, %d within objective, %d late, %d refused, %d tokens recomputed", t.requests, t.onTime, t.late, t.refused, t.readAgain)
}

// arrival is a request with the time objective of its first event.
type arrival struct {
	Demand
	objective time.Time
}

// step is a scheduled event of a replay.
type step struct {
	at time.Time
	do func(now time.Time)
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }

func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// replay simulates engines that compute one prompt after the other, and gateways that place requests on them.
type replay struct {
	r        *rand.Rand
	steps    steps
	gateways []*Fleet
	free     map[waxwingpick.TargetID]time.Time
	cached   map[waxwingpick.TargetID]*cache
	seen     map[uint64]bool
	tally    tally
}

const (
	replayGateways  = 5
	replayDocuments = 165
	replayLength    = 34 * time.Second
	replayFlip      = 2800 * time.Millisecond
	replayRunTime   = 600 * time.Millisecond
)

func newReplay(r rule) *replay {
	w := &replay{
		r:      rand.New(rand.NewPCG(7, 7)),
		free:   make(map[waxwingpick.TargetID]time.Time),
		cached: make(map[waxwingpick.TargetID]*cache),
		seen:   make(map[uint64]bool),
	}
	var targets []waxwingpick.Target
	for i := range 18 {
		role := waxwingpick.RoleDecode
		if i%3 == 0 {
			role = waxwingpick.RolePrefill
		}
		t := engineTarget(fmt.Sprint("e", i), role)
		targets = append(targets, t)
		w.cached[t.ID] = newCache(traits().MemoryTokens)
	}
	for range replayGateways {
		f := fleetOf(targets...)
		f.prefillWeight = r.prefillWeight
		f.copies = r.copies
		w.gateways = append(w.gateways, f)
	}
	return w
}

func (w *replay) at(t time.Time, do func(now time.Time)) {
	heap.Push(&w.steps, step{
		at: t,
		do: do,
	})
}

// run replays arrivals whose mix alternates between long prompts with shared prefixes and short ones.
func (w *replay) run(r rule) tally {
	end := start.Add(replayLength)
	for t := start; t.Before(end); t = t.Add(time.Duration(w.r.ExpFloat64() * float64(time.Second) / 270)) {
		long := 0.09
		if t.Sub(start)/replayFlip%2 == 1 {
			long = 0.2
		}
		d := w.demand(t, long)
		w.at(t, func(now time.Time) {
			w.arrive(now, d)
		})
	}
	if r.shared {
		for t := start; t.Before(end); t = t.Add(40 * time.Millisecond) {
			w.at(t, w.publish)
		}
	}
	w.drain()
	return w.tally
}

// drain runs all scheduled events.
func (w *replay) drain() {
	for len(w.steps) > 0 {
		s := heap.Pop(&w.steps).(step)
		s.do(s.at)
	}
}

func (w *replay) demand(t time.Time, long float64) arrival {
	d := demand(fmt.Sprint("quick", w.r.IntN(8)), 60)
	objective := 400 * time.Millisecond
	if w.r.Float64() < long {
		document := w.r.IntN(replayDocuments)
		// The size of a shared segment is fixed, so that all requests for it agree.
		d = demand(fmt.Sprint("long", document), 6000+document*90)
		objective = 800 * time.Millisecond
	}
	own := 100 + int(w.r.ExpFloat64()*float64(d.Prompt.Parts[0].Tokens)/4)
	d.Prompt.Parts[1] = waxwingpick.PromptPart{
		ID:     fmt.Sprint(w.r.Uint64()),
		Tokens: own,
	}
	d.Prompt.Tokens = d.Prompt.Parts[0].Tokens + own
	d.Parts = PartsOf(d.Prompt)
	d.Deadline = t.Add(4 * objective)
	return arrival{
		Demand:    d,
		objective: t.Add(objective),
	}
}

func (w *replay) arrive(now time.Time, d arrival) {
	w.tally.requests++
	f := w.gateways[w.r.IntN(len(w.gateways))]
	c, verdict := f.Choose(now, d.Demand)
	if verdict != waxwingpick.VerdictPlaced {
		w.tally.refused++
		return
	}
	prefiller, split := c.Prefill.Get()
	if !split {
		prefiller = c.Run
	}
	stage := f.Begin(now, prefiller.ID, d.Demand, false)
	w.at(w.read(now, prefiller, d.Demand, stage.CopySource()), func(now time.Time) {
		stage.PrefillDone(now)
		first := now
		if split {
			stage.End(now)
			run, _ := f.ChooseRun(now, d.Demand, prefiller)
			stage = f.Begin(now, run.ID, d.Demand, true)
			stage.PrefillDone(now)
			w.cached[run.ID].use(start, d.Parts)
			first = now.Add(20 * time.Millisecond)
		}
		w.count(first, d)
		w.at(first.Add(replayRunTime), stage.End)
	})
}

// read returns when an engine will have computed a prompt.
func (w *replay) read(now time.Time, t waxwingpick.Target, d Demand, from waxwingpick.Option[waxwingpick.Target]) time.Time {
	held := w.cached[t.ID].held(d.Parts)
	copied := time.Duration(0)
	if other, ok := from.Get(); ok {
		if cached := w.cached[other.ID].held(d.Parts); cached > held {
			copied = milliseconds(float64(cached-held) * float64(traits().TokenBytes) / traits().LinkBytesPerSecond * 1000)
			held = cached
		}
	}
	if held == 0 && w.seen[d.Parts.keys[0]] {
		w.tally.readAgain += d.Parts.tokens[0]
	}
	w.seen[d.Parts.keys[0]] = true
	w.cached[t.ID].use(start, d.Parts)
	took := prefillTime(d.Prompt.Tokens, held)
	if t.Role != waxwingpick.RolePrefill {
		took = time.Duration(decodeSlowdown * float64(took))
	}
	took += copied
	begin := w.free[t.ID]
	if begin.Before(now) {
		begin = now
	}
	w.free[t.ID] = begin.Add(took)
	return begin.Add(took + initialBase)
}

func (w *replay) count(first time.Time, d arrival) {
	switch {
	case !first.After(d.objective):
		w.tally.onTime++
	case !first.After(d.Deadline):
		w.tally.late++
	}
}

func (w *replay) publish(now time.Time) {
	for i, f := range w.gateways {
		s := f.Summary(now)
		for j, other := range w.gateways {
			if i != j {
				other.Observe(now, waxwingpick.InstanceID(fmt.Sprint("g", i)), s)
			}
		}
	}
}

// TestReplayOfAFlippingMix replays the same arrivals under each rule.
func TestReplayOfAFlippingMix(t *testing.T) {
	results := make(map[string]tally)
	for _, r := range []rule{
		{
			name:          "alone",
			prefillWeight: 1,
		},
		{
			name:          "shared",
			shared:        true,
			prefillWeight: 1,
		},
		{
			name:          "sharedReadingTwice",
			shared:        true,
			prefillWeight: defaultPrefillWeight,
		},
		{
			name:          "copies",
			shared:        true,
			prefillWeight: defaultPrefillWeight,
			copies:        true,
		},
	} {
		results[r.name] = newReplay(r).run(r)
		t.Logf("%s: %s", r.name, results[r.name])
	}
	require.Greater(t, results["shared"].onTime, results["alone"].onTime)
	require.Greater(t, results["sharedReadingTwice"].onTime, results["shared"].onTime)
	require.Less(t, results["sharedReadingTwice"].readAgain, results["shared"].readAgain)
	require.Greater(t, results["copies"].onTime, results["sharedReadingTwice"].onTime)
	require.Less(t, results["copies"].readAgain, results["sharedReadingTwice"].readAgain)
}

// TestReplayOfCrashedEngines crashes a quarter of the engines while the platform's list still has them, so that they
// refuse connections at once. The naive rule retries once on another engine. With ejection, engines that refuse
// connections are avoided, and attempts that reached no engine are not counted.
func TestReplayOfCrashedEngines(t *testing.T) {
	play := func(ejects bool, tries int) (failed int) {
		r := rand.New(rand.NewPCG(5, 5))
		var targets []waxwingpick.Target
		for i := range 12 {
			targets = append(targets, engineTarget(fmt.Sprint("e", i), waxwingpick.RoleDecode))
		}
		var gateways []*Fleet
		for range replayGateways {
			gateways = append(gateways, fleetOf(targets...))
		}
		w := replay{
			r: r,
		}
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / 200)) {
			w.at(now, func(now time.Time) {
				f := gateways[r.IntN(len(gateways))]
				d := demand(fmt.Sprint("quick", r.IntN(8)), 60)
				d.Deadline = now.Add(time.Second)
				for range tries {
					c, verdict := f.Choose(now, d)
					if verdict != waxwingpick.VerdictPlaced {
						break
					}
					stage := f.Begin(now, c.Run.ID, d, false)
					if c.Run.ID != "e0" && c.Run.ID != "e1" && c.Run.ID != "e2" {
						w.at(now.Add(100*time.Millisecond), func(now time.Time) { stage.PrefillDone(now) })
						w.at(now.Add(700*time.Millisecond), stage.End)
						return
					}
					if ejects {
						stage.Unreachable(now)
					}
					stage.End(now)
					d.Exclude = append(d.Exclude, c.Run.ID)
				}
				failed++
			})
		}
		for len(w.steps) > 0 {
			s := heap.Pop(&w.steps).(step)
			s.do(s.at)
		}
		return failed
	}
	naive, free := play(false, 2), play(true, 6)
	t.Logf("failed: naive %d, ejection and uncounted attempts %d", naive, free)
	require.Greater(t, naive, 100)
	require.Zero(t, free)
}

// TestReplayOfAMemoryBurst sends a burst of prompts of very different lengths to engines that have memory for about
// twenty at once. A request that finds no free memory waits until others have ended.
func TestReplayOfAMemoryBurst(t *testing.T) {
	const runTime = 1500 * time.Millisecond
	play := func(counted bool) (late int) {
		r := rand.New(rand.NewPCG(3, 3))
		var targets []waxwingpick.Target
		for i := range 6 {
			targets = append(targets, engineTarget(fmt.Sprint("e", i), waxwingpick.RoleDecode))
		}
		f := fleetOf(targets...)
		if !counted {
			f.memoryResidence.mean = 0
		}
		prefill := engineTarget("p", waxwingpick.RolePrefill)
		w := replay{
			r: r,
		}
		used := make(map[waxwingpick.TargetID]int)
		queues := make(map[waxwingpick.TargetID][]func(time.Time) bool)
		admit := func(now time.Time, id waxwingpick.TargetID) {
			for len(queues[id]) > 0 && queues[id][0](now) {
				queues[id] = queues[id][1:]
			}
		}
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / 85)) {
			w.at(now, func(now time.Time) {
				d := demand(fmt.Sprint("thing", r.IntN(4)), 1000)
				d.Prompt.Parts[1].ID = fmt.Sprint(r.Uint64())
				d.Prompt.Parts[1].Tokens = 1000 + int(r.ExpFloat64()*14_000)
				d.Prompt.Tokens = 1000 + d.Prompt.Parts[1].Tokens
				d.Parts = PartsOf(d.Prompt)
				run, ok := f.ChooseRun(now, d, prefill)
				require.True(t, ok)
				stage := f.Begin(now, run.ID, d, true)
				arrivedAt := now
				queues[run.ID] = append(queues[run.ID], func(now time.Time) bool {
					if used[run.ID]+d.Prompt.Tokens > traits().MemoryTokens {
						return false
					}
					used[run.ID] += d.Prompt.Tokens
					stage.PrefillDone(now)
					if now.Sub(arrivedAt) > 400*time.Millisecond {
						late++
					}
					w.at(now.Add(runTime), func(now time.Time) {
						used[run.ID] -= d.Prompt.Tokens
						if counted {
							stage.End(now)
						} else {
							mean := f.memoryResidence.mean
							stage.End(now)
							f.memoryResidence.mean = mean
						}
						admit(now, run.ID)
					})
					return true
				})
				admit(now, run.ID)
			})
		}
		for len(w.steps) > 0 {
			s := heap.Pop(&w.steps).(step)
			s.do(s.at)
		}
		return late
	}
	blind, counting := play(false), play(true)
	t.Logf("late: by running requests alone %d, by memory too %d", blind, counting)
	require.Greater(t, blind, counting)
}

// TestReplayOfEnginesThatFailAtOnce has a quarter of the engines fail nearly half of their requests at once, which leaves them idle, and then
// recover. Requests that are not counted go to them for their short queues.
func TestReplayOfEnginesThatFailAtOnce(t *testing.T) {
	const (
		trouble = 5 * time.Second
		length  = 12 * time.Second
		grey    = 3
	)
	play := func(counts bool) (failed, recovered int) {
		r := rand.New(rand.NewPCG(6, 6))
		var targets []waxwingpick.Target
		for i := range 12 {
			targets = append(targets, engineTarget(fmt.Sprint("e", i), waxwingpick.RoleDecode))
		}
		var gateways []*Fleet
		for range replayGateways {
			gateways = append(gateways, fleetOf(targets...))
		}
		w := replay{
			r: r,
		}
		for now := start; now.Before(start.Add(length)); now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / 200)) {
			w.at(now, func(now time.Time) {
				f := gateways[r.IntN(len(gateways))]
				d := demand(fmt.Sprint("session", r.IntN(400)), 60)
				d.Deadline = now.Add(time.Second)
				c, verdict := f.Choose(now, d)
				if verdict != waxwingpick.VerdictPlaced {
					return
				}
				stage := f.Begin(now, c.Run.ID, d, false)
				atGrey := slices.ContainsFunc(targets[:grey], func(t waxwingpick.Target) bool { return t.ID == c.Run.ID })
				if atGrey && now.Before(start.Add(trouble)) && r.Float64() < 0.45 {
					failed++
					if counts {
						stage.Responded(now, ejection.ResponseFailed)
					}
					stage.End(now)
					return
				}
				if atGrey && now.After(start.Add(length-2*time.Second)) {
					recovered++
				}
				w.at(now.Add(100*time.Millisecond), func(now time.Time) { stage.PrefillDone(now) })
				w.at(now.Add(700*time.Millisecond), func(now time.Time) {
					stage.Responded(now, ejection.ResponseServed)
					stage.End(now)
				})
			})
		}
		for len(w.steps) > 0 {
			s := heap.Pop(&w.steps).(step)
			s.do(s.at)
		}
		return failed, recovered
	}
	naive, naiveRecovered := play(false)
	failed, recovered := play(true)
	t.Logf("failed: %d without counting, %d with it; to the recovered engines in two seconds %d and %d", naive, failed, naiveRecovered, recovered)
	require.Less(t, failed, naive/2)
	require.Greater(t, recovered, 50)
}
