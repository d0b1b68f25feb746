package virtual_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/retry"
	"waxwingpick/core/routing"
	"waxwingpick/core/timer"
	"waxwingpick/internal/virtual"
)

// run simulates the load of a seed on one entry and two engines, and returns the outcomes. One engine changes role
// meanwhile.
func run(t *testing.T, seed uint64) []virtual.Outcome {
	timers := timer.NewManual(time.Unix(0, 0))
	var sidecars []*virtual.Sidecar
	for _, id := range []waxwingpick.TargetID{"a", "b"} {
		gate, err := admission.New(admission.Memory(200, virtual.BlockTokens))
		require.NoError(t, err)
		engine := virtual.NewEngine(timers, virtual.DefaultSpec(id, "zone-1"))
		sidecars = append(sidecars, virtual.NewSidecar(timers, engine, gate))
	}
	router, err := routing.New(routing.Rand(rand.New(rand.NewPCG(seed, 1))))
	require.NoError(t, err)
	router.SetTargets(timers.Now(), virtual.Targets(sidecars))
	retries, err := retry.New()
	require.NoError(t, err)
	entry := virtual.NewEntry(timers, "zone-1", virtual.NewRouterBalancer(router), retries, sidecars)
	var outcomes []virtual.Outcome
	entry.OnEnded = func(o virtual.Outcome) {
		outcomes = append(outcomes, o)
	}
	mix := virtual.Mix{
		Streams: []virtual.Stream{{
			Name:       "quick",
			Prompt:     virtual.Size{Median: 300, Sigma: 0.5, Max: 4000},
			Output:     virtual.Size{Median: 80, Sigma: 0.5, Max: 1000},
			Deadline:   10 * time.Second,
			Workspaces: 10,
		}},
		Phases: []virtual.Phase{{
			Length: time.Minute,
			Rates:  []float64{5},
		}},
	}
	arrived := 0
	virtual.StartLoad(timers, rand.New(rand.NewPCG(seed, 2)), mix, time.Minute, func(r *virtual.Request) {
		arrived++
		r.EstimatedOutput = r.OutputTokens
		entry.Arrive(r)
	})
	timers.After(30*time.Second, func(time.Time) {
		sidecars[0].ChangeRole(waxwingpick.RoleMixed, nil)
	})
	timers.Advance(2 * time.Minute)
	require.Len(t, outcomes, arrived)
	require.Equal(t, 1, sidecars[0].Engine().RoleChanges())
	return outcomes
}

func TestEveryRequestEndsOnceAndRunsAreDeterministic(t *testing.T) {
	first, second := run(t, 1), run(t, 1)
	require.NotEmpty(t, first)
	for i, o := range first {
		require.True(t, o.Complete, "request without a complete response at light load: %+v", o)
		require.Equal(t, o.End, second[i].End)
	}
}
