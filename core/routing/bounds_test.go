package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/routing"
	"waxwingpick/internal/rapidtest"
)

const boundedExcess = 0.5

// boundedLoad sends requests that never end, all with the same prefix, and compares the load of each target that is
// chosen for its cache with the mean.
func boundedLoad(opts ...routing.Option) func(t *rapid.T) {
	return func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "targets")
		hot := rapid.Uint64().Draw(t, "hot")
		r := newRouter(t, append([]routing.Option{
			routing.Subset(20, 2),
			routing.BoundedLoad(boundedExcess),
		}, opts...)...)
		r.SetTargets(start, fleet(n, 1))
		busy := make(map[waxwingpick.TargetID]int)
		now := start
		for i := range 400 {
			now = now.Add(10 * time.Millisecond)
			c, err := r.Choose(now, routing.Request{
				Model:        "m",
				PromptTokens: 4000,
				OutputTokens: 100,
				Prefix:       []uint64{hot, hot + 1},
			})
			require.NoError(t, err)
			if c.CachedTokens > 0 {
				// In integers: the load is at most 1.5 times the mean plus one.
				require.LessOrEqual(t, 2*n*busy[c.Target], 3*(i+n), "target %s is overloaded by its prefix", c.Target)
			}
			r.Sent(now, c)
			busy[c.Target]++
			for _, info := range fleet(n, 1) {
				r.Observe(now, routing.Report{
					Target: info.ID,
					Load: waxwingpick.TargetLoad{
						Running: busy[info.ID],
						Slots:   400,
					},
				})
			}
		}
	}
}

func TestHotPrefixDoesNotOverloadItsTarget(t *testing.T) {
	rapid.Check(t, boundedLoad())
	require.True(t, rapidtest.Fails(t, boundedLoad(routing.BoundedLoad(1e9))), "affinity without a load bound must overload the target")
}

// maxSendsToOneTarget returns the maximum number of requests sent to one target between two rounds of reports, with
// reports of equal age.
func maxSendsToOneTarget(t require.TestingT, opts ...routing.Option) int {
	const targets, sends = 8, 80
	r := newRouter(t, append([]routing.Option{routing.Subset(targets, targets)}, opts...)...)
	r.SetTargets(start, fleet(targets, 1))
	for i, info := range fleet(targets, 1) {
		r.Observe(start, routing.Report{
			Target: info.ID,
			Load: waxwingpick.TargetLoad{
				Running: i,
				Slots:   32,
			},
		})
	}
	maxSent := 0
	busy := make(map[waxwingpick.TargetID]int)
	for range sends {
		c, err := r.Choose(start, routing.Request{
			Model:        "m",
			PromptTokens: 500,
			OutputTokens: 50,
		})
		require.NoError(t, err)
		r.Sent(start, c)
		busy[c.Target]++
		maxSent = max(maxSent, busy[c.Target])
	}
	return maxSent
}

func TestOwnSendsPreventHerding(t *testing.T) {
	// An even share is 10 of 80; the reports differ by up to 7.
	require.LessOrEqual(t, maxSendsToOneTarget(t), 20)
	require.Equal(t, 80, maxSendsToOneTarget(t, routing.CountUnreportedSends(false)), "with reports alone all requests must go to one target")
}

func TestEjectedTargetReturnsGradually(t *testing.T) {
	r := newRouter(t, routing.Ejection(1, 5*time.Second, 10*time.Second), routing.Subset(4, 2))
	r.SetTargets(start, fleet(2, 1))
	share := func(now time.Time) float64 {
		hits := 0
		for range 1000 {
			c, err := r.Choose(now, routing.Request{Model: "m"})
			require.NoError(t, err)
			if c.Target == "t-000" {
				hits++
			}
			r.Done(now, r.Sent(now, c), routing.ResultCancelled)
		}
		return float64(hits) / 1000
	}
	for {
		c, err := r.Choose(start, routing.Request{Model: "m"})
		require.NoError(t, err)
		if c = r.Sent(start, c); c.Target == "t-000" {
			r.Done(start, c, routing.ResultFailed)
			break
		}
		r.Done(start, c, routing.ResultResponded)
	}
	require.Equal(t, []waxwingpick.TargetID{"t-000"}, r.Ejected(start))
	require.Zero(t, share(start.Add(4*time.Second)))
	early, late := share(start.Add(6*time.Second)), share(start.Add(14*time.Second))
	require.Less(t, early, late)
	require.Less(t, early, 0.2, "after a tenth of slow start the share must be far below half")
}

func TestOnlyFailuresEject(t *testing.T) {
	for result, ejected := range map[routing.Result]int{
		routing.ResultResponded: 0,
		routing.ResultRefused:   0,
		routing.ResultCancelled: 0,
		routing.ResultFailed:    1,
	} {
		r := newRouter(t)
		r.SetTargets(start, fleet(1, 1))
		for range 2 * machineFailures {
			c, err := r.Choose(start, routing.Request{Model: "m"})
			if err == nil {
				r.Done(start, r.Sent(start, c), result)
			}
		}
		require.Len(t, r.Ejected(start), ejected, "result %d", result)
	}
}

// TestEntriesShareTheFleet checks that the bounded subsets of many entries together cover all targets.
func TestEntriesShareTheFleet(t *testing.T) {
	const entries, targets, subset = 200, 600, 48
	seen := make(map[waxwingpick.TargetID]int)
	for e := range entries {
		r, err := routing.New(
			routing.Entry(waxwingpick.InstanceID(fmt.Sprint("entry-", e)), waxwingpick.AvailabilityZone(fmt.Sprint("zone-", e%9))),
			routing.ProbeRate(1e6, time.Second),
			routing.Subset(subset, 2),
		)
		require.NoError(t, err)
		r.SetTargets(start, fleet(targets, 9))
		r.Probes(start, nil)
		probed := r.Probes(start.Add(time.Second), nil)
		require.LessOrEqual(t, len(probed), subset, "an entry must track the load of its subset only")
		for _, id := range probed {
			seen[id]++
		}
	}
	require.Len(t, seen, targets, "each target is in some subset")
}
