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
	// pauseOfRefused is the time after which a refused caller asks again, whatever it was told.
	pauseOfRefused = 5 * time.Millisecond
	// offeringCallers is how many callers offer at once.
	offeringCallers = 8
)

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

// offered counts what became of the requests of one workspace.
type offered struct {
	mu       sync.Mutex
	answers  int
	refusals []ProblemError
}

// lacks reports whether fewer requests than so many were answered.
func (o *offered) lacks(answers int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answers < answers
}

// note counts one request by its error.
func (o *offered) note(problem *ProblemError) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if problem == nil {
		o.answers++
		return
	}
	o.refusals = append(o.refusals, *problem)
}

// offer has callers of one workspace send requests through all entries in turn until at least so many were answered. There
// are several callers, so that a slow machine also offers more than the rate.
func offer(t *testing.T, c *Cluster, workspace string, answers int) *offered {
	o := new(offered)
	calls := pool.New().WithErrors()
	for n := range offeringCallers {
		calls.Go(func() error {
			caller := NewCaller(workspace)
			defer caller.Close()
			for i := n; o.lacks(answers); i++ {
				entry := c.Entries()[i%len(c.Entries())].CallerAddr()
				_, err := caller.Chat(t.Context(), entry, "stundenplan", "who swapped salsa", 1)
				var problem *ProblemError
				if err != nil && !errors.As(err, &problem) {
					return fmt.Errorf("offer through %s: %w", entry, err)
				}
				o.note(problem)
				if problem != nil {
					time.Sleep(pauseOfRefused)
				}
			}
			return nil
		})
	}
	require.NoError(t, calls.Wait())
	return o
}

// TestWorkspaceRateHoldsOverEntries sends more than a workspace's rate through two entries to two engines; the engines see
// no more than the rate, wherever the requests come from, and other workspaces notice nothing.
func TestWorkspaceRateHoldsOverEntries(t *testing.T) {
	t.Parallel()
	const perSecond, answers = 4, 40
	c := startCluster(t, Layout{
		Config:        rateConfig(perSecond),
		Engines:       2,
		Entries:       2,
		EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, time.Microsecond)},
	})
	limit := quota.NewLimit(perSecond, 2*perSecond)
	started := time.Now()
	o := offer(t, c, "studio-1", answers)
	allowed := limit.Reserve() + 2*limit.Base(2) + (1+quota.SilentFraction)*perSecond*time.Since(started).Seconds()
	require.LessOrEqual(t, float64(o.answers), allowed)
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
	require.Equal(t, o.answers, runs, "what was refused reached no engine")
	require.Empty(t, offer(t, c, "studio-2", answers).refusals)
	told := 0
	for _, e := range c.Entries() {
		status, err := e.Status(t.Context(), operator.StatusRequest{})
		require.NoError(t, err)
		for _, w := range status.OverRate {
			require.EqualValues(t, "studio-1", w.Workspace)
			told += w.Refused
		}
	}
	require.Equal(t, len(o.refusals), told)

	// Without one of the entries, and with the key-value service down, the other one goes on.
	c.Store().SetDown(true)
	require.NoError(t, c.entries[1].Stop(context.Background()))
	c.entries = c.entries[:1]
	require.NotEmpty(t, offer(t, c, "studio-1", answers/4).refusals)
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
