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

// lifeSteps is the number of steps of an order that nothing disturbs: choose, claim, check, send, admit, start, finish.
const lifeSteps = 7

// tableFault strikes at one step of an order's life.
type tableFault struct {
	name   string
	strike func(w *world, s *sending)
}

func tableFaults() []tableFault {
	faults := []tableFault{
		newFault("entry killed", func(w *world, s *sending) { w.killEntry(s.entry) }),
		newFault("entry paused", func(_ *world, s *sending) { s.paused = true }),
		newFault("sidecar killed", func(w *world, _ *sending) { w.boot(0) }),
		newFault("sidecar paused", func(w *world, _ *sending) { w.sidecars[0].paused = true }),
		newFault("key-value outage", func(w *world, _ *sending) { w.down = true }),
		newFault("reply cut", func(w *world, s *sending) { w.reply(s, s.action.Attempt, ledger.Answer{}, errCut) }),
	}
	for i, name := range []string{"unavailable", "answer lost", "request lost", "write delayed"} {
		faults = append(faults, stepFault(ledger.ActWrite, "claim "+name, i+1))
	}
	for i, name := range []string{"unreachable", "request cut", "sent twice", "cut behind it"} {
		faults = append(faults, stepFault(ledger.ActRun, "attempt "+name, i+1))
	}
	for i, name := range []string{"crash behind the run", "refused in the queue", "crash before the run", "unreachable"} {
		faults = append(faults, newFault("target "+name, func(w *world, _ *sending) { w.work(w.sidecars[0], i+1) }))
	}
	return faults
}

func stepFault(kind ledger.ActionKind, name string, fault int) tableFault {
	return newFault(name, func(w *world, s *sending) {
		if s.action.Kind == kind {
			w.step(s, fault)
		}
	})
}

func newFault(name string, strike func(w *world, s *sending)) tableFault {
	return tableFault{
		name:   name,
		strike: strike,
	}
}

// advance takes one step of an order's life.
func (w *world) advance(s *sending) {
	side := w.sidecars[0]
	switch {
	case s.paused:
	case !s.inFlight:
		waits := s.action.Kind == ledger.ActWait
		w.step(s, 0)
		if waits && !side.paused {
			w.work(side, 0)
		}
	case side.paused:
	case len(side.messages) > 0:
		w.deliver(side)
	default:
		w.work(side, 0)
	}
}

// lifeWithFaults sends an order, strikes it, sends it again at the other entry while the faults last, and once more when they are over.
func lifeWithFaults(strikes map[int][]tableFault) (*world, string) {
	w := newWorld(variant{}, opaqueKeys())
	first := w.send(0, 0, 0, lifeDeadline)
	for step := range 3 * lifeSteps {
		for _, f := range strikes[step] {
			f.strike(w, first)
		}
		w.advance(first)
	}
	second := w.send(1, 0, 0, lifeDeadline)
	for range 8 * lifeSteps {
		w.advance(second)
	}
	w.down = false
	first.paused = false
	w.sidecars[0].paused = false
	w.settle()
	last := w.send(1, 0, 0, lifeDeadline)
	w.settle()
	return w, fmt.Sprintf("%s, %s, %s; runs %d", first, second, last, len(w.runs[0]))
}

func TestFaultTable(t *testing.T) {
	var out strings.Builder
	for _, f := range tableFaults() {
		steps := make(map[string][]int)
		for step := range lifeSteps {
			w, row := lifeWithFaults(map[int][]tableFault{step: {f}})
			require.NoError(t, w.check())
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
			for step := range lifeSteps * lifeSteps {
				strikes := map[int][]tableFault{step / lifeSteps: {f}}
				strikes[step%lifeSteps] = append(strikes[step%lifeSteps], g)
				w, row := lifeWithFaults(strikes)
				require.NoError(t, w.check(), "%s and %s at %d: %s", f.name, g.name, step, row)
			}
		}
	}
}
