package ledger_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick/core/ledger"
)

// stepsPerOrder is the number of steps of an order without faults: choose, claim, check, send, admit, start, finish.
const stepsPerOrder = 7

// tableFault is a fault that is injected at one step of an order.
type tableFault struct {
	name   string
	inject func(sim *simulation, s *submission)
}

func tableFaults() []tableFault {
	faults := []tableFault{
		newFault("entry killed", func(sim *simulation, s *submission) { sim.killEntry(s.entry) }),
		newFault("entry paused", func(_ *simulation, s *submission) { s.paused = true }),
		newFault("sidecar killed", func(sim *simulation, _ *submission) { sim.boot(0) }),
		newFault("sidecar paused", func(sim *simulation, _ *submission) { sim.sidecars[0].paused = true }),
		newFault("key-value outage", func(sim *simulation, _ *submission) { sim.down = true }),
		newFault("reply cut", func(sim *simulation, s *submission) { sim.reply(s, s.action.Attempt, ledger.Response{}, errCut) }),
	}
	for i, name := range []string{"unavailable", "answer lost", "request lost", "write delayed"} {
		faults = append(faults, stepFault(ledger.ActWrite, "claim "+name, i+1))
	}
	for i, name := range []string{"unreachable", "request cut", "sent twice", "cut behind it"} {
		faults = append(faults, stepFault(ledger.ActRun, "attempt "+name, i+1))
	}
	for i, name := range []string{"crash behind the run", "refused in the queue", "crash before the run", "unreachable"} {
		faults = append(faults, newFault("target "+name, func(sim *simulation, _ *submission) { sim.work(sim.sidecars[0], i+1) }))
	}
	return faults
}

func stepFault(kind ledger.ActionKind, name string, fault int) tableFault {
	return newFault(name, func(sim *simulation, s *submission) {
		if s.action.Kind == kind {
			sim.step(s, fault)
		}
	})
}

func newFault(name string, inject func(sim *simulation, s *submission)) tableFault {
	return tableFault{
		name:   name,
		inject: inject,
	}
}

// advance takes one step of an order.
func (sim *simulation) advance(s *submission) {
	side := sim.sidecars[0]
	switch {
	case s.paused:
	case !s.inFlight:
		waits := s.action.Kind == ledger.ActWait
		sim.step(s, 0)
		if waits && !side.paused {
			sim.work(side, 0)
		}
	case side.paused:
	case len(side.messages) > 0:
		sim.deliver(side)
	default:
		sim.work(side, 0)
	}
}

// runWithFaults submits an order and injects faults, submits it again at the other entry while the faults last, and once
// more after they end.
func runWithFaults(strikes map[int][]tableFault) (*simulation, string) {
	sim := newSimulation(variant{}, opaqueKeys())
	first := sim.send(0, 0, 0, submissionDeadline)
	for step := range 3 * stepsPerOrder {
		for _, f := range strikes[step] {
			f.inject(sim, first)
		}
		sim.advance(first)
	}
	second := sim.send(1, 0, 0, submissionDeadline)
	for range 8 * stepsPerOrder {
		sim.advance(second)
	}
	sim.down = false
	first.paused = false
	sim.sidecars[0].paused = false
	sim.settle()
	last := sim.send(1, 0, 0, submissionDeadline)
	sim.settle()
	return sim, fmt.Sprintf("%s, %s, %s; runs %d", first, second, last, len(sim.runs[0]))
}

func TestFaultTable(t *testing.T) {
	var out strings.Builder
	for _, f := range tableFaults() {
		steps := make(map[string][]int)
		for step := range stepsPerOrder {
			sim, row := runWithFaults(map[int][]tableFault{step: {f}})
			require.NoError(t, sim.check())
			steps[row] = append(steps[row], step)
		}
		for _, row := range slices.Sorted(maps.Keys(steps)) {
			fmt.Fprintf(&out, "%-27s | %-40s | steps %v\n", f.name, row, steps[row])
		}
	}
	goldie.New(t).Assert(t, "faults", []byte(out.String()))
}

func TestDoubleFaultsKeepEveryPromise(t *testing.T) {
	faults := tableFaults()
	for _, f := range faults {
		for _, g := range faults {
			for step := range stepsPerOrder * stepsPerOrder {
				strikes := map[int][]tableFault{step / stepsPerOrder: {f}}
				strikes[step%stepsPerOrder] = append(strikes[step%stepsPerOrder], g)
				sim, row := runWithFaults(strikes)
				require.NoError(t, sim.check(), "%s and %s at %d: %s", f.name, g.name, step, row)
			}
		}
	}
}
