package demo

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick/core/config"
	standinengine "waxwingpick/internal/standin/engine"
)

// TestRollingReplacementCutsNothing replaces every sidecar and every entry in sequence under load, and checks that no
// request fails and that no chat request is rejected.
func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		PlainServices: 2,
		Entries:       2,
		LameDuck:      500 * time.Millisecond,
		EngineOptions: []standinengine.Option{standinengine.Speed(prefillToken, decodeToken)},
	})
	l := newLoad(c, testConfig().Presets[0])
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		l.run(ctx, 6, 2, 3)
	})
	limit, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range c.Sidecars() {
		require.NoError(t, c.ReplaceSidecar(limit, i))
	}
	for i := range c.Entries() {
		require.NoError(t, c.ReplaceEntry(limit, i, func(addr string) {
			l.setEntry(i, addr)
		}))
	}
	stop()
	wg.Wait()
	s := c.summarise(l)
	require.NoError(t, s.Table(t.Output()))
	require.NoError(t, s.Check(), "first failure: %v", l.firstErr)
	require.Positive(t, s.OrdersRun)
	// While one of two targets is replaced, the other serves all requests.
	require.Zero(t, s.Quick.Refused)
	require.Zero(t, s.Long.Refused)
}

// TestLeavingTargetGetsNoNewWork announces a leave under load. After the target has applied it, the target starts no
// new request, although entries that have not yet applied it may still send some.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		PlainServices: 1,
		Entries:       2,
		EngineOptions: []standinengine.Option{standinengine.Speed(prefillToken, decodeToken)},
	})
	l := newLoad(c, testConfig().Presets[0])
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		l.run(ctx, 4, 2, 0)
	})
	runs := func() int {
		return len(c.Engines()[0].Record().Runs)
	}
	require.Eventually(t, func() bool {
		return runs() > 0
	}, time.Minute, time.Millisecond)
	leaving := c.Instances()[0].ID
	require.NoError(t, c.commit(t.Context(), config.AnnounceLeave(leaving, time.Time{}, time.Now().UTC())))
	require.Eventually(t, func() bool {
		return c.Sidecars()[0].ConfigRevision() == 2
	}, time.Minute, time.Millisecond)
	// Requests that were admitted before the leave may not have reached the engine yet.
	require.Eventually(t, func() bool {
		return c.Sidecars()[0].Running() == 0
	}, time.Minute, time.Millisecond)
	before := runs()
	sent := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.tallies[0].Sent
	}
	target := sent() + 100
	require.Eventually(t, func() bool {
		return sent() > target
	}, time.Minute, time.Millisecond)
	require.Equal(t, before, runs())
	stop()
	wg.Wait()
	require.NoError(t, c.summarise(l).Check())
	require.Zero(t, c.summarise(l).Quick.Refused)
}

// TestStreamsMoveBeforeTheDate announces a leave by a date before the end of the running streams, and checks that they
// continue on another target.
func TestStreamsMoveBeforeTheDate(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		PlainServices: 1,
		Entries:       1,
		EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, 10*time.Millisecond)},
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	var wg conc.WaitGroup
	for _, question := range []string{"a", "b", "c", "d", "e", "f"} {
		wg.Go(func() {
			requireResponse(t, caller, c.Entries()[0].CallerAddr(), question, 300)
		})
	}
	awaitTokens(t, c, 60)
	leaving := 0
	if c.Sidecars()[0].Running() == 0 {
		leaving = 1
	}
	by := time.Now().Add(5 * time.Second).UTC()
	require.NoError(t, c.commit(t.Context(), config.AnnounceLeave(c.Instances()[leaving].ID, by, time.Now().UTC())))
	require.Eventually(t, func() bool {
		return c.Sidecars()[leaving].ConfigRevision() == 2 && c.Sidecars()[leaving].Running() == 0
	}, time.Minute, time.Millisecond)
	// A response takes three seconds, so some streams were moved before they ended.
	require.Positive(t, c.Engines()[leaving].Record().Cancelled)
	wg.Wait()
	for _, e := range c.Engines() {
		require.Zero(t, e.Record().Violations)
	}
}
