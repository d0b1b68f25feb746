package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	standinengine "waxwingpick/internal/standin/engine"
)

const (
	// failingCalls calls arrive failingInterval apart.
	failingCalls    = 100
	failingInterval = time.Second / 32
)

// failedCall is a response to a caller that is no success.
type failedCall struct {
	status     int
	retryAfter string
	body       string
	problem    struct {
		Outcome waxwingpick.Outcome `json:"outcome"`
		Reason  waxwingpick.Reason  `json:"reason"`
	}
}

func post(t *testing.T, method, url, key string) failedCall {
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader([]byte(`{"class":"tuesday"}`)))
	require.NoError(t, err)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	c := failedCall{
		status:     resp.StatusCode,
		retryAfter: resp.Header.Get("Retry-After"),
		body:       string(body),
	}
	// Responses of services are no problems.
	_ = json.Unmarshal(body, &c.problem)
	return c
}

// serviceRuns returns the number of runs of all plain services.
func serviceRuns(c *Cluster) int {
	runs := 0
	for _, s := range c.Services() {
		runs += len(s.Runs())
	}
	return runs
}

// TestStatusOfAServiceThatRanIsNoPromise has plain services run calls and respond with statuses that would tell callers that the calls have
// not run. An order runs once, also if it is sent again under its key, and a call that may be repeated is tried at the other service.
func TestStatusOfAServiceThatRanIsNoPromise(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       1,
		PlainServices: 2,
		Entries:       1,
	})
	url := "http://" + c.Entries()[0].CallerAddr() + "/services/studio-app/bookings"
	requireUnknown := func(got failedCall, what string) {
		require.Equal(t, http.StatusBadGateway, got.status, "%s: %s", what, got.body)
		require.Equal(t, waxwingpick.OutcomeUnknown, got.problem.Outcome, what)
	}
	fail := func(status int) {
		for _, s := range c.Services() {
			s.FailAfterRuns(status)
		}
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		what := fmt.Sprint(status)
		fail(status)
		before := serviceRuns(c)
		got := post(t, http.MethodPost, url, "")
		requireUnknown(got, what)
		require.Equal(t, waxwingpick.ReasonUnstatedRefusal, got.problem.Reason, what)
		require.Empty(t, got.retryAfter, what)
		require.Equal(t, before+1, serviceRuns(c), what)
		for range 2 {
			requireUnknown(post(t, http.MethodPost, url, "key-"+what), what)
			require.Equal(t, before+2, serviceRuns(c), what)
		}
		requireUnknown(post(t, http.MethodGet, url+"/b1", ""), what)
		require.Greater(t, serviceRuns(c), before+2, what)
	}
	for _, status := range []int{400, 404, 409, 418, 422, 500, 501, 502, 504} {
		fail(status)
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			got := post(t, method, url, "")
			require.Equal(t, status, got.status)
			require.Equal(t, "failed after the run", got.body)
		}
	}
}

// TestServiceThatFailsAtOnceIsEjected has one of two plain services fail every call at once. Most calls must be served.
func TestServiceThatFailsAtOnceIsEjected(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, Layout{
				Engines:       1,
				PlainServices: 2,
				Entries:       1,
			})
			url := "http://" + c.Entries()[0].CallerAddr() + "/services/studio-app/bookings"
			c.Services()[1].Faults().SetSlow(60 * time.Millisecond)
			c.Services()[0].FailAfterRuns(status)
			var served atomic.Int64
			var calls conc.WaitGroup
			for range failingCalls {
				calls.Go(func() {
					if post(t, http.MethodPost, url, "").status == http.StatusCreated {
						served.Add(1)
					}
				})
				time.Sleep(failingInterval)
			}
			calls.Wait()
			t.Logf("%d of %d served", served.Load(), failingCalls)
			require.Greater(t, served.Load(), int64(failingCalls*3/4))
		})
	}
}

// TestStatusOfAnEngineThatRanIsNoPromise has engines start generations and respond with statuses that would tell callers that they have not
// run.
func TestStatusOfAnEngineThatRanIsNoPromise(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string][]standinengine.Faults{
		"request timeout":            {{FailStarted: http.StatusRequestTimeout}, {FailStarted: http.StatusRequestTimeout}},
		"misdirected":                {{FailStarted: http.StatusMisdirectedRequest}, {FailStarted: http.StatusMisdirectedRequest}},
		"too many requests":          {{FailStarted: http.StatusTooManyRequests}, {FailStarted: http.StatusTooManyRequests}},
		"unavailable":                {{FailStarted: http.StatusServiceUnavailable}, {FailStarted: http.StatusServiceUnavailable}},
		"refused by the next engine": {{FailStarted: http.StatusServiceUnavailable}, {RefuseWork: 1000}},
		"refused by the first one":   {{RefuseWork: 1000}, {FailStarted: http.StatusServiceUnavailable}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, Layout{
				Engines: 2,
				Entries: 1,
			})
			for i, e := range c.Engines() {
				e.SetFaults(faults[i])
			}
			caller := NewCaller("studio-1")
			defer caller.Close()
			_, err := caller.Chat(t.Context(), c.Entries()[0].CallerAddr(), "stundenplan", "who swapped Tuesday salsa", 3)
			var problem *ProblemError
			require.ErrorAs(t, err, &problem)
			runs := 0
			for _, e := range c.Engines() {
				runs += len(e.Record().Runs)
			}
			if runs == 0 {
				// Retries are limited, so that the second engine may not be tried.
				require.Positive(t, faults[0].RefuseWork+faults[1].RefuseWork)
				require.Equal(t, waxwingpick.OutcomeNotRun, problem.Problem().Outcome)
				return
			}
			require.Equal(t, waxwingpick.OutcomeUnknown, problem.Problem().Outcome)
			require.Equal(t, http.StatusBadGateway, problem.Problem().Status)
		})
	}
}
