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

// TestRollingReplacementCutsNothing replaces every sidecar and every entry, one by one, under load.
func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		Plains:        2,
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
	require.NoError(t, s.Check(), "first failure: %v", l.first)
	require.Positive(t, s.OrdersRun)
	// While one of two targets is replaced, the other takes the work.
	require.Zero(t, s.Quick.Refused)
	require.Zero(t, s.Long.Refused)
}

// TestLeavingTargetGetsNoNewWork announces a leave under load: once the target acts under it, nothing more starts there,
// though entries that have not heard may still ask.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		Plains:        1,
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
	leaver := c.Instances()[0].ID
	require.NoError(t, c.commit(t.Context(), config.AnnounceLeave(leaver, time.Time{}, time.Now().UTC())))
	require.Eventually(t, func() bool {
		return c.Sidecars()[0].ConfigRevision() == 2
	}, time.Minute, time.Millisecond)
	// What was admitted before the announcement may still be on its way to the engine.
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

// TestStreamsMoveBeforeTheDate announces a leave by a date that comes before the running answers end; they go on at
// another target.
func TestStreamsMoveBeforeTheDate(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		Plains:        1,
		Entries:       1,
		EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, 10*time.Millisecond)},
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	var wg conc.WaitGroup
	for _, question := range []string{"a", "b", "c", "d", "e", "f"} {
		wg.Go(func() {
			answered(t, caller, c.Entries()[0].CallerAddr(), question, 300)
		})
	}
	awaitTokens(t, c, 60)
	leaver := 0
	if c.Sidecars()[0].Running() == 0 {
		leaver = 1
	}
	by := time.Now().Add(5 * time.Second).UTC()
	require.NoError(t, c.commit(t.Context(), config.AnnounceLeave(c.Instances()[leaver].ID, by, time.Now().UTC())))
	require.Eventually(t, func() bool {
		return c.Sidecars()[leaver].ConfigRevision() == 2 && c.Sidecars()[leaver].Running() == 0
	}, time.Minute, time.Millisecond)
	// Answers take three seconds, so some that ran at the leaving target still run elsewhere.
	require.Positive(t, c.Engines()[leaver].Record().Cancelled)
	wg.Wait()
	for _, e := range c.Engines() {
		require.Zero(t, e.Record().Violations)
	}
}
