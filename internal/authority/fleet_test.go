package authority_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick/internal/rapidtest"
)

// The maximum times until a fleet agrees and settles once the faults have ended.
const (
	agreementTimeout = 4 * time.Second
	settleTimeout    = 90 * time.Second
)

func TestMain(m *testing.M) {
	rapidtest.MainSteps(m, 300, 400)
}

type rapidChooser struct {
	t *rapid.T
}

func (c rapidChooser) intn(n int) int {
	return rapid.IntRange(0, n-1).Draw(c.t, "choice")
}

type seededChooser struct {
	r *rand.Rand
}

func (c seededChooser) intn(n int) int {
	return c.r.IntN(n)
}

func TestFleetKeepsItsPromisesThroughAnyInterleaving(t *testing.T) {
	t.Parallel()
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapidChooser{t: rt}, unmutated)
		actions := make(map[string]func(*rapid.T))
		for name, act := range w.actions() {
			actions[name] = func(rt *rapid.T) {
				act()
				steps++
				if w.oracle.violation != nil {
					rt.Fatal(w.oracle.violation)
				}
			}
		}
		rt.Repeat(actions)
		if err := w.finish(); err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("%d steps", steps)
	require.GreaterOrEqual(t, steps, rapidtest.ScaledCount(100_000))
}

// finish ends the faults and returns the first violation during the run or after the faults.
func (w *world) finish() error {
	w.heal(settleTimeout, w.unsettledState)
	if problem := w.unsettledState(); problem != "" {
		w.oracle.fail("%s after the faults: %s", settleTimeout, problem)
	}
	w.operators()
	w.desiredVersion++
	w.heal(agreementTimeout, func() string {
		if problem := w.planMismatch(); problem != "" {
			return problem
		}
		return w.copyMismatch()
	})
	if problem := w.planMismatch(); problem != "" {
		w.oracle.fail("%s after a change: %s", agreementTimeout, problem)
	}
	if problem := w.copyMismatch(); problem != "" {
		w.oracle.fail("%s after a change: %s", agreementTimeout, problem)
	}
	return w.oracle.violation
}

// findViolation runs a world with random steps and returns the first violation.
func findViolation(seed uint64, m mutation, steps int) error {
	c := seededChooser{
		r: rand.New(rand.NewPCG(seed, 7)),
	}
	w := newWorld(c, m)
	actions := w.actions()
	names := slices.Sorted(maps.Keys(actions))
	for range steps {
		actions[names[c.intn(len(names))]]()
		if w.oracle.violation != nil {
			return w.oracle.violation
		}
	}
	return nil
}

func TestOracleSeesEachMutation(t *testing.T) {
	const (
		runs  = 200
		steps = 400
	)
	cases := []struct {
		name   string
		mutant mutation
		want   string
	}{
		{name: "a hint is acted on without reading back", mutant: actOnHint, want: "which no accepted plan gave it|after order"},
		{name: "the epoch is only in the lease key", mutant: epochInLease, want: "epoch"},
		{name: "any revision is taken", mutant: anyRevision, want: "fell"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(runs) {
				if err := findViolation(seed, c.mutant, steps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					require.Regexp(t, c.want, err.Error())
					return
				}
			}
			t.Fatal("the oracle detected no violation")
		})
	}
}
