package ledger_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/internal/rapidtest"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 3000)
}

func opaqueKeys() [simulatedKeys]ledger.Key {
	var keys [simulatedKeys]ledger.Key
	for i := range keys {
		keys[i] = ledger.NewKey("tanzplan", string(rune('a'+i)))
	}
	return keys
}

func issuedKeys() [simulatedKeys]ledger.Key {
	return [simulatedKeys]ledger.Key{
		ledger.NewKey("cacaotera", "01a2309d-aed0-7000-8000-000000000001"),
		ledger.NewKey("cacaotera", "01a2309d-aed0-7000-8000-000000000002"),
		ledger.NewKey("cacaotera", "01a2309d-aed0-7000-8000-000000000003"),
	}
}

// episode runs a simulation for a number of steps, then ends the faults.
func episode(v variant) rapidtest.Episode {
	sets := [][simulatedKeys]ledger.Key{opaqueKeys(), issuedKeys()}
	return func(d rapidtest.Draw) error {
		v.smallGuards = d(2) == 0
		sim := newSimulation(v, sets[d(2)])
		for range 150 {
			sim.act(d)
			if err := sim.check(); err != nil {
				return err
			}
		}
		return sim.endFaults()
	}
}

func TestOrdersRunAtMostOnceUnderAnyFaults(t *testing.T) {
	rapidtest.Check(t, episode(variant{}))
}

// retryUnknown tries another target after any failure.
type retryUnknown struct {
	*ledger.Machine
}

func (m retryUnknown) Ran(now time.Time, answer ledger.Response, err error) ledger.Action {
	if err != nil {
		err = waxwingpick.ErrEngineUnreachable
	}
	return m.Machine.Ran(now, answer, err)
}

// claimLate sends the attempt first and writes the claim afterwards.
type claimLate struct {
	*ledger.Machine
	write  ledger.Action
	answer ledger.Response
	err    error
}

func (m *claimLate) Chosen(now time.Time, to ledger.Attempt, err error) ledger.Action {
	a := m.Machine.Chosen(now, to, err)
	if a.Kind != ledger.ActWrite {
		return a
	}
	m.write = a
	var claim ledger.Claim
	if err := json.Unmarshal(a.Value, &claim); err != nil {
		panic(err)
	}
	return ledger.Action{
		Kind:    ledger.ActRun,
		Attempt: claim.Attempt,
	}
}

func (m *claimLate) Ran(_ time.Time, answer ledger.Response, err error) ledger.Action {
	m.answer = answer
	m.err = err
	return m.write
}

func (m *claimLate) Written(now time.Time, _ waxwingpick.Entry, _ error) ledger.Action {
	return m.Machine.Ran(now, m.answer, m.err)
}

// outageNotRun reports every outage as not run.
type outageNotRun struct {
	*ledger.Machine
}

func (m outageNotRun) Read(now time.Time, entry waxwingpick.Entry, err error) ledger.Action {
	return asNotRun(m.Machine.Read(now, entry, err))
}

func (m outageNotRun) Written(now time.Time, entry waxwingpick.Entry, err error) ledger.Action {
	return asNotRun(m.Machine.Written(now, entry, err))
}

func asNotRun(a ledger.Action) ledger.Action {
	if a.Refusal != nil && a.Refusal.Reason == waxwingpick.ReasonKeyValue {
		a.Refusal = waxwingpick.NotRun(waxwingpick.ReasonKeyValue, time.Second, "")
	}
	return a
}

func TestNaiveVariantsAreCaught(t *testing.T) {
	variants := map[string]variant{
		"retry on unknown": {
			wrap: func(m *ledger.Machine) machineVariant { return retryUnknown{Machine: m} },
		},
		"claim after sending": {
			wrap: func(m *ledger.Machine) machineVariant { return &claimLate{Machine: m} },
		},
		"outage reported as not run": {
			wrap: func(m *ledger.Machine) machineVariant { return outageNotRun{Machine: m} },
		},
		"dedupe in the entry's memory only": {
			memoryPerEntry: true,
		},
		"fences are not recorded": {
			forgetFences: true,
		},
		"any incarnation is admitted": {
			anyIncarnation: true,
		},
		"claims are written without compare": {
			blindWrites: true,
		},
		"expired claims are removed without a record": {
			unrecordedSweeps: true,
		},
	}
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			require.Error(t, rapidtest.FirstViolation(episode(v)))
		})
	}
}
