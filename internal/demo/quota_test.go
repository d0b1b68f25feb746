package demo

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/quota"
	standinengine "waxwingpick/internal/standin/engine"
	"waxwingpick/io/operator"
)

// pauseOfRefused is the time after which a refused caller asks again, whatever it was told.
const pauseOfRefused = 5 * time.Millisecond

// rateConfig bounds studio-1 in place of the common rate.
func rateConfig(perSecond float64) config.Record {
	cfg := testConfig()
	cfg.Limits.WorkspaceRequestsPerSecond = 1000
	cfg.Limits.WorkspaceRates = []config.WorkspaceRate{{
		Workspace:         "studio-1",
		RequestsPerSecond: perSecond,
	}}
	return cfg
}

// offer sends requests of one workspace through all entries in turn until so many were answered, and returns the refusals.
func offer(t *testing.T, c *Cluster, workspace string, answers int) (refusals []ProblemError) {
	caller := NewCaller(workspace)
	defer caller.Close()
	for i, answered := 0, 0; answered < answers; i++ {
		entry := c.Entries()[i%len(c.Entries())].CallerAddr()
		_, err := caller.Chat(t.Context(), entry, "stundenplan", "who swapped salsa", 1)
		if err == nil {
			answered++
			continue
		}
		var problem *ProblemError
		require.ErrorAs(t, err, &problem)
		refusals = append(refusals, *problem)
		time.Sleep(pauseOfRefused)
	}
	return refusals
}

// TestWorkspaceRateHoldsOverEntries sends more than a workspace's rate through two entries to two engines; the engines see
// no more than the rate, wherever the requests come from, and other workspaces notice nothing.
func TestWorkspaceRateHoldsOverEntries(t *testing.T) {
	t.Parallel()
	const perSecond, answers = 10, 80
	c := startCluster(t, Layout{
		Config:        rateConfig(perSecond),
		Engines:       2,
		Entries:       2,
		EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, time.Microsecond)},
	})
	limit := quota.NewLimit(perSecond, 2*perSecond)
	started := time.Now()
	refusals := offer(t, c, "studio-1", answers)
	allowed := limit.Reserve() + 2*limit.Base(2) + (1+quota.SilentFraction)*perSecond*time.Since(started).Seconds()
	require.LessOrEqual(t, float64(answers), allowed)
	require.NotEmpty(t, refusals)
	for _, r := range refusals {
		require.Equal(t, http.StatusTooManyRequests, r.Problem().Status)
		require.Equal(t, waxwingpick.ReasonRateLimit, r.Problem().Reason)
		require.Equal(t, waxwingpick.OutcomeNotRun, r.Problem().Outcome)
		require.Positive(t, r.Problem().RetryAfterMillis)
	}
	runs := 0
	for _, e := range c.Engines() {
		runs += len(e.Record().Runs)
	}
	require.Equal(t, answers, runs, "what was refused reached no engine")
	require.Empty(t, offer(t, c, "studio-2", answers))
	told := 0
	for _, e := range c.Entries() {
		status, err := e.Status(t.Context(), operator.StatusRequest{})
		require.NoError(t, err)
		for _, o := range status.OverRate {
			require.EqualValues(t, "studio-1", o.Workspace)
			told += o.Refused
		}
	}
	require.Equal(t, len(refusals), told)

	// Without one of the entries, and with the key-value service down, the other one goes on.
	c.Store().SetDown(true)
	require.NoError(t, c.entries[1].Stop(context.Background()))
	c.entries = c.entries[:1]
	require.NotEmpty(t, offer(t, c, "studio-1", answers/4))
}

// TestOverRateKeyedOrderIsUnknown refuses an order before its claim is read, so an earlier sending may have run.
func TestOverRateKeyedOrderIsUnknown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Config:  rateConfig(0.001),
		Engines: 1,
		Plains:  1,
		Entries: 2,
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	entry := c.Entries()[0].CallerAddr()
	call := func(key string) *ProblemError {
		var problem *ProblemError
		_, err := caller.Call(t.Context(), entry, "studio-app", "POST", "/bookings", []byte("{}"), key)
		if err != nil {
			require.ErrorAs(t, err, &problem)
		}
		return problem
	}
	require.Nil(t, call("key-1"))
	require.NotNil(t, call("key-1"))
	require.Equal(t, waxwingpick.OutcomeUnknown, call("key-1").Problem().Outcome)
	require.Equal(t, http.StatusTooManyRequests, call("key-1").Problem().Status)
	require.Equal(t, waxwingpick.OutcomeNotRun, call("").Problem().Outcome)
}
