package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/standin/target"
	"waxwingpick/platform"
)

const (
	// statedLimit is the request limit of the limited target. Each window may hold one and a half times what it allows,
	// and limitSlack requests more.
	statedLimit = 3
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// limitGrace is the time after which a gateway that has received a limit must obey it.
	limitGrace = 500 * time.Millisecond
	// limitCallers is the number of callers of each gateway, each of which pauses for callerPause between two requests.
	limitCallers = 3
	callerPause  = 20 * time.Millisecond
)

// limitFleet is a set of gateways under a steady load.
type limitFleet struct {
	*testGateway
	gateways []platform.Boot
	sent     atomic.Int64
	failed   atomic.Int64
}

func startLimitFleet(t *testing.T) *limitFleet {
	f := &limitFleet{
		testGateway: startTestGateway(t),
	}
	f.gateways = append(f.gateways, f.boot)
	for i := range 2 {
		other := launch(t, bootOf(t, waxwingpick.InstanceID(fmt.Sprint("other", i)), f.store.Addr(), time.Second))
		t.Cleanup(func() {
			require.NoError(t, other.Stop(context.Background()))
		})
		f.gateways = append(f.gateways, other.boot)
	}
	for _, boot := range f.gateways {
		f.awaitPeers(boot, len(f.gateways)-1)
	}
	return f
}

// load sends requests through all gateways until ctx ends.
func (f *limitFleet) load(ctx context.Context, path string) {
	var wg conc.WaitGroup
	for g, boot := range f.gateways {
		for c := range limitCallers {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					f.request(boot, fmt.Sprintf("%d-%d-%d", g, c, i), path)
					time.Sleep(callerPause)
				}
			})
		}
	}
	wg.Wait()
}

// request sends one request through a gateway and counts it.
func (f *limitFleet) request(boot platform.Boot, id, path string) {
	f.sent.Add(1)
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+boot.Callers+path, strings.NewReader("body of "+id))
	if err != nil {
		f.failed.Add(1)
		return
	}
	req.Host = "a.example"
	req.Header.Set("Waxwingpick-Request-Id", id)
	req.Header.Set("Waxwingpick-Deadline-Ms", "10000")
	if strings.HasPrefix(path, "/quick/") {
		req.Header.Set("Waxwingpick-Model-Name", "m")
		req.Header.Set("Waxwingpick-Token-Counts", "2000,10")
		// No two prompts share a prefix, so that engines with cached prefixes attract no requests.
		req.Header.Set("Waxwingpick-Prompt-Prefix", fmt.Sprintf("%x:1500,bb:500", id))
	}
	resp, err := f.http.Do(req)
	if err != nil {
		f.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		f.failed.Add(1)
	}
}

// awaitStated waits until each gateway has received a response that states a limit.
func (f *limitFleet) awaitStated(service string) {
	for _, boot := range f.gateways {
		require.Eventually(f.t, func() bool {
			return !f.hasMetric(boot, `waxwingpick_gateway_statements_total{kind="requestLimit",service="`+service+`"} 0`) &&
				f.hasMetric(boot, `waxwingpick_gateway_statements_total{kind="requestLimit",service="`+service+`"}`)
		}, time.Minute, 10*time.Millisecond)
	}
}

// arrivedSince counts the requests that a target received from then to end.
func arrivedSince(t *target.Target, then, end time.Time) int {
	n := 0
	for _, at := range t.Arrivals() {
		if at.After(then) && !at.After(end) {
			n++
		}
	}
	return n
}

// TestStatedRequestLimitHoldsOverAllGateways guards against gateways that ignore the request limit of a target, or that
// each use all of it.
func TestStatedRequestLimitHoldsOverAllGateways(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path    string
		service string
		limited func(f *limitFleet) *target.Target
		// decodeDelay delays the responses of the decode engines, so that prompts are prefilled at the other engine.
		decodeDelay time.Duration
	}{
		"plain service": {
			path:    "/read/x",
			service: "app",
			limited: func(f *limitFleet) *target.Target { return f.services[0] },
		},
		"decode engine": {
			path:    "/quick/x",
			service: "llm",
			limited: func(f *limitFleet) *target.Target { return f.engines[0] },
		},
		"prefill engine": {
			path:    "/quick/x",
			service: "llm",
			limited: func(f *limitFleet) *target.Target { return f.engines[2] },

			decodeDelay: 100 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startLimitFleet(t)
			setFaults(target.Faults{
				ResponseDelay: c.decodeDelay,
			}, f.engines[:2]...)
			limited := c.limited(f)
			limited.SetFaults(target.Faults{
				RequestLimit: strconv.Itoa(statedLimit),
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var callers conc.WaitGroup
			callers.Go(func() { f.load(ctx, c.path) })
			f.awaitStated(c.service)
			time.Sleep(limitGrace)

			from := time.Now()
			time.Sleep(limitWindow)
			got := arrivedSince(limited, from, from.Add(limitWindow))
			allowed := int(1.5*statedLimit*limitWindow.Seconds()) + limitSlack
			used := int(0.8 * statedLimit * limitWindow.Seconds())
			require.LessOrEqual(t, got, allowed, "requests in %v", limitWindow)
			require.GreaterOrEqual(t, got, used, "requests in %v", limitWindow)

			limited.SetFaults(target.Faults{})
			require.Eventually(t, func() bool {
				now := time.Now()
				return arrivedSince(limited, now.Add(-time.Second), now) > 3*statedLimit
			}, 20*time.Second, 50*time.Millisecond, "the target no longer states a limit")
			cancel()
			callers.Wait()
			require.Zero(t, f.failed.Load(), "failed requests of %d", f.sent.Load())
		})
	}
}

// TestUsedUpLimitsAreRefusedAsNotRun guards against requests that wait for, or are sent to, targets whose limits are
// used up.
func TestUsedUpLimitsAreRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	setFaults(target.Faults{
		RequestLimit: "0",
	}, s.services...)
	for i := range s.services {
		status, _, complete := s.read(s.send(fmt.Sprint("first", i), "/order/x", "body"))
		require.True(t, complete)
		require.Equal(t, http.StatusOK, status)
	}
	s.awaitMetric(s.boot, "waxwingpick_gateway_limited_targets 2\n")
	resp, err := s.send("second", "/order/x", "body")
	status, body, complete := s.read(resp, err)
	require.True(t, complete)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.JSONEq(t, `{"outcome":"notRun","reason":"overload"}`, body)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, after)
	require.Len(t, s.runs(), 2)
}
