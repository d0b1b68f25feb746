package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/quota"
	standinengine "waxwingpick/internal/standin/engine"
	"waxwingpick/io/operator"
)

const (
	// retryInterval is the delay before a rejected caller retries, regardless of the retry delay in the response.
	retryInterval     = 5 * time.Millisecond
	concurrentCallers = 8
)

// rateConfig returns a configuration with a rate for studio-1 and a much higher rate for other workspaces.
func rateConfig(perSecond float64) config.Record {
	cfg := testConfig()
	cfg.Limits.WorkspaceRequestsPerSecond = 1000
	cfg.Limits.WorkspaceRates = []config.WorkspaceRate{{
		Workspace:         "studio-1",
		RequestsPerSecond: perSecond,
	}}
	return cfg
}

// callResults holds the results of one workspace's requests.
type callResults struct {
	mu        sync.Mutex
	successes int
	refusals  []ProblemError
}

// succeededFewerThan reports whether fewer than the given number of requests succeeded.
func (o *callResults) succeededFewerThan(successes int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.successes < successes
}

// record records the result of one request; problem is nil if it succeeded.
func (o *callResults) record(problem *ProblemError) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if problem == nil {
		o.successes++
		return
	}
	o.refusals = append(o.refusals, *problem)
}

// sendUntil sends requests of one workspace through all entries in turn until at least the given number succeeded. It
// uses concurrent callers, so that the load exceeds the rate on a slow machine too.
func sendUntil(t *testing.T, c *Cluster, workspace string, successes int) *callResults {
	o := new(callResults)
	calls := pool.New().WithErrors()
	for n := range concurrentCallers {
		calls.Go(func() error {
			caller := NewCaller(workspace)
			defer caller.Close()
			for i := n; o.succeededFewerThan(successes); i++ {
				entry := c.Entries()[i%len(c.Entries())].CallerAddr()
				_, err := caller.Chat(t.Context(), entry, "stundenplan", "who swapped salsa", 1)
				var problem *ProblemError
				if err != nil && !errors.As(err, &problem) {
					return fmt.Errorf("offer through %s: %w", entry, err)
				}
				o.record(problem)
				if problem != nil {
					time.Sleep(retryInterval)
				}
			}
			return nil
		})
	}
	require.NoError(t, calls.Wait())
	return o
}

// TestWorkspaceRateHoldsOverEntries sends more than a workspace's rate through two entries. It checks that the engines
// receive no more than the rate in total, and that other workspaces are not rejected.
func TestWorkspaceRateHoldsOverEntries(t *testing.T) {
	t.Parallel()
	const perSecond, successes = 4, 40
	c := startCluster(t, Layout{
		Config:        rateConfig(perSecond),
		Engines:       2,
		Entries:       2,
		EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, time.Microsecond)},
	})
	limit := quota.NewLimit(perSecond, 2*perSecond)
	started := time.Now()
	o := sendUntil(t, c, "studio-1", successes)
	allowed := limit.Reserve() + 2*limit.Base(2) + (1+quota.UnreportedFraction)*perSecond*time.Since(started).Seconds()
	require.LessOrEqual(t, float64(o.successes), allowed)
	require.NotEmpty(t, o.refusals)
	for _, r := range o.refusals {
		require.Equal(t, http.StatusTooManyRequests, r.Problem().Status)
		require.Equal(t, waxwingpick.ReasonRateLimit, r.Problem().Reason)
		require.Equal(t, waxwingpick.OutcomeNotRun, r.Problem().Outcome)
		require.Positive(t, r.Problem().RetryAfterMillis)
	}
	runs := 0
	for _, e := range c.Engines() {
		runs += len(e.Record().Runs)
	}
	require.Equal(t, o.successes, runs, "rejected requests must not reach an engine")
	require.Empty(t, sendUntil(t, c, "studio-2", successes).refusals)
	reported := 0
	for _, e := range c.Entries() {
		status, err := e.Status(t.Context(), operator.StatusRequest{})
		require.NoError(t, err)
		for _, w := range status.OverRate {
			require.EqualValues(t, "studio-1", w.Workspace)
			reported += w.Refused
		}
	}
	require.Equal(t, len(o.refusals), reported)

	// The remaining entry enforces the limit without the other entry and without the key-value service.
	c.Store().SetDown(true)
	require.NoError(t, c.entries[1].Stop(context.Background()))
	c.entries = c.entries[:1]
	require.NotEmpty(t, sendUntil(t, c, "studio-1", successes/4).refusals)
}

// TestOverRateKeyedOrderIsUnknown checks the outcome of orders over the rate limit. An order with an idempotency key is
// rejected before its claim is read, so an earlier attempt may have run and its outcome is unknown.
func TestOverRateKeyedOrderIsUnknown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Config:        rateConfig(0.001),
		Engines:       1,
		PlainServices: 1,
		Entries:       2,
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
