package authority_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/executor"
)

// quiet makes the first choice everywhere: no faults but those that a test brings about.
type quiet struct{}

func (quiet) intn(int) int {
	return 0
}

// settledWorld returns a fleet at rest, and the newest process beside a target.
func settledWorld(t *testing.T, target int, m mutation) (*world, *process) {
	w := newWorld(quiet{}, m)
	w.heal(settleWithin, w.unsettled)
	require.Empty(t, w.unsettled())
	return w, w.slots[entries+target][0]
}

// runEntries lets the entries go on until the plan is as wanted and the sidecars have heard of it.
func (w *world) runEntries() {
	for w.unplanned() != "" {
		w.advance(50 * time.Millisecond)
		for _, slot := range w.slots[:entries] {
			slot[0].tick()
		}
	}
	for _, slot := range w.slots[entries:] {
		for _, p := range slot {
			w.slots[0][0].readRecords()
			p.converse(w.slots[0][0])
			p.hear()
		}
	}
}

// stages moves one process on by n stages, over the time that it waits for, and reports whether it came to rest.
func (p *process) stages(n int) (rest bool) {
	for waited := 0; n > 0 && waited < 1000; {
		if waits := p.stage(); !waits {
			n--
			waited = 0
			continue
		}
		if p.atRest() {
			return true
		}
		waited++
		p.world.advance(50 * time.Millisecond)
	}
	return p.atRest()
}

// atRest reports whether the engine has done the plan's order and serves.
func (p *process) atRest() bool {
	status := p.executor.Status()
	t, _ := p.world.oracle.plan.Target(p.engine.target).Get()
	return status.Settled && status.Wanted == t.Order && !p.draining
}

func TestSidecarSurvivesAFaultAtEveryStage(t *testing.T) {
	faults := []struct {
		name string
		act  func(w *world, p *process)
	}{
		{name: "its own kill", act: func(w *world, p *process) {
			p.kill()
			w.spawn(p.slot)
		}},
		{name: "a twin", act: func(w *world, p *process) {
			w.spawn(p.slot)
			w.slots[p.slot][1].stages(150)
			p.stages(50)
		}},
		{name: "a pause past the lease", act: func(w *world, p *process) {
			w.spawn(p.slot)
			w.slots[p.slot][1].stages(600)
			w.advance(time.Minute)
			p.stages(50)
		}},
		{name: "a crash of the engine", act: func(_ *world, p *process) {
			p.engine.crash()
		}},
		{name: "a failed order", act: func(_ *world, p *process) {
			p.engine.fail()
		}},
		{name: "a lapse of its lease", act: func(w *world, p *process) {
			w.kv.LapseKey(executor.Key(p.engine.target))
		}},
		{name: "an outage of the service", act: func(w *world, p *process) {
			w.kv.SetDown(true)
			p.stages(40)
			w.kv.SetDown(false)
		}},
		{name: "an engine that does not answer", act: func(_ *world, p *process) {
			p.engine.unreachable = true
			for range 40 {
				p.run(2 * maxStagesAtOnce)
				p.world.advance(50 * time.Millisecond)
			}
			p.engine.unreachable = false
		}},
		{name: "a newer order while the engine tells nothing", act: func(w *world, p *process) {
			p.engine.unreachable = true
			w.wanted++
			w.runEntries()
			for range 20 {
				p.run(2 * maxStagesAtOnce)
				p.world.advance(50 * time.Millisecond)
			}
			p.engine.unreachable = false
		}},
		{name: "a newer order", act: func(w *world, _ *process) {
			w.wanted++
			w.runEntries()
		}},
	}
	for _, fault := range faults {
		for target := range 2 {
			t.Run(fmt.Sprintf("%s on target %d", fault.name, target), func(t *testing.T) {
				t.Parallel()
				stages := 0
				for rest := false; !rest; stages++ {
					w, p := settledWorld(t, target, faithful)
					w.wanted++
					w.runEntries()
					rest = p.stages(stages)
					fault.act(w, p)
					w.heal(settleWithin, w.unsettled)
					require.Empty(t, w.unsettled(), "after %d stages", stages)
					require.NoError(t, w.oracle.broken, "after %d stages", stages)
					require.Less(t, stages, 500)
				}
				t.Logf("%d stages", stages)
			})
		}
	}
}

// TestSuccessorWaitsForItsPredecessor starts a second process with a newer order at every stage of the first one,
// with and without a lapse of the first one's lease, and lets the first one go on after the second one's order.
func TestSuccessorWaitsForItsPredecessor(t *testing.T) {
	const stages = 60
	cases := []struct {
		name   string
		mutant mutation
		lapse  bool
	}{
		{name: "the lease is still there", mutant: impatient},
		{name: "the lease lapsed unseen", mutant: hasty, lapse: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seen := 0
			for n := range stages {
				require.NoError(t, overtake(t, faithful, n, c.lapse), "after %d stages", n)
				if err := overtake(t, c.mutant, n, c.lapse); err != nil {
					require.ErrorContains(t, err, "target-1 took order")
					seen++
				}
			}
			require.Positive(t, seen, "the oracle saw no successor that does not wait")
			t.Logf("a successor that does not wait is seen at %d of %d stages", seen, stages)
		})
	}
}

// overtake lets a second process give a newer order after n stages of the first one.
func overtake(t *testing.T, m mutation, n int, lapse bool) error {
	w, p := settledWorld(t, 1, m)
	w.wanted++
	w.runEntries()
	p.stages(n)
	if lapse {
		w.kv.LapseKey(executor.Key(p.engine.target))
	}
	w.wanted++
	w.runEntries()
	w.spawn(p.slot)
	before := w.oracle.taken[p.engine.checks]
	for range 1000 {
		if w.oracle.taken[p.engine.checks] > before {
			break
		}
		w.slots[p.slot][1].stages(1)
	}
	p.stages(50)
	return w.oracle.broken
}

func TestDrainedEngineServesThroughAnOutage(t *testing.T) {
	w, p := settledWorld(t, 1, faithful)
	w.wanted++
	w.runEntries()
	for !p.draining {
		p.stage()
		w.advance(10 * time.Millisecond)
	}
	w.kv.SetDown(true)
	for p.draining {
		p.stage()
		w.advance(50 * time.Millisecond)
	}
	// The engine stays in service however long the outage lasts, as no order could be sent.
	for range 20_000 {
		p.stage()
		w.advance(50 * time.Millisecond)
		require.False(t, p.draining)
	}
	w.heal(settleWithin, w.unsettled)
	require.Empty(t, w.unsettled())
}

func TestExecutorDoesNotActAgainstAnEngineThatIsAhead(t *testing.T) {
	_, p := settledWorld(t, 0, faithful)
	p.engine.order.Number += 1000
	before := p.engine.order
	for range 1000 {
		p.stage()
		p.world.advance(50 * time.Millisecond)
	}
	require.ErrorIs(t, p.executor.Status().Failure, executor.ErrEngineAhead)
	require.Equal(t, before, p.engine.order)
	require.False(t, p.draining)
	require.Equal(t, waxwingpick.OrderDone, p.engine.phase)
}

// TestOrderCostsFewCalls bounds the calls of the key-value service for one order, as the service counts each.
func TestOrderCostsFewCalls(t *testing.T) {
	cases := []struct {
		name          string
		target        int
		reads, writes int64
	}{
		{name: "engine that checks fencing numbers", target: 0, reads: 1},
		{name: "engine that ignores them", target: 1, reads: 3, writes: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, p := settledWorld(t, c.target, faithful)
			w.wanted++
			w.runEntries()
			before := w.view
			w.view = w.kv.Client()
			w.view.SetCut(true)
			w.kv.ResetCalls()
			for !p.atRest() {
				p.stages(1)
			}
			w.view = before
			var reads, writes int64
			for _, kind := range waxwingpick.KeyValueCalls() {
				if kind.Writes() {
					writes += w.kv.Calls(kind)
				} else {
					reads += w.kv.Calls(kind)
				}
			}
			require.LessOrEqual(t, reads, c.reads)
			require.LessOrEqual(t, writes, c.writes)
			t.Logf("%d reads, %d writes", reads, writes)
		})
	}
}
