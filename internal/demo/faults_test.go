package demo

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	standinengine "waxwingpick/internal/standin/engine"
)

const (
	streamTokens = 200
	tokenTime    = 2 * time.Millisecond
)

// requireResponse sends a chat request and checks that the response is complete and belongs to the request.
func requireResponse(t *testing.T, c *Caller, entry, question string, tokens int) {
	t.Helper()
	got, err := c.Chat(t.Context(), entry, "stundenplan", question, tokens)
	require.NoError(t, err)
	require.Equal(t, expectedResponse(question, tokens), got.Text)
}

func expectedResponse(question string, tokens int) string {
	prompt := standinengine.ChatPrompt([]standinengine.Message{{
		Role:    "user",
		Content: question,
	}})
	return strings.Join(standinengine.ResponseTokens(prompt, tokens), "")
}

func requireProblem(t *testing.T, err error) *ProblemError {
	t.Helper()
	var problem *ProblemError
	require.ErrorAs(t, err, &problem)
	return problem
}

// TestStreamsAreWholeUnderFaults injects a fault while streams run and checks that every response is complete.
func TestStreamsAreWholeUnderFaults(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name  string
		fault func(ctx context.Context, c *Cluster) error
	}{
		{"engine connection cut", func(_ context.Context, c *Cluster) error {
			for _, e := range c.Engines() {
				e.SetFaults(standinengine.Faults{CutAfter: 5, CutStreams: 3})
			}
			return nil
		}},
		{"engine stream ends early", func(_ context.Context, c *Cluster) error {
			for _, e := range c.Engines() {
				e.SetFaults(standinengine.Faults{CutAfter: 5, CutStreams: 3, EndEarly: true})
			}
			return nil
		}},
		{"engine crash", func(_ context.Context, c *Cluster) error {
			c.Engines()[0].Crash()
			return nil
		}},
		{"key-value service down", func(_ context.Context, c *Cluster) error {
			c.Store().SetDown(true)
			return nil
		}},
		{"sidecar stops", func(ctx context.Context, c *Cluster) error {
			return c.StopSidecar(ctx, 0)
		}},
		{"entry stops", func(ctx context.Context, c *Cluster) error {
			return c.StopEntry(ctx, 0)
		}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, Layout{
				Engines:       2,
				PlainServices: 1,
				Entries:       2,
				EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, tokenTime)},
			})
			caller := NewCaller("studio-1")
			defer caller.Close()
			var wg conc.WaitGroup
			for _, question := range []string{"a", "b", "c", "d", "e", "f"} {
				wg.Go(func() {
					requireResponse(t, caller, c.Entries()[0].CallerAddr(), question, streamTokens)
				})
			}
			awaitTokens(t, c, streamTokens)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			require.NoError(t, f.fault(ctx, c))
			wg.Wait()
			for _, e := range c.Engines() {
				require.Zero(t, e.Record().Violations)
			}
		})
	}
}

// awaitTokens waits until the engines have generated the given number of tokens in total.
func awaitTokens(t *testing.T, c *Cluster, tokens int64) {
	t.Helper()
	require.Eventually(t, func() bool {
		var made int64
		for _, e := range c.Engines() {
			made += e.Record().Tokens
		}
		return made >= tokens
	}, 20*time.Second, time.Millisecond)
}

// TestPoisonRequestCostsAtMostTwoTargets repeats a request that crashes engines. It is rejected as a crash suspect
// after two crashes at the most, and other requests are still served.
func TestPoisonRequestCostsAtMostTwoTargets(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       4,
		PlainServices: 1,
		Entries:       2,
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	refused := false
	for i := range 10 {
		entry := c.Entries()[i%2].CallerAddr()
		_, err := caller.Chat(t.Context(), entry, "stundenplan", "say "+standinengine.DefaultCrashMarker, 8)
		problem := requireProblem(t, err).Problem()
		refused = refused || problem.Reason == waxwingpick.ReasonCrashSuspect
	}
	crashes := 0
	for _, e := range c.Engines() {
		crashes += e.Record().Crashes
	}
	require.LessOrEqual(t, crashes, 2)
	require.True(t, refused)
	requireResponse(t, caller, c.Entries()[0].CallerAddr(), "harmless", 8)
}

// TestOrdersRunAtMostOnceUnderFaults sends one booking several times through both entries under a fault. It checks that
// the booking ran at most once and that the outcomes that callers received agree with this.
func TestOrdersRunAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name  string
		set   func(c *Cluster)
		check func(t *testing.T, outcomes []error, runs int)
	}{
		{"none", func(*Cluster) {}, func(t *testing.T, outcomes []error, runs int) {
			require.Equal(t, 1, runs)
			for _, err := range outcomes {
				require.NoError(t, err)
			}
		}},
		{"answer of the service lost", func(c *Cluster) {
			for _, s := range c.Services() {
				s.Faults().LoseResponses("/bookings", 1)
			}
		}, requireNoFalseNotRun},
		{"request to the service lost", func(c *Cluster) {
			for _, s := range c.Services() {
				s.Faults().LoseRequests("/bookings", 1)
			}
		}, requireNoFalseNotRun},
		{"services down", func(c *Cluster) {
			for _, s := range c.Services() {
				s.Faults().Down(time.Hour)
			}
		}, requireAllNotRun},
		{"key-value service down", func(c *Cluster) {
			c.Store().SetDown(true)
		}, requireNoneRan},
		{"key-value answers lost", func(c *Cluster) {
			c.Store().LoseResponses(2)
		}, requireNoFalseNotRun},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, Layout{
				Engines:       1,
				PlainServices: 2,
				Entries:       2,
			})
			f.set(c)
			outcomes := sendCopies(t, c, 6)
			runs := 0
			for _, s := range c.Services() {
				runs += len(s.Runs())
			}
			require.LessOrEqual(t, runs, 1)
			f.check(t, outcomes, runs)
		})
	}
}

// sendCopies sends n concurrent copies of one booking and returns the error of each.
func sendCopies(t *testing.T, c *Cluster, n int) []error {
	t.Helper()
	caller := NewCaller("studio-1")
	defer caller.Close()
	outcomes := make([]error, n)
	var wg conc.WaitGroup
	for i := range n {
		wg.Go(func() {
			entry := c.Entries()[i%2].CallerAddr()
			_, outcomes[i] = caller.Call(t.Context(), entry, "studio-app", "POST", "/bookings", []byte(`{"child":"a"}`), "key-1")
		})
	}
	wg.Wait()
	return outcomes
}

// requireNoFalseNotRun checks that a booking that ran was not reported as not run to every caller.
func requireNoFalseNotRun(t *testing.T, outcomes []error, runs int) {
	t.Helper()
	notRun := 0
	for _, err := range outcomes {
		var problem *ProblemError
		if errors.As(err, &problem) && problem.Problem().Outcome == waxwingpick.OutcomeNotRun {
			notRun++
		}
	}
	if runs > 0 {
		require.Less(t, notRun, len(outcomes))
	}
}

// requireNoneRan checks that the booking did not run, and that every caller got an error with a retry delay. A request
// with an idempotency key can't find out during an outage whether an earlier one ran, so its outcome is unknown, not
// notRun.
func requireNoneRan(t *testing.T, outcomes []error, runs int) {
	t.Helper()
	require.Zero(t, runs)
	for _, err := range outcomes {
		problem := requireProblem(t, err).Problem()
		require.Equal(t, waxwingpick.ReasonKeyValue, problem.Reason)
		require.Positive(t, problem.RetryAfterMillis)
	}
}

func requireAllNotRun(t *testing.T, outcomes []error, runs int) {
	t.Helper()
	require.Zero(t, runs)
	for _, err := range outcomes {
		problem := requireProblem(t, err).Problem()
		require.Equal(t, waxwingpick.OutcomeNotRun, problem.Outcome)
		require.Positive(t, problem.RetryAfterMillis)
	}
}
