package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/retry"
	"waxwingpick/internal/loopback"
	"waxwingpick/internal/standin/flood"
	"waxwingpick/internal/standin/store"
	"waxwingpick/internal/standin/target"
	"waxwingpick/io/jsonlines"
	"waxwingpick/platform"
)

// routes is the configuration of the tests: a resumable stream, one that is not, a read and an order.
func routes(version int) map[string]any {
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name":            name,
			"host":            "a.example",
			"pathPrefix":      "/" + name + "/",
			"kind":            kind,
			"timeoutMs":       60_000,
			"targetLatencyMs": 400,
			"service":         service,
			"maxAttempts":     attempts,
			"resumable":       resumable,
			"gapAimMs":        300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("quick", "streaming", "llm", 2, true),
			route("long", "streaming", "llm", 1, false),
			route("read", "idempotent", "app", 2, false),
			route("order", "non_idempotent", "app", 2, false),
		},
		"services": []any{
			map[string]any{
				"name": "llm",
				"engine": map[string]any{
					"slots":        32,
					"kvTokens":     400_000,
					"kvTokenBytes": 35_000,
					"linkMbps":     200_000,
					"handleTtlS":   5,
				},
			},
			map[string]any{
				"name": "app",
			},
		},
	}
}

// site is a gateway with its platform on stand-ins.
type site struct {
	t        *testing.T
	store    *store.Server
	engines  []*target.Target
	services []*target.Target
	process  *gatewayProcess
	boot     platform.Boot
	http     *http.Client
}

func newSite(t *testing.T) *site {
	s := &site{
		t:    t,
		http: &http.Client{},
	}
	var err error
	s.store, err = store.New()
	require.NoError(t, err)
	t.Cleanup(s.store.Close)
	for i, stage := range []string{"decode", "decode", "prefill"} {
		s.engines = append(s.engines, s.add(fmt.Sprint("engine", i), stage, "llm"))
	}
	for i := range 2 {
		s.services = append(s.services, s.add(fmt.Sprint("app", i), "", "app"))
	}
	require.NoError(t, s.store.Put(t.Context(), "op/config", routes(1)))
	return s
}

// startSite returns a site whose gateway serves until the test's end.
func startSite(t *testing.T) *site {
	s := newSite(t)
	s.start()
	t.Cleanup(s.stop)
	return s
}

func (s *site) add(id, stage, service string) *target.Target {
	one, err := target.New(id, stage)
	require.NoError(s.t, err)
	s.t.Cleanup(one.Close)
	require.NoError(s.t, s.store.Put(s.t.Context(), "servers/"+id, one.Entry(service, "zone", "ready")))
	return one
}

// start runs the gateway and waits until the balancer would send it callers.
func (s *site) start() {
	s.launch(2 * time.Second)
	require.Eventually(s.t, s.ready, time.Minute, 5*time.Millisecond)
	// Until it knows the others it has no retries saved up.
	s.awaitMetric(s.boot, "waxwingpick_gateway_sharing 1\n")
}

// setFaults gives several targets the same faults.
func setFaults(f target.Faults, targets ...*target.Target) {
	for _, one := range targets {
		one.SetFaults(f)
	}
}

// launch runs the gateway with the time that it has to stop.
func (s *site) launch(grace time.Duration) {
	s.boot = bootOf(s.t, "gateway", s.store.Addr(), grace)
	s.process = launch(s.t, s.boot)
}

func bootOf(t *testing.T, instance waxwingpick.InstanceID, storeAddr string, grace time.Duration) platform.Boot {
	free := func() string {
		addr, err := loopback.Free()
		require.NoError(t, err)
		return addr
	}
	peers, err := netip.ParseAddrPort(free())
	require.NoError(t, err)
	return platform.Boot{
		Instance:     instance,
		Zone:         "zone",
		IP:           loopback.Host(),
		InternalPort: int(peers.Port()),
		Callers:      free(),
		Balancer:     free(),
		Metrics:      free(),
		Store:        storeAddr,
		Memory:       256 << 20,
		Descriptors:  4096,
		Grace:        grace,
		// Single requests are repeated, soon after the start.
		Retries: retry.Bounds{
			Ratio:  1,
			Slack:  1_000_000,
			Window: 10 * time.Second,
		},
	}
}

func launch(t *testing.T, boot platform.Boot) *gatewayProcess {
	lines := jsonlines.New(t.Output())
	t.Cleanup(func() {
		lines.Close(context.Background())
	})
	p, err := newGatewayProcess(boot, lines)
	require.NoError(t, err)
	require.NoError(t, p.Start())
	return p
}

func (s *site) ready() bool {
	resp, err := s.http.Get("http://" + s.boot.Balancer + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) stop() {
	require.NoError(s.t, s.process.Stop(context.Background()))
}

// ask sends a request as the platform's callers do.
func (s *site) ask(id, path, body string, fields ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.boot.Callers+path, strings.NewReader(body))
	require.NoError(s.t, err)
	req.Host = "a.example"
	req.Header.Set("Waxwingpick-Request-Id", id)
	req.Header.Set("Waxwingpick-Deadline-Ms", "60000")
	if strings.HasPrefix(path, "/quick/") || strings.HasPrefix(path, "/long/") {
		req.Header.Set("Waxwingpick-Model-Name", "m")
		req.Header.Set("Waxwingpick-Token-Counts", "30000,10")
		req.Header.Set("Waxwingpick-Prompt-Prefix", "aa:29000,bb:1000")
	}
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	return s.http.Do(req)
}

// read returns the status and the whole body; whole is false for one that broke off.
func (s *site) read(resp *http.Response, err error) (status int, body string, whole bool) {
	require.NoError(s.t, err)
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(all), err == nil
}

// wholeStream is what callers get of a stream without faults.
func wholeStream() string {
	var b strings.Builder
	for i := range target.Events {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return b.String()
}

func (s *site) runs() []target.Run {
	var all []target.Run
	for _, one := range append(append([]*target.Target(nil), s.engines...), s.services...) {
		all = append(all, one.Runs()...)
	}
	return all
}

func TestGatewayServesTheWholePath(t *testing.T) {
	t.Parallel()
	s := startSite(t)

	status, body, whole := s.read(s.ask("id1", "/quick/a?b=%2F", "prompt"))
	require.Equal(t, http.StatusOK, status)
	require.True(t, whole)
	require.Equal(t, wholeStream(), body)
	runs := s.runs()
	require.Len(t, runs, 1)
	require.Equal(t, "/quick/a?b=%2F", runs[0].URI)
	require.Equal(t, "prompt", runs[0].Body)
	require.Equal(t, "id1", runs[0].ID)
	require.Equal(t, "aa:29000,bb:1000", runs[0].Headers["Waxwingpick-Prompt-Prefix"])
	// A prompt of this length is read by the prefill engine, and its KV cache fetched from there.
	require.Contains(t, runs[0].Headers["Waxwingpick-Kv-Source"], s.engines[2].Addr()+"/handle")

	resp, err := s.ask("id2", "/order/1", "book")
	require.NoError(t, err)
	require.Equal(t, "id2", resp.Header.Get("Waxwingpick-Request-Id"))
	require.Contains(t, resp.Header.Get("Waxwingpick-Server-Stamp"), "stamp-of-app")
	require.Empty(t, resp.Header.Get("Waxwingpick-Instance-Load"))
	_, body, _ = s.read(resp, nil)
	require.Contains(t, body, "answer of app")

	status, _, _ = s.read(s.ask("id3", "/none/1", ""))
	require.Equal(t, http.StatusNotFound, status)
}

func TestCallersCannotSetWhatTheSystemSets(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	forged := []string{
		"Waxwingpick-Serving-Stage", "prefill",
		"Waxwingpick-Kv-Source", "1.2.3.4:5/forged",
		"Waxwingpick-Kv-Hold", "forged",
		"Waxwingpick-Kv-Backup", "forged",
		"Waxwingpick-Pin-Ms", "4000",
		"Waxwingpick-Expect-Instance", "forged",
		"Waxwingpick-Expect-Version", "9",
		"Waxwingpick-Request-Priority", "7",
		"Kv-Fetch", "forged",
		"Connection", "x-hop",
		"X-Hop", "one connection",
		"X-Own", "passes",
	}
	_, _, whole := s.read(s.ask("id", "/quick/a", "", forged...))
	require.True(t, whole)
	runs := s.runs()
	require.Len(t, runs, 1)
	h := runs[0].Headers
	for _, name := range []string{
		"Waxwingpick-Serving-Stage", "Waxwingpick-Kv-Hold", "Waxwingpick-Kv-Backup", "Waxwingpick-Pin-Ms",
		"Waxwingpick-Expect-Version", "Kv-Fetch", "X-Hop",
	} {
		require.NotContains(t, h, name)
	}
	require.NotContains(t, h["Waxwingpick-Kv-Source"], "forged")
	require.Equal(t, "0", h["Waxwingpick-Request-Priority"])
	require.Equal(t, "passes", h["X-Own"])
}

// TestEnginesCopyFromEachOther asks for one prompt until the engine that runs it is told where else its KV cache is kept.
func TestEnginesCopyFromEachOther(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	asked := 0
	require.Eventually(t, func() bool {
		asked++
		_, _, whole := s.read(s.ask(fmt.Sprint("id", asked), "/quick/a", ""))
		require.True(t, whole)
		runs := s.runs()
		require.Len(t, runs, asked)
		return runs[len(runs)-1].Headers["Kv-Fetch"] == s.engines[2].Addr()
	}, time.Minute, 100*time.Millisecond)
	require.Empty(t, s.engines[2].Runs())
	require.Empty(t, s.runs()[0].Headers["Kv-Fetch"], "nothing was kept yet")
}

func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	setFaults(target.Faults{
		BreakAfter: 3,
	}, s.engines[:2]...)
	status, body, whole := s.read(s.ask("id", "/quick/a", ""))
	require.Equal(t, http.StatusOK, status)
	require.True(t, whole)
	require.Equal(t, wholeStream(), body)
	runs := s.runs()
	require.Len(t, runs, 2)
	require.Equal(t, "3", runs[1].Headers["Last-Event-Id"]+runs[0].Headers["Last-Event-Id"])
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	setFaults(target.Faults{
		BreakAfter: 3,
	}, s.engines[:2]...)
	status, body, whole := s.read(s.ask("id", "/long/a", ""))
	require.Equal(t, http.StatusOK, status)
	require.False(t, whole)
	// Only whole events are passed on.
	require.Equal(t, wholeStream()[:len(body)], body)
	require.NotContains(t, body, "half of")
	require.Len(t, s.runs(), 1)
}

func TestOrderRunsOnceAndItsRefusalIsTrue(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	// Not run by any: the caller hears so, and when to come back.
	setFaults(target.Faults{
		Full: true,
	}, s.services...)
	resp, err := s.ask("id1", "/order/1", "book")
	require.NoError(t, err)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	status, _, _ := s.read(resp, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Empty(t, s.runs())
	// Run, with its answer lost: no second run, and no word that it has not run.
	for _, one := range s.services {
		one.SetFaults(target.Faults{})
		one.LoseAnswers("/order/", 1)
	}
	status, _, _ = s.read(s.ask("id2", "/order/1", "book"))
	require.Equal(t, http.StatusBadGateway, status)
	require.Len(t, s.runs(), 1)
}

func TestFailureOfOneTargetIsRepeatedWhereThatIsAllowed(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	s.services[0].SetFaults(target.Faults{
		Status: http.StatusInternalServerError,
	})
	for i := range 6 {
		status, body, _ := s.read(s.ask(fmt.Sprint("read", i), "/read/1", ""))
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, "answer of app1")
	}
	// A target's own failure is an answer, which the caller of an order gets as it is.
	setFaults(target.Faults{
		Status: http.StatusInternalServerError,
	}, s.services...)
	resp, err := s.ask("order", "/order/1", "")
	require.NoError(t, err)
	require.NotEmpty(t, resp.Header.Get("Waxwingpick-Server-Stamp"))
	status, body, _ := s.read(resp, nil)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Contains(t, body, "failure of app")
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	require.NoError(t, s.store.Put(t.Context(), "servers/app0", s.services[0].Entry("app", "zone", "draining")))
	require.Eventually(t, func() bool {
		before := len(s.services[0].Runs())
		for i := range 4 {
			_, _, _ = s.read(s.ask(fmt.Sprint(i), "/read/1", ""))
		}
		return len(s.services[0].Runs()) == before
	}, time.Minute, time.Millisecond)
	require.NoError(t, s.store.Remove(t.Context(), "servers/app1"))
	require.Eventually(t, func() bool {
		status, _, _ := s.read(s.ask("id", "/read/1", ""))
		return status == http.StatusServiceUnavailable
	}, time.Minute, time.Millisecond)
}

func TestConfigurationChangesComeIntoForceAndStay(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	next := routes(5)
	next["routes"] = next["routes"].([]any)[:3]
	require.NoError(t, s.store.Put(t.Context(), "op/config", next))
	gone := func() bool {
		status, _, _ := s.read(s.ask("id", "/order/1", ""))
		return status == http.StatusNotFound
	}
	require.Eventually(t, gone, time.Minute, time.Millisecond)
	// An older version that shows up late, as after a lost history, changes nothing.
	s.store.Forget()
	require.NoError(t, s.store.Put(t.Context(), "op/config", routes(4)))
	require.NoError(t, s.store.Put(t.Context(), "servers/marker", "unreadable"))
	for range 20 {
		require.True(t, gone())
		time.Sleep(10 * time.Millisecond)
	}
	require.NoError(t, s.store.Put(t.Context(), "op/config", routes(6)))
	require.Eventually(t, func() bool {
		return !gone()
	}, time.Minute, time.Millisecond)
}

func TestServingGoesOnWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	s.store.Store().SetDown(true)
	require.True(t, s.ready())
	status, _, _ := s.read(s.ask("id", "/read/1", ""))
	require.Equal(t, http.StatusOK, status)
	// Entries that lapse meanwhile are back soon after its return.
	s.store.Store().SetDown(false)
	require.NoError(t, s.store.Put(t.Context(), "op/config", routes(2)))
	status, _, _ = s.read(s.ask("id", "/read/1", ""))
	require.Equal(t, http.StatusOK, status)
}

func TestRequestsBeforeTheConfigurationIsKnownAreRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.store.Store().SetDown(true)
	s.launch(time.Second)
	defer s.stop()
	require.False(t, s.ready())
	resp, err := s.ask("id", "/read/1", "")
	require.NoError(t, err)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	status, _, _ := s.read(resp, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	s.store.Store().SetDown(false)
	require.Eventually(t, s.ready, time.Minute, time.Millisecond)
}

func TestCallerThatLeavesFreesItsTarget(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	setFaults(target.Faults{
		Silence: time.Hour,
	}, s.services...)
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.boot.Callers+"/read/1", nil)
	require.NoError(t, err)
	req.Host = "a.example"
	done := make(chan error, 1)
	go func() {
		_, err := s.http.Do(req)
		done <- err
	}()
	require.Eventually(t, func() bool {
		return s.process.gateway.Running() == 1
	}, time.Minute, time.Millisecond)
	leave()
	require.ErrorIs(t, <-done, context.Canceled)
	require.Eventually(t, func() bool {
		return s.process.gateway.Running() == 0
	}, time.Minute, time.Millisecond)
}

func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	// The requests' time is short beside this, also on a busy machine.
	s.launch(8 * time.Second)
	require.Eventually(t, s.ready, time.Minute, 5*time.Millisecond)
	setFaults(target.Faults{
		Silence: 300 * time.Millisecond,
	}, s.services...)
	answers := make(chan error, 4)
	for i := range cap(answers) {
		go func() {
			resp, err := s.ask(fmt.Sprint(i), "/order/1", "book")
			if err == nil {
				_, err = bufio.NewReader(resp.Body).ReadString(0)
				resp.Body.Close()
				if errors.Is(err, io.EOF) && resp.StatusCode == http.StatusOK {
					err = nil
				}
			}
			answers <- err
		}()
	}
	require.Eventually(t, func() bool {
		return s.process.gateway.Running() == cap(answers)
	}, time.Minute, time.Millisecond)
	s.stop()
	for range cap(answers) {
		require.NoError(t, <-answers)
	}
}

func TestEngineThatDoesNotReadIsPassedOver(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	reader := s.engines[2]
	reader.SetFaults(target.Faults{
		Full: true,
	})
	// Reading a prompt is no attempt, so that even a route with one attempt goes on with an engine that does both.
	status, body, whole := s.read(s.ask("id", "/long/a", ""))
	require.Equal(t, http.StatusOK, status)
	require.True(t, whole)
	require.Equal(t, wholeStream(), body)
	require.Len(t, s.runs(), 1)
	require.Equal(t, 1, reader.Refused())
}

// TestAbsentEnginesCostNoRequest lists an engine that takes no connection and one whose address another target has: even on
// a route with one attempt requests go on elsewhere, and soon all of them go there at once.
func TestAbsentEnginesCostNoRequest(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.engines[0].Close()
	ghost := s.engines[1].Entry("llm", "zone", "ready")
	require.NoError(t, s.store.Put(t.Context(), "servers/ghost", ghost))
	s.start()
	defer s.stop()
	const asked = 20
	for i := range asked {
		status, body, whole := s.read(s.ask(fmt.Sprint("id", i), "/long/a", ""))
		require.Equal(t, http.StatusOK, status, "%d: %s", i, body)
		require.True(t, whole)
	}
	require.Len(t, s.runs(), asked)
	require.Less(t, s.engines[1].Misdirected(), asked/2)
}

// TestPromptIsReadOnceWhereOnlyItsSecondLegFails has the engine that is to generate be away, another one or full: the KV
// cache that was read is still good for the next one.
func TestPromptIsReadOnceWhereOnlyItsSecondLegFails(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(s *site){
		"away": func(s *site) {
			s.engines[0].Close()
		},
		"another target": func(s *site) {
			require.NoError(t, s.store.Put(t.Context(), "servers/a-ghost", s.engines[1].Entry("llm", "zone", "ready")))
		},
		"full": func(s *site) {
			s.engines[0].SetFaults(target.Faults{
				Full: true,
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			spoil(s)
			s.start()
			defer s.stop()
			// More refusals in a row would stop retries.
			const asked = 5
			for i := range asked {
				resp, err := s.ask(fmt.Sprint("id", i), "/quick/a", "", "Waxwingpick-Prompt-Prefix", fmt.Sprintf("%x:29000", 1+i))
				status, body, whole := s.read(resp, err)
				require.Equal(t, http.StatusOK, status, "%d: %s", i, body)
				require.True(t, whole)
			}
			require.Len(t, s.runs(), asked)
			require.LessOrEqual(t, s.engines[2].Readings(), asked)
			require.Eventually(t, func() bool {
				return s.engines[2].Handles() == s.taken()
			}, time.Minute, time.Millisecond)
		})
	}
}

// taken returns how many runs began with KV cache that was read elsewhere.
func (s *site) taken() int {
	n := 0
	for _, r := range s.runs() {
		if r.Headers["Waxwingpick-Kv-Source"] != "" {
			n++
		}
	}
	return n
}

// TestRequestThatCrashesTargetsCostsTwoOfThem has a request sent again and again that crashes each target which runs it, at
// two gateways in turn; both serve other requests afterwards.
func TestRequestThatCrashesTargetsCostsTwoOfThem(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	for i := range 4 {
		s.services = append(s.services, s.add(fmt.Sprint("more", i), "", "app"))
	}
	setFaults(target.Faults{
		CrashOn: "poison",
	}, s.services...)
	s.start()
	defer s.stop()
	first := s.boot
	other := s.join()
	status, _, _ := s.read(s.ask("poison0", "/read/poison", "poison"))
	require.Equal(t, http.StatusBadGateway, status)
	require.Eventually(t, func() bool {
		for i, boot := range []platform.Boot{other, first} {
			s.boot = boot
			resp, err := s.ask(fmt.Sprint("poison", 1+i), "/read/poison", "poison")
			if status, _, _ := s.read(resp, err); status != http.StatusServiceUnavailable {
				return false
			}
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
		}
		return true
	}, time.Minute, 10*time.Millisecond)
	for i, boot := range []platform.Boot{first, other} {
		s.boot = boot
		status, _, _ = s.read(s.ask(fmt.Sprint("sound", i), "/read/sound", "sound"))
		require.Equal(t, http.StatusOK, status)
	}
	crashed := 0
	for _, r := range s.runs() {
		if r.Body == "poison" {
			crashed++
		}
	}
	require.Equal(t, 2, crashed)
}

// join runs a second gateway until the test's end, and waits until both tell each other load.
func (s *site) join() platform.Boot {
	other := launch(s.t, bootOf(s.t, "other", s.store.Addr(), time.Second))
	s.t.Cleanup(func() {
		require.NoError(s.t, other.Stop(context.Background()))
	})
	for _, boot := range []platform.Boot{s.boot, other.boot} {
		s.awaitPeers(boot, 1)
	}
	return other.boot
}

// awaitPeers waits until a gateway tells its load to so many others.
func (s *site) awaitPeers(boot platform.Boot, n int) {
	s.awaitMetric(boot, fmt.Sprintf("waxwingpick_gateway_peers %d\n", n))
}

// awaitMetric waits until the metrics of a gateway have a line.
func (s *site) awaitMetric(boot platform.Boot, line string) {
	require.Eventually(s.t, func() bool {
		return s.hasMetric(boot, line)
	}, time.Minute, 10*time.Millisecond, line)
}

// hasMetric reports whether the metrics of a gateway have a line.
func (s *site) hasMetric(boot platform.Boot, line string) bool {
	resp, err := s.http.Get("http://" + boot.Metrics + "/metrics")
	if err != nil {
		return false
	}
	status, body, whole := s.read(resp, nil)
	return status == http.StatusOK && whole && strings.Contains(body, line)
}

// TestGatewaysFindEachOther starts a second gateway and reads from the metrics of both that they tell each other load.
func TestGatewaysFindEachOther(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	s.join()
}

// TestTargetsThatSendWithoutEndHarmNobodyElse has every target of one service send bytes without end: its callers are told
// that their requests may have run, and those of the other service are served meanwhile.
func TestTargetsThatSendWithoutEndHarmNobodyElse(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n"
	for name, first := range map[string]string{
		"head": "",
		"body": head + "\r\n",
		"size": head + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			endless, err := flood.New(first, strings.Repeat("0", 8<<10), 0)
			require.NoError(t, err)
			t.Cleanup(endless.Close)
			for i := range s.services {
				entry := s.services[i].Entry("app", "zone", "ready")
				entry["address"] = endless.Addr()
				require.NoError(t, s.store.Put(t.Context(), fmt.Sprint("servers/app", i), entry))
			}
			s.start()
			defer s.stop()
			for i := range 5 {
				status, _, _ := s.read(s.ask(fmt.Sprint("order", i), "/order/1", "book"))
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status)
				status, body, whole := s.read(s.ask(fmt.Sprint("quick", i), "/quick/a", ""))
				require.Equal(t, http.StatusOK, status)
				require.True(t, whole)
				require.Equal(t, wholeStream(), body)
			}
			select {
			case <-endless.Cut():
			case <-time.After(time.Minute):
				require.Fail(t, "a target still sends")
			}
		})
	}
}
