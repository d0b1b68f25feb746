package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/routing"
)

func reportWait(r *routing.Router, id waxwingpick.TargetID, wait time.Duration) {
	r.Observe(start, routing.Report{
		Target: id,
		Load: waxwingpick.TargetLoad{
			Slots:           32,
			QuickWaitMillis: wait.Milliseconds(),
		},
	})
}

func TestSameZonePreferredWithinDeadline(t *testing.T) {
	req := routing.Request{
		Model:        "m",
		PromptTokens: 500,
		OutputTokens: 100,
		Deadline:     start.Add(10 * time.Second),
	}
	for _, tc := range []struct {
		name string
		wait time.Duration
		want waxwingpick.TargetID
	}{
		{"equal load", 0, "t-000"},
		{"a little later", 50 * time.Millisecond, "t-000"},
		{"much later", 3 * time.Second, "t-001"},
		{"not in time", 20 * time.Second, "t-001"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRouter(t)
			r.SetTargets(start, fleet(2, 2))
			reportWait(r, "t-000", tc.wait)
			reportWait(r, "t-001", 0)
			c, err := r.Choose(start, req)
			require.NoError(t, err)
			require.Equal(t, tc.want, c.Target)
			require.Equal(t, tc.want == "t-000", c.SameZone)
			require.True(t, c.InTime)
		})
	}
}

func TestPrefixAffinityDecays(t *testing.T) {
	const block = 7
	r := newRouter(t)
	r.SetTargets(start, fleet(10, 1))
	req := routing.Request{
		Model:        "m",
		PromptTokens: 2100,
		OutputTokens: 10,
		Prefix:       []uint64{block},
	}
	choose := func(at time.Time) routing.Choice {
		c, err := r.Choose(at, req)
		require.NoError(t, err)
		return c
	}
	first := r.Sent(start, choose(start))
	r.Done(start, first, routing.ResultResponded)
	fresh, old := choose(start.Add(time.Second)), choose(start.Add(10*time.Minute))
	require.Equal(t, first.Target, fresh.Target)
	require.Greater(t, fresh.CachedTokens, 1900)

	// Another entry chooses the same target by rendezvous hashing alone.
	other := newRouter(t, routing.Entry("entry-2", "zone-0"))
	other.SetTargets(start, fleet(10, 1))
	c, err := other.Choose(start, req)
	require.NoError(t, err)
	require.Equal(t, first.Target, c.Target)

	// A cache event that reports the block at another target replaces the hint, and one that reports it dropped removes
	// the hint.
	moved := waxwingpick.TargetID("t-003")
	if first.Target == moved {
		moved = "t-004"
	}
	at := start.Add(2 * time.Second)
	event := waxwingpick.CacheEvent{
		Block: block,
		Held:  true,
		At:    at,
	}
	r.ObserveCache(moved, event)
	require.Equal(t, moved, choose(at).Target)
	event.Held = false
	r.ObserveCache(moved, event)
	require.Equal(t, first.Target, choose(at).Target)
	require.Less(t, old.CachedTokens, fresh.CachedTokens)
	require.Equal(t, first.Target, old.Target, "without a fresh hint the prefix goes to its rendezvous target")
}
