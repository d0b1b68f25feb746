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
	// callers is the number of callers of each gateway, each of which pauses for callerPause between two requests.
	callers     = 3
	callerPause = 20 * time.Millisecond
)

// loadedFleet is a set of gateways that share a store and targets.
type loadedFleet struct {
	*testGateway
	gateways []platform.Boot
	sent     atomic.Int64
	failed   atomic.Int64
}

func startLoadedFleet(t *testing.T, gateways int) *loadedFleet {
	f := &loadedFleet{
		testGateway: startTestGateway(t),
	}
	f.gateways = append(f.gateways, f.boot)
	for i := range gateways - 1 {
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
func (f *loadedFleet) load(ctx context.Context, path string) {
	var wg conc.WaitGroup
	for g, boot := range f.gateways {
		for c := range callers {
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
func (f *loadedFleet) request(boot platform.Boot, id, path string) {
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

// awaitStated waits until a kind of statement of one target applies at each gateway.
func (f *loadedFleet) awaitStated(kind string) {
	for _, boot := range f.gateways {
		f.awaitMetric(boot, fmt.Sprintf("waxwingpick_gateway_stated_targets{kind=%q} 1\n", kind))
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
		limited func(f *loadedFleet) *target.Target
		// decodeDelay delays the responses of the decode engines, so that prompts are prefilled at the other engine.
		decodeDelay time.Duration
	}{
		"plain service": {
			path:    "/read/x",
			limited: func(f *loadedFleet) *target.Target { return f.services[0] },
		},
		"decode engine": {
			path:    "/quick/x",
			limited: func(f *loadedFleet) *target.Target { return f.engines[0] },
		},
		"prefill engine": {
			path:    "/quick/x",
			limited: func(f *loadedFleet) *target.Target { return f.engines[2] },

			decodeDelay: 100 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startLoadedFleet(t, 3)
			setFaults(target.Faults{
				ResponseDelay: c.decodeDelay,
			}, f.engines[:2]...)
			limited := c.limited(f)
			limited.SetFaults(target.Faults{
				RequestLimit: strconv.Itoa(statedLimit),
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var load conc.WaitGroup
			load.Go(func() { f.load(ctx, c.path) })
			f.awaitStated("requestLimit")
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
			load.Wait()
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
	s.awaitMetric(s.boot, "waxwingpick_gateway_stated_targets{kind=\"requestLimit\"} 2\n")
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

// TestTargetThatStatesItsLeaveGetsNoNewRequests guards against gateways that read the leave of a target from the platform's
// list only, and against gateways that learn it only from their own requests.
func TestTargetThatStatesItsLeaveGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	const drainTime = 2 * time.Second
	for name, c := range map[string]struct {
		path        string
		leaving     func(f *loadedFleet) *target.Target
		decodeDelay time.Duration
	}{
		"plain service": {
			path:    "/order/x",
			leaving: func(f *loadedFleet) *target.Target { return f.services[0] },
		},
		"decode engine": {
			path:    "/quick/x",
			leaving: func(f *loadedFleet) *target.Target { return f.engines[0] },
		},
		"prefill engine": {
			path:        "/quick/x",
			leaving:     func(f *loadedFleet) *target.Target { return f.engines[2] },
			decodeDelay: 100 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startLoadedFleet(t, 2)
			setFaults(target.Faults{
				ResponseDelay: c.decodeDelay,
			}, f.engines[:2]...)
			leaving := c.leaving(f)
			leaving.SetFaults(target.Faults{
				Leaving: true,
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var load conc.WaitGroup
			load.Go(func() { f.load(ctx, c.path) })
			require.Eventually(t, func() bool {
				return len(leaving.Arrivals()) > 0
			}, time.Minute, time.Millisecond)
			time.Sleep(drainTime)
			from := time.Now()
			time.Sleep(drainTime)
			require.Zero(t, arrivedSince(leaving, from, time.Now()))
			f.awaitStated("leaving")
			cancel()
			load.Wait()
			require.Zero(t, f.failed.Load(), "failed requests of %d", f.sent.Load())
		})
	}
}

// TestGatewayObeysALeaveThatAnotherOneReceived guards against a gateway that sends to a leaving target because it has sent
// nothing there before.
func TestGatewayObeysALeaveThatAnotherOneReceived(t *testing.T) {
	t.Parallel()
	f := startLoadedFleet(t, 2)
	f.services[0].SetFaults(target.Faults{
		Leaving: true,
	})
	for i := 0; len(f.services[0].Arrivals()) == 0; i++ {
		f.request(f.gateways[0], fmt.Sprint("first-", i), "/read/x")
	}
	f.awaitStated("leaving")
	before := len(f.services[0].Arrivals())
	for i := range 20 {
		f.request(f.gateways[1], fmt.Sprint("second-", i), "/read/x")
	}
	require.Equal(t, before, len(f.services[0].Arrivals()))
	require.Zero(t, f.failed.Load())
}

// TestRestartedTargetIsUsedAgain guards against a leave or a limit that outlasts the incarnation that stated it.
func TestRestartedTargetIsUsedAgain(t *testing.T) {
	t.Parallel()
	f := startLoadedFleet(t, 1)
	restarted := f.services[0]
	restarted.SetFaults(target.Faults{
		Leaving:      true,
		RequestLimit: "0",
	})
	for i := 0; len(restarted.Arrivals()) == 0; i++ {
		f.request(f.gateways[0], fmt.Sprint("first-", i), "/read/x")
	}
	f.awaitStated("leaving")
	restarted.SetFaults(target.Faults{})
	record := restarted.ListRecord("app", "zone", "ready")
	record["born"] = time.Now().UnixMilli()
	require.NoError(t, f.store.Put(t.Context(), "servers/app0", record))
	before := len(restarted.Arrivals())
	require.Eventually(t, func() bool {
		f.request(f.gateways[0], fmt.Sprint("again-", time.Now().UnixNano()), "/read/x")
		return len(restarted.Arrivals()) > before
	}, time.Minute, 10*time.Millisecond)
	require.Zero(t, f.failed.Load())
}

// TestTargetsThatStateADelayAreLeftAlone guards against requests to targets that have rejected one with a Retry-After.
func TestTargetsThatStateADelayAreLeftAlone(t *testing.T) {
	t.Parallel()
	const (
		delay = 3 * time.Second
		// A target may receive allowed requests of each gateway from grace after its response to the end of the delay.
		grace   = 500 * time.Millisecond
		allowed = 2
	)
	f := startLoadedFleet(t, 1)
	setFaults(target.Faults{
		Full:       true,
		RetryAfter: strconv.FormatFloat(delay.Seconds(), 'f', -1, 64),
	}, f.services...)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var load conc.WaitGroup
	load.Go(func() { f.load(ctx, "/order/x") })
	require.Eventually(t, func() bool {
		return f.services[0].Refused() > 0 && f.services[1].Refused() > 0
	}, time.Minute, time.Millisecond)
	for _, full := range f.services {
		refusedAt := full.Arrivals()[0]
		time.Sleep(time.Until(refusedAt.Add(delay - 100*time.Millisecond)))
		require.LessOrEqual(t, arrivedSince(full, refusedAt.Add(grace), refusedAt.Add(delay-100*time.Millisecond)), allowed)
	}
	require.Empty(t, f.runs())
	setFaults(target.Faults{}, f.services...)
	require.Eventually(t, func() bool {
		return len(f.runs()) > 0
	}, 20*time.Second, 10*time.Millisecond, "the delays have ended")
	cancel()
	load.Wait()
	require.EqualValues(t, f.sent.Load(), int(f.failed.Load())+len(f.runs()), "what was refused has not run")
}

// TestStatementsStayWithinTheSystem guards against statements of targets that reach callers, and against callers that
// make statements to targets.
func TestStatementsStayWithinTheSystem(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	setFaults(target.Faults{
		RequestLimit: strings.Repeat("x", 1000),
		Leaving:      true,
	}, s.services...)
	resp, err := s.send("id", "/read/x", "body", "Server-Limit", "1", "Server-Leaving", "1")
	status, _, complete := s.read(resp, err)
	require.True(t, complete)
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, resp.Header.Get("Server-Limit"))
	require.Empty(t, resp.Header.Get("Server-Leaving"))
	require.Len(t, s.runs(), 1)
	require.NotContains(t, s.runs()[0].Headers, "Server-Limit")
	require.NotContains(t, s.runs()[0].Headers, "Server-Leaving")
}
