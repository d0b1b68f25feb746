package authority_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/executor"
)

// noFaults always makes the first choice, so that there are no faults except those of the test.
type noFaults struct{}

func (noFaults) intn(int) int {
	return 0
}

// newSettledWorld returns a settled fleet and the process beside a target.
func newSettledWorld(t *testing.T, target int, m mutation) (*world, *process) {
	w := newWorld(noFaults{}, m)
	w.heal(settleTimeout, w.unsettledState)
	require.Empty(t, w.unsettledState())
	return w, w.slots[entries+target][0]
}

// runEntries runs the entries until the plan is as desired and the sidecars have received it.
func (w *world) runEntries() {
	for w.planMismatch() != "" {
		w.advance(50 * time.Millisecond)
		for _, slot := range w.slots[:entries] {
			slot[0].runDue()
		}
	}
	for _, slot := range w.slots[entries:] {
		for _, p := range slot {
			w.slots[0][0].readRecords()
			p.exchangeWith(w.slots[0][0])
			p.readResponse()
		}
	}
}

// stages runs n stages of one process, advancing time while it waits, and reports whether it has settled.
func (p *process) stages(n int) (settled bool) {
	for waited := 0; n > 0 && waited < 1000; {
		if waiting := p.stage(); !waiting {
			n--
			waited = 0
			continue
		}
		if p.isSettled() {
			return true
		}
		waited++
		p.world.advance(50 * time.Millisecond)
	}
	return p.isSettled()
}

// isSettled reports whether the engine has completed the plan's order and is in service.
func (p *process) isSettled() bool {
	status := p.executor.Status()
	t, _ := p.world.oracle.plan.Target(p.engine.target).Get()
	return status.Settled && status.Desired == t.Order && !p.draining
}

func TestSidecarSurvivesAFaultAtEveryStage(t *testing.T) {
	faults := []struct {
		name string
		act  func(w *world, p *process)
	}{
		{name: "a kill of the process", act: func(w *world, p *process) {
			p.kill()
			w.startProcess(p.slot)
		}},
		{name: "a second process", act: func(w *world, p *process) {
			w.startProcess(p.slot)
			w.slots[p.slot][1].stages(150)
			p.stages(50)
		}},
		{name: "a pause past the lease", act: func(w *world, p *process) {
			w.startProcess(p.slot)
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
		{name: "expiry of its lease", act: func(w *world, p *process) {
			w.kv.ExpireKey(executor.Key(p.engine.target))
		}},
		{name: "an outage of the service", act: func(w *world, p *process) {
			w.kv.SetDown(true)
			p.stages(40)
			w.kv.SetDown(false)
		}},
		{name: "an unresponsive engine", act: func(_ *world, p *process) {
			p.engine.unreachable = true
			for range 40 {
				p.run(2 * maxStagesAtOnce)
				p.world.advance(50 * time.Millisecond)
			}
			p.engine.unreachable = false
		}},
		{name: "a newer order while the engine is unresponsive", act: func(w *world, p *process) {
			p.engine.unreachable = true
			w.desiredVersion++
			w.runEntries()
			for range 20 {
				p.run(2 * maxStagesAtOnce)
				p.world.advance(50 * time.Millisecond)
			}
			p.engine.unreachable = false
		}},
		{name: "a newer order", act: func(w *world, _ *process) {
			w.desiredVersion++
			w.runEntries()
		}},
	}
	for _, fault := range faults {
		for target := range 2 {
			t.Run(fmt.Sprintf("%s on target %d", fault.name, target), func(t *testing.T) {
				t.Parallel()
				stages := 0
				for settled := false; !settled; stages++ {
					w, p := newSettledWorld(t, target, unmutated)
					w.desiredVersion++
					w.runEntries()
					settled = p.stages(stages)
					fault.act(w, p)
					w.heal(settleTimeout, w.unsettledState)
					require.Empty(t, w.unsettledState(), "after %d stages", stages)
					require.NoError(t, w.oracle.violation, "after %d stages", stages)
					require.Less(t, stages, 500)
				}
				t.Logf("%d stages", stages)
			})
		}
	}
}

// TestSuccessorWaitsForItsPredecessor starts a second process with a newer order at every stage of the first one, with and
// without expiry of the first one's lease. The first process continues after the second one's order.
func TestSuccessorWaitsForItsPredecessor(t *testing.T) {
	const stages = 60
	cases := []struct {
		name   string
		mutant mutation
		expire bool
	}{
		{name: "the lease is valid", mutant: skipPredecessorWait},
		{name: "the lease has expired without notice", mutant: expiredIsReleased, expire: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			detected := 0
			for n := range stages {
				require.NoError(t, startSuccessor(t, unmutated, n, c.expire), "after %d stages", n)
				if err := startSuccessor(t, c.mutant, n, c.expire); err != nil {
					require.ErrorContains(t, err, "target-1 took order")
					detected++
				}
			}
			require.Positive(t, detected, "the oracle detected no successor that does not wait")
			t.Logf("a successor that does not wait is detected at %d of %d stages", detected, stages)
		})
	}
}

// startSuccessor makes a second process send a newer order after n stages of the first one, and returns the violation.
func startSuccessor(t *testing.T, m mutation, n int, expire bool) error {
	w, p := newSettledWorld(t, 1, m)
	w.desiredVersion++
	w.runEntries()
	p.stages(n)
	if expire {
		w.kv.ExpireKey(executor.Key(p.engine.target))
	}
	w.desiredVersion++
	w.runEntries()
	w.startProcess(p.slot)
	before := w.oracle.executedOrders[p.engine.checksFencing]
	for range 1000 {
		if w.oracle.executedOrders[p.engine.checksFencing] > before {
			break
		}
		w.slots[p.slot][1].stages(1)
	}
	p.stages(50)
	return w.oracle.violation
}

func TestDrainedEngineServesThroughAnOutage(t *testing.T) {
	w, p := newSettledWorld(t, 1, unmutated)
	w.desiredVersion++
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
	// The engine stays in service during the outage, however long, because no order can be sent.
	for range 20_000 {
		p.stage()
		w.advance(50 * time.Millisecond)
		require.False(t, p.draining)
	}
	w.heal(settleTimeout, w.unsettledState)
	require.Empty(t, w.unsettledState())
}

func TestExecutorSendsNothingToEngineWithNewerOrder(t *testing.T) {
	_, p := newSettledWorld(t, 0, unmutated)
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

// TestOrderCostsFewCalls bounds the key-value calls of one order, as counted by the service.
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
			w, p := newSettledWorld(t, c.target, unmutated)
			w.desiredVersion++
			w.runEntries()
			before := w.view
			w.view = w.kv.Client()
			w.view.SetPartitioned(true)
			w.kv.ResetCalls()
			for !p.isSettled() {
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
