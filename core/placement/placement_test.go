package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/routetable"
)

var start = time.Unix(1000, 0)

func traits() routetable.Engines {
	return routetable.Engines{
		MemoryTokens:       400_000,
		TokenBytes:         35_000,
		LinkBytesPerSecond: 25e9,
	}
}

func engineTarget(id string, role waxwingpick.Role) waxwingpick.Target {
	return waxwingpick.Target{
		ID:     waxwingpick.TargetID(id),
		Zone:   "here",
		Slots:  32,
		Role:   role,
		Models: []string{"m"},
	}
}

func fleetOf(targets ...waxwingpick.Target) *Fleet {
	f := New("here")
	f.SetTargets(targets, traits())
	return f
}

func demand(shared string, tokens int) Demand {
	prompt := waxwingpick.Prompt{
		Model: "m",
		Parts: []waxwingpick.PromptPart{
			{
				ID:     shared,
				Tokens: tokens,
			},
			{
				ID:     "own",
				Tokens: 100,
			},
		},
		Tokens:    tokens + 100,
		MaxOutput: 100,
	}
	return Demand{
		Prompt:   prompt,
		Parts:    PartsOf(prompt),
		Deadline: start.Add(4 * time.Second),
	}
}

func TestShortPromptsStayOnOneEngine(t *testing.T) {
	f := fleetOf(engineTarget("p", waxwingpick.RolePrefill), engineTarget("d", waxwingpick.RoleDecode))
	c, verdict := f.Choose(start, demand("a", 200))
	require.Equal(t, waxwingpick.VerdictPlaced, verdict)
	require.EqualValues(t, "d", c.Run.ID)
	_, split := c.Prefill.Get()
	require.False(t, split)
}

func TestLongPromptsAreReadApart(t *testing.T) {
	f := fleetOf(engineTarget("p", waxwingpick.RolePrefill), engineTarget("d", waxwingpick.RoleDecode))
	c, verdict := f.Choose(start, demand("a", 20_000))
	require.Equal(t, waxwingpick.VerdictPlaced, verdict)
	prefiller, split := c.Prefill.Get()
	require.True(t, split)
	require.EqualValues(t, "p", prefiller.ID)
	require.EqualValues(t, "d", c.Run.ID)
}

func TestEngineThatKeepsTheBeginningIsChosen(t *testing.T) {
	f := fleetOf(engineTarget("d1", waxwingpick.RoleDecode), engineTarget("d2", waxwingpick.RoleDecode))
	stage := f.Begin(start, "d2", demand("a", 20_000), false)
	stage.PrefillDone(start.Add(time.Second))
	stage.End(start.Add(2 * time.Second))
	c, _ := f.Choose(start.Add(3*time.Second), demand("a", 20_000))
	require.EqualValues(t, "d2", c.Run.ID)
	require.Equal(t, 20_100, c.HeldTokens)
	other := demand("b", 20_000)
	c, _ = f.Choose(start.Add(3*time.Second), other)
	require.Zero(t, c.HeldTokens)
}

func TestWorkAheadSendsTheNextRequestElsewhere(t *testing.T) {
	f := fleetOf(engineTarget("d1", waxwingpick.RoleDecode), engineTarget("d2", waxwingpick.RoleDecode))
	f.Begin(start, "d1", demand("a", 20_000), false)
	c, _ := f.Choose(start, demand("b", 200))
	require.EqualValues(t, "d2", c.Run.ID)
}

func TestNearEngineIsChosenUnlessItIsBusier(t *testing.T) {
	near, far := engineTarget("near", waxwingpick.RoleDecode), engineTarget("far", waxwingpick.RoleDecode)
	far.Zone = "there"
	f := fleetOf(far, near)
	for i := range 5 {
		stage := f.Begin(start, "near", demand("a", 10), false)
		stage.PrefillDone(start)
		c, _ := f.Choose(start, demand("a", 10))
		require.EqualValues(t, "near", c.Run.ID, "%d running", i)
	}
	f.Begin(start, "near", demand("b", 20_000), false)
	c, _ := f.Choose(start, demand("a", 10))
	require.EqualValues(t, "far", c.Run.ID)
}

func TestWorkOfOtherProcessesCounts(t *testing.T) {
	one := fleetOf(engineTarget("d1", waxwingpick.RoleDecode), engineTarget("d2", waxwingpick.RoleDecode))
	two := fleetOf(engineTarget("d1", waxwingpick.RoleDecode), engineTarget("d2", waxwingpick.RoleDecode))
	one.Begin(start, "d1", demand("a", 20_000), false)
	two.Observe(start, "one", one.Summary(start))
	c, _ := two.Choose(start, demand("b", 200))
	require.EqualValues(t, "d2", c.Run.ID)
	// d1 now caches the prompt, and its reported work expires without further summaries.
	c, _ = two.Choose(start.Add(summaryTTL+time.Millisecond), demand("a", 20_000))
	require.EqualValues(t, "d1", c.Run.ID)
}

func TestReadsAreSentInTwoSummaries(t *testing.T) {
	f := fleetOf(engineTarget("d1", waxwingpick.RoleDecode))
	f.Begin(start, "d1", demand("a", 1000), false)
	for range readRepeats {
		require.Len(t, f.Summary(start).Reads, 1)
	}
	require.Empty(t, f.Summary(start).Reads)
}

func TestLeavingTriedAndWrongModelAreLeftOut(t *testing.T) {
	leaving := engineTarget("leaving", waxwingpick.RoleDecode)
	leaving.Leaving = true
	foreign := engineTarget("foreign", waxwingpick.RoleDecode)
	foreign.Models = []string{"n"}
	f := fleetOf(leaving, foreign, engineTarget("tried", waxwingpick.RoleDecode), engineTarget("p", waxwingpick.RolePrefill))
	d := demand("a", 200)
	d.Exclude = []waxwingpick.TargetID{"tried"}
	_, verdict := f.Choose(start, d)
	require.Equal(t, waxwingpick.VerdictNone, verdict)
	_, ok := f.ChooseRun(start, d, engineTarget("p", waxwingpick.RolePrefill))
	require.False(t, ok)
}

func TestRequestThatWouldBeLateIsRefused(t *testing.T) {
	f := fleetOf(engineTarget("d", waxwingpick.RoleDecode))
	for range 20 {
		f.Begin(start, "d", demand("a", 20_000), false)
		f.engines["d"].cache = newCache(0)
	}
	_, verdict := f.Choose(start, demand("b", 200))
	require.Equal(t, waxwingpick.VerdictLate, verdict)
}

func TestNewIncarnationOfATargetHasAnEmptyCache(t *testing.T) {
	f := fleetOf(engineTarget("d", waxwingpick.RoleDecode))
	f.Begin(start, "d", demand("a", 1000), false).End(start)
	again := engineTarget("d", waxwingpick.RoleDecode)
	again.StartUnixMillis = 7
	f.SetTargets([]waxwingpick.Target{again}, traits())
	c, _ := f.Choose(start, demand("a", 1000))
	require.Zero(t, c.HeldTokens)
}

func TestStagesOfARemovedTargetEndWithoutEffect(t *testing.T) {
	f := fleetOf(engineTarget("d", waxwingpick.RoleDecode))
	stage := f.Begin(start, "gone", demand("a", 1000), false)
	stage.PrefillDone(start)
	stage.End(start)
	stage.End(start)
	require.Empty(t, f.Summary(start).Engines)
}

func TestPaceSeparatesTheBaseFromTheWork(t *testing.T) {
	p := pace{
		factor: 1,
		base:   initialBase,
	}
	for range 200 {
		p.observe(5*time.Millisecond, 95*time.Millisecond)
		p.observe(300*time.Millisecond, 690*time.Millisecond)
	}
	require.InDelta(t, 2.0, p.factor, 0.05)
	require.InDelta(t, 85, p.base.Milliseconds(), 6)
}

func TestCacheDropsTheLeastRecentlyUsed(t *testing.T) {
	part := func(keys ...uint64) Parts {
		p := Parts{
			keys: keys,
		}
		sizes := map[uint64]int{1: 60, 2: 30, 3: 40, 4: 10}
		for _, k := range keys {
			p.tokens = append(p.tokens, sizes[k])
		}
		return p
	}
	c := newCache(100)
	c.use(start, part(1))
	c.use(start, part(2))
	c.use(start, part(1))
	c.use(start, part(3))
	require.Equal(t, 60, c.held(part(1)))
	require.Zero(t, c.held(part(2)))
	// A segment is useless without those before it.
	require.Zero(t, c.held(part(4, 1)))
	require.Equal(t, 100, c.used)
}

func TestNegativeSizesCountNothing(t *testing.T) {
	p := PartsOf(waxwingpick.Prompt{
		Parts: []waxwingpick.PromptPart{{
			ID:     "a",
			Tokens: -5,
		}},
		Tokens: 100,
	})
	require.Equal(t, []int{0}, p.tokens)
}

func TestPartsAreNoLargerThanTheirPrompt(t *testing.T) {
	p := PartsOf(waxwingpick.Prompt{
		Parts: []waxwingpick.PromptPart{
			{
				ID:     "a",
				Tokens: 60,
			},
			{
				ID:     "b",
				Tokens: math.MaxInt,
			},
		},
		Tokens: 100,
	})
	require.Equal(t, []int{60, 40}, p.tokens)
}

func TestReportedLoadIsClamped(t *testing.T) {
	for name, reported := range map[string]EngineLoad{
		"work":     {WorkMillis: math.MaxInt64},
		"running":  {Running: math.MaxInt},
		"overdue":  {OverdueMillis: math.MaxInt64},
		"occupied": {Occupied: []int{math.MaxInt, math.MaxInt}},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleetOf(engineTarget("d", waxwingpick.RoleDecode))
			reported.Engine = KeyOf("d")
			f.Observe(start, "peer", Summary{
				Engines: []EngineLoad{reported},
			})
			c, verdict := f.Choose(start, demand("a", 200))
			require.Equal(t, waxwingpick.VerdictLate, verdict)
			require.Greater(t, c.Predicted, 10*time.Second)
		})
	}
	f := fleetOf(engineTarget("d", waxwingpick.RoleDecode))
	f.Observe(start, "peer", Summary{
		Reads: []CachedPrompt{{
			Engine: KeyOf("d"),
			Keys:   []uint64{1, 2, 3},
			Tokens: []int{math.MaxInt, math.MaxInt, -1},
		}},
	})
	require.Zero(t, f.engines["d"].cache.used)
}

// FuzzChoose checks that an engine with work never looks idle, and that a prompt that takes hours is never placed,
// whatever prompt sizes a caller reports.
func FuzzChoose(f *testing.F) {
	f.Add(1_000, 100, 500, uint8(1))
	f.Add(math.MaxInt, math.MaxInt, math.MaxInt, uint8(200))
	f.Add(1_000_000_000_000_000_000, 3, math.MinInt, uint8(9))
	f.Add(maxTokens, maxTokens, -1, uint8(255))
	f.Fuzz(func(t *testing.T, tokens, part, output int, times uint8) {
		prompt := waxwingpick.Prompt{
			Model: "m",
			Parts: []waxwingpick.PromptPart{
				{
					ID:     "shared",
					Tokens: part,
				},
				{
					ID:     "own",
					Tokens: part,
				},
			},
			Tokens:    tokens,
			MaxOutput: output,
		}
		d := Demand{
			Prompt:   prompt,
			Parts:    PartsOf(prompt),
			Deadline: start.Add(4 * time.Second),
		}
		engines := fleetOf(engineTarget("d", waxwingpick.RoleDecode), engineTarget("p", waxwingpick.RolePrefill))
		first, verdict := engines.Choose(start, d)
		require.GreaterOrEqual(t, first.Predicted, time.Duration(0))
		if tokens > 1_000_000 {
			require.Equal(t, waxwingpick.VerdictLate, verdict)
		}
		if verdict != waxwingpick.VerdictPlaced {
			return
		}
		for range times {
			engines.Begin(start, "d", d, false)
			engines.Begin(start, "p", d, false)
		}
		second, _ := engines.Choose(start, d)
		require.GreaterOrEqual(t, second.QueuedWork, first.QueuedWork)
		require.GreaterOrEqual(t, second.Predicted, time.Duration(0))
		require.GreaterOrEqual(t, second.cost, time.Duration(0))
	})
}

func TestEngineThatTakesNoConnectionIsLeftOut(t *testing.T) {
	f := fleetOf(engineTarget("d1", waxwingpick.RoleDecode), engineTarget("d2", waxwingpick.RoleDecode), engineTarget("p", waxwingpick.RolePrefill))
	f.Begin(start, "d1", demand("a", 200), false).Unreachable(start)
	// The other engine is busier and caches less.
	f.Begin(start, "d2", demand("b", 8000), false)
	c, verdict := f.Choose(start, demand("a", 200))
	require.Equal(t, waxwingpick.VerdictPlaced, verdict)
	require.EqualValues(t, "d2", c.Run.ID)
	f.Begin(start, "p", demand("c", 200), false).Unreachable(start)
	c, _ = f.Choose(start, demand("d", 20_000))
	_, split := c.Prefill.Get()
	require.False(t, split)
}

func TestEnginesThatAllTakeNoConnectionAreTriedNevertheless(t *testing.T) {
	f := fleetOf(engineTarget("d1", waxwingpick.RoleDecode), engineTarget("d2", waxwingpick.RoleDecode))
	f.Begin(start, "d1", demand("a", 200), false).Unreachable(start)
	f.Begin(start, "d2", demand("a", 200), false).Unreachable(start)
	_, verdict := f.Choose(start, demand("b", 200))
	require.Equal(t, waxwingpick.VerdictPlaced, verdict)
}

// TestFullMemorySendsPromptsElsewhere fills an engine's memory with running requests of one priority.
func TestFullMemorySendsPromptsElsewhere(t *testing.T) {
	near, far := engineTarget("near", waxwingpick.RoleDecode), engineTarget("far", waxwingpick.RoleDecode)
	far.Zone = "there"
	one, two := fleetOf(near, far), fleetOf(near, far)
	for i := range 19 {
		d := demand(fmt.Sprint("a", i), 20_000)
		d.Priority = 1
		one.Begin(start, "near", d, true).PrefillDone(start)
	}
	two.Observe(start, "one", one.Summary(start))
	for _, f := range []*Fleet{one, two} {
		c, verdict := f.Choose(start, demand("c", 200))
		require.Equal(t, waxwingpick.VerdictPlaced, verdict)
		require.EqualValues(t, "near", c.Run.ID)
		// A prompt that shares most of its tokens with a running one needs little more memory, but only this process knows.
		c, _ = f.Choose(start, demand("a0", 20_000))
		require.EqualValues(t, "near", c.Run.ID)
	}
	d := demand("b", 20_000)
	d.Priority = 1
	one.Begin(start, "near", d, true).PrefillDone(start)
	two.Observe(start, "one", one.Summary(start))
	for _, f := range []*Fleet{one, two} {
		d := demand("c", 30_000)
		d.Priority = 1
		c, verdict := f.Choose(start, d)
		require.Equal(t, waxwingpick.VerdictPlaced, verdict)
		require.EqualValues(t, "far", c.Run.ID)
	}
}

func TestMemoryCountsSharedPartsOnce(t *testing.T) {
	m := newMemory()
	a, b := demand("shared", 1000).Parts, demand("shared", 1000).Parts
	b.keys[1]++
	m.take(a, 3)
	require.Equal(t, 100, m.need(b))
	m.take(b, 4)
	require.Equal(t, 1100, m.used[3])
	require.Equal(t, 100, m.used[4])
	m.drop(a)
	require.Equal(t, 1000, m.used[3], "the shared part is still used")
	m.drop(b)
	m.drop(b)
	require.Zero(t, m.used)
	require.Empty(t, m.parts)
	m.take(a, 99)
	m.drop(a)
	require.Zero(t, m.used)
}

// TestSilentEngineIsAvoided makes a request wait at an engine for longer than predicted.
func TestSilentEngineIsAvoided(t *testing.T) {
	one := fleetOf(engineTarget("d1", waxwingpick.RoleDecode), engineTarget("d2", waxwingpick.RoleDecode))
	two := fleetOf(engineTarget("d1", waxwingpick.RoleDecode), engineTarget("d2", waxwingpick.RoleDecode))
	lost := one.Begin(start, "d1", demand("a", 200), false)
	later := start.Add(500 * time.Millisecond)
	two.Observe(later, "one", one.Summary(later))
	for _, f := range []*Fleet{one, two} {
		c, verdict := f.Choose(later, demand("a", 200))
		require.Equal(t, waxwingpick.VerdictPlaced, verdict)
		require.EqualValues(t, "d2", c.Run.ID)
	}
	// The first event of a later request shows that only a single response was lost.
	one.Begin(later, "d1", demand("b", 200), false).PrefillDone(later.Add(100 * time.Millisecond))
	later = later.Add(200 * time.Millisecond)
	c, _ := one.Choose(later, demand("a", 200))
	require.EqualValues(t, "d1", c.Run.ID)
	lost.End(later)
}

func TestLongReadingsAreKeptFromEnginesThatGenerate(t *testing.T) {
	f := fleetOf(engineTarget("p", waxwingpick.RolePrefill), engineTarget("d", waxwingpick.RoleDecode))
	for range 3 {
		f.Begin(start, "p", demand("a", 20_000), false)
		f.engines["p"].cache = newCache(0)
	}
	// Waiting for three long prefills takes longer than a prefill on the other engine, which would delay all requests
	// there.
	long := demand("b", 20_000)
	long.Deadline = start.Add(10 * time.Second)
	c, verdict := f.Choose(start, long)
	require.Equal(t, waxwingpick.VerdictPlaced, verdict)
	_, split := c.Prefill.Get()
	require.True(t, split)
	c, _ = f.Choose(start, demand("b", 2000))
	_, split = c.Prefill.Get()
	require.False(t, split)
}

func TestLargeRequestsStayInTheirZoneForLonger(t *testing.T) {
	near, far := engineTarget("near", waxwingpick.RoleDecode), engineTarget("far", waxwingpick.RoleDecode)
	far.Zone = "there"
	f := fleetOf(far, near)
	f.Begin(start, "near", demand("a", 1000), false)
	d := demand("b", 10)
	c, _ := f.Choose(start, d)
	require.EqualValues(t, "far", c.Run.ID)
	d.Bytes = 40_000
	c, _ = f.Choose(start, d)
	require.EqualValues(t, "near", c.Run.ID)
}

func TestSmallPartsAreNotReported(t *testing.T) {
	f := fleetOf(engineTarget("d", waxwingpick.RoleDecode))
	f.Begin(start, "d", demand("a", minReportTokens-1), false)
	require.Empty(t, f.Summary(start).Reads)
	f.Begin(start, "d", demand("a", minReportTokens), false)
	reads := f.Summary(start).Reads
	require.Len(t, reads, 1)
	require.Equal(t, []int{minReportTokens}, reads[0].Tokens)
}

// TestDigestsCarryLoadBetweenZones follows load and a cached prompt from one zone to another through a digest.
func TestDigestsCarryLoadBetweenZones(t *testing.T) {
	near, far := engineTarget("near", waxwingpick.RoleDecode), engineTarget("far", waxwingpick.RoleDecode)
	here := func() *Fleet { return fleetOf(near, far) }
	one, two, there := here(), here(), New("there")
	there.SetTargets([]waxwingpick.Target{near, far}, traits())
	d := demand("shared", 8000)
	one.Begin(start, "near", d, false)
	two.Begin(start, "near", demand("other", 8000), false)
	two.Observe(start, "one", one.Summary(start))

	at := start.Add(100 * time.Millisecond)
	digest := two.Digest(start)
	require.Len(t, digest.Engines, 1)
	require.Equal(t, 2, digest.Engines[0].Running)
	require.Len(t, digest.Reads, 2)
	there.ObserveZone(at, "zone", 100*time.Millisecond, digest)
	reported := there.engines["near"].load(at)
	require.Equal(t, 2, reported.running)
	require.Less(t, reported.work, two.engines["near"].load(start).work, "part of the reported work has been done since")
	require.Equal(t, 8000, there.engines["near"].cache.held(d.Parts))
	require.Equal(t, []time.Duration{100 * time.Millisecond}, there.engines["near"].ages(at))

	// A digest of the same zone from another process replaces the first one. Older digests are ignored.
	there.ObserveZone(at, "zone", 50*time.Millisecond, two.Digest(start))
	require.Equal(t, 2, there.engines["near"].load(at).running)
	there.ObserveZone(at, "zone", time.Second, Summary{})
	require.Equal(t, 2, there.engines["near"].load(at).running)
	there.ObserveZone(at, "there", 0, digest)
	require.Equal(t, 2, there.engines["near"].load(at).running, "digests of the local zone are ignored")

	// Digests exclude the load of other zones and report each prefill once.
	require.Empty(t, there.Digest(at).Engines)
	require.Empty(t, two.Digest(at).Reads)
	two.Observe(at, "one", one.Summary(at))
	require.Empty(t, two.Digest(at).Reads, "a repeated report of a prefill enters the digest once")
}

func TestZonesAreBounded(t *testing.T) {
	f := fleetOf(engineTarget("e", waxwingpick.RoleDecode))
	for i := range 2 * maxZones {
		f.ObserveZone(start, waxwingpick.AvailabilityZone(fmt.Sprint(i)), 0, Summary{})
	}
	require.Len(t, f.zones, maxZones)
}

func TestBlockedEnginesGetNoStage(t *testing.T) {
	prefill := engineTarget("p", waxwingpick.RolePrefill)
	f := fleetOf(engineTarget("d", waxwingpick.RoleDecode), engineTarget("e", waxwingpick.RoleDecode), prefill)
	d := demand("a", 20_000)
	choice, verdict := f.Choose(start, d)
	require.Equal(t, waxwingpick.VerdictPlaced, verdict)
	require.Equal(t, prefill, choice.Prefill.OrElse(waxwingpick.Target{}))
	d.Blocked = waxwingpick.NewSet[waxwingpick.TargetID]("p", "d")
	choice, verdict = f.Choose(start, d)
	require.Equal(t, waxwingpick.VerdictPlaced, verdict)
	require.EqualValues(t, "e", choice.Run.ID)
	_, split := choice.Prefill.Get()
	require.False(t, split)
	run, ok := f.ChooseRun(start, d, prefill)
	require.True(t, ok)
	require.EqualValues(t, "e", run.ID)
	d.Blocked.Add("e")
	_, verdict = f.Choose(start, d)
	require.Equal(t, waxwingpick.VerdictNone, verdict)
}
