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

	"github.com/sourcegraph/conc"
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

// routes returns the configuration of the tests. Its routes are a resumable stream, a stream that is not resumable, an
// idempotent read and a non-idempotent order.
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
				"name":       "llm",
				"healthPath": target.HealthPath,
				"engine": map[string]any{
					"slots":        32,
					"kvTokens":     400_000,
					"kvTokenBytes": 35_000,
					"linkMbps":     200_000,
					"handleTtlS":   5,
				},
			},
			map[string]any{
				"name":       "app",
				"healthPath": target.HealthPath,
			},
		},
	}
}

// testGateway is a gateway with stand-ins for the store and the targets.
type testGateway struct {
	t        *testing.T
	store    *store.Server
	engines  []*target.Target
	services []*target.Target
	process  *gatewayProcess
	boot     platform.Boot
	http     *http.Client
}

func newTestGateway(t *testing.T) *testGateway {
	s := &testGateway{
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

// startTestGateway returns a gateway that serves until the end of the test.
func startTestGateway(t *testing.T) *testGateway {
	s := newTestGateway(t)
	s.start()
	t.Cleanup(s.stop)
	return s
}

func (s *testGateway) add(id, stage, service string) *target.Target {
	added, err := target.New(id, stage)
	require.NoError(s.t, err)
	s.t.Cleanup(added.Close)
	require.NoError(s.t, s.store.Put(s.t.Context(), "servers/"+id, added.ListRecord(service, "zone", "ready")))
	return added
}

// start starts the gateway and waits until the load balancer would send it requests.
func (s *testGateway) start() {
	s.launch(2 * time.Second)
	require.Eventually(s.t, s.ready, time.Minute, 5*time.Millisecond)
	// The retry budget is empty until the gateway knows the number of gateways that share it.
	s.awaitMetric(s.boot, "waxwingpick_gateway_sharing 1\n")
}

// setFaults sets the same faults for several targets.
func setFaults(f target.Faults, targets ...*target.Target) {
	for _, tgt := range targets {
		tgt.SetFaults(f)
	}
}

// launch starts the gateway with the given grace period for its stop.
func (s *testGateway) launch(grace time.Duration) {
	s.boot = bootOf(s.t, "gateway", s.store.Addr(), grace)
	s.process = launch(s.t, s.boot)
}

func bootOf(t *testing.T, instance waxwingpick.InstanceID, storeAddr string, grace time.Duration) platform.Boot {
	free := func() string {
		addr, err := loopback.FreeAddr()
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
		// A large budget, so that tests with single requests get their retries, also soon after the start.
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

func (s *testGateway) ready() bool {
	resp, err := s.http.Get("http://" + s.boot.Balancer + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *testGateway) stop() {
	require.NoError(s.t, s.process.Stop(context.Background()))
}

// send sends a request with the headers that the platform's callers set. The fields are pairs of further headers and
// their values. A name that begins with "+" adds a field and keeps those of the same name.
func (s *testGateway) send(id, path, body string, fields ...string) (*http.Response, error) {
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
		if name, added := strings.CutPrefix(fields[i], "+"); added {
			req.Header[name] = append(req.Header[name], fields[i+1])
			continue
		}
		req.Header.Set(fields[i], fields[i+1])
	}
	return s.http.Do(req)
}

// read returns the status and the body of a response. It returns false for complete if the body was truncated.
func (s *testGateway) read(resp *http.Response, err error) (status int, body string, complete bool) {
	require.NoError(s.t, err)
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err == nil
}

// completeStream returns the body of a stream without faults.
func completeStream() string {
	var b strings.Builder
	for i := range target.Events {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return b.String()
}

func (s *testGateway) runs() []target.Run {
	var all []target.Run
	for _, tgt := range append(append([]*target.Target(nil), s.engines...), s.services...) {
		all = append(all, tgt.Runs()...)
	}
	return all
}

func TestGatewayServesTheWholePath(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)

	status, body, complete := s.read(s.send("id1", "/quick/a?b=%2F", "prompt"))
	require.Equal(t, http.StatusOK, status)
	require.True(t, complete)
	require.Equal(t, completeStream(), body)
	runs := s.runs()
	require.Len(t, runs, 1)
	require.Equal(t, "/quick/a?b=%2F", runs[0].URI)
	require.Equal(t, "prompt", runs[0].Body)
	require.Equal(t, "id1", runs[0].ID)
	require.Equal(t, "aa:29000,bb:1000", runs[0].Headers["Waxwingpick-Prompt-Prefix"])
	// The prefill stage of a prompt of this length runs on the prefill engine, from which the KV cache is fetched.
	require.Contains(t, runs[0].Headers["Waxwingpick-Kv-Source"], s.engines[2].Addr()+"/handle")

	resp, err := s.send("id2", "/order/1", "book")
	require.NoError(t, err)
	require.Equal(t, "id2", resp.Header.Get("Waxwingpick-Request-Id"))
	require.Contains(t, resp.Header.Get("Waxwingpick-Server-Stamp"), "stamp-of-app")
	require.Empty(t, resp.Header.Get("Waxwingpick-Instance-Load"))
	_, body, _ = s.read(resp, nil)
	require.Contains(t, body, "answer of app")

	status, _, _ = s.read(s.send("id3", "/none/1", ""))
	require.Equal(t, http.StatusNotFound, status)
}

func TestCallersCannotSetWhatTheSystemSets(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
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
	_, _, complete := s.read(s.send("id", "/quick/a", "", forged...))
	require.True(t, complete)
	runs := s.runs()
	require.Len(t, runs, 1)
	headers := runs[0].Headers
	for _, name := range []string{
		"Waxwingpick-Serving-Stage", "Waxwingpick-Kv-Hold", "Waxwingpick-Kv-Backup", "Waxwingpick-Pin-Ms",
		"Waxwingpick-Expect-Version", "Kv-Fetch", "X-Hop",
	} {
		require.NotContains(t, headers, name)
	}
	require.NotContains(t, headers["Waxwingpick-Kv-Source"], "forged")
	require.Equal(t, "0", headers["Waxwingpick-Request-Priority"])
	require.Equal(t, "passes", headers["X-Own"])
}

// TestEnginesCopyFromEachOther repeats a prompt until the engine that runs it receives the address of another engine that
// holds its KV cache.
func TestEnginesCopyFromEachOther(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	sent := 0
	require.Eventually(t, func() bool {
		sent++
		_, _, complete := s.read(s.send(fmt.Sprint("id", sent), "/quick/a", ""))
		require.True(t, complete)
		runs := s.runs()
		require.Len(t, runs, sent)
		return runs[len(runs)-1].Headers["Kv-Fetch"] == s.engines[2].Addr()
	}, time.Minute, 100*time.Millisecond)
	require.Empty(t, s.engines[2].Runs())
	require.Empty(t, s.runs()[0].Headers["Kv-Fetch"], "no engine holds the KV cache yet")
}

func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	setFaults(target.Faults{
		BreakAfter: 3,
	}, s.engines[:2]...)
	status, body, complete := s.read(s.send("id", "/quick/a", ""))
	require.Equal(t, http.StatusOK, status)
	require.True(t, complete)
	require.Equal(t, completeStream(), body)
	runs := s.runs()
	require.Len(t, runs, 2)
	require.Equal(t, "3", runs[1].Headers["Last-Event-Id"]+runs[0].Headers["Last-Event-Id"])
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	setFaults(target.Faults{
		BreakAfter: 3,
	}, s.engines[:2]...)
	status, body, complete := s.read(s.send("id", "/long/a", ""))
	require.Equal(t, http.StatusOK, status)
	require.False(t, complete)
	// Only complete events are forwarded.
	require.Equal(t, completeStream()[:len(body)], body)
	require.NotContains(t, body, "half of")
	require.Len(t, s.runs(), 1)
}

// signed adds to the first response of raw bytes the fields that make it an answer to the request with the ID "id".
func signed(raw string) string {
	return strings.Replace(raw, "\r\n", "\r\nWaxwingpick-Request-Id: id\r\nWaxwingpick-Server-Stamp: stamp\r\n", 1)
}

// TestStreamThatEndsInsideAnEventDoesNotLookComplete breaks streams off by closing their connection in order. A response
// without length and chunks states no other end, and one with chunks may lack its last one.
func TestStreamThatEndsInsideAnEventDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	const first = "id: 1\ndata: piece 1\n\n"
	// The line fills the read buffer of a stream.
	long := "id: 2\ndata: " + strings.Repeat("x", 4096-len("data: ")) + "\n"
	head := func(fields ...string) string {
		return "HTTP/1.1 200 OK\r\n" + strings.Join(append(fields, "", ""), "\r\n")
	}
	const stream = "Content-Type: text/event-stream"
	chunk := func(s string) string {
		return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
	}
	tests := map[string]string{
		"connection":                    head(stream) + first + "id: 2\ndata: half of",
		"connection, line ended":        head(stream) + first + "id: 2\ndata: piece 2\n",
		"connection, long line ended":   head(stream) + first + long,
		"connection, other letter case": head("Content-Type: Text/Event-Stream") + first + "id: 2\ndata: half of",
		"chunks":                        head(stream, "Transfer-Encoding: chunked") + chunk(first) + chunk("id: 2\ndata: half of"),
		"chunks, between events":        head(stream, "Transfer-Encoding: chunked") + chunk(first),
		"chunks, last chunk":            head(stream, "Transfer-Encoding: chunked") + chunk(first) + chunk(long) + "0\r\n\r\n",
		"length":                        head(stream, "Content-Length: 200") + first + "id: 2\ndata: half of",
		"length, between events":        head(stream, "Content-Length: 200") + first,
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTestGateway(t)
			setFaults(target.Faults{
				Raw: signed(raw),
			}, s.engines[:2]...)
			status, body, complete := s.read(s.send("id", "/long/a", "", "Waxwingpick-Token-Counts", "500,10"))
			require.Equal(t, http.StatusOK, status)
			require.False(t, complete, "%.200q", body)
			require.Equal(t, first, body, "only complete events")
			require.Len(t, s.runs(), 1)
		})
	}
}

// TestErrorOfTheNextTargetIsNoPartOfAStream breaks a stream off after its first event, and has the target at which it is
// resumed answer with something else than the rest of the stream. The caller must not find that in its stream, and the stream
// must not look complete.
func TestErrorOfTheNextTargetIsNoPartOfAStream(t *testing.T) {
	t.Parallel()
	const (
		first = "id: 1\ndata: piece 1\n\n"
		html  = "<html>error text</html>"
		event = "id: 2\ndata: error text\n\n"
	)
	plain := func(status, contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
	}
	tests := map[string]string{
		"server error":              plain("500 Internal Server Error", "text/html", html),
		"server error as a stream":  plain("500 Internal Server Error", "text/event-stream", event),
		"bad gateway without end":   "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/event-stream\r\n\r\n" + event,
		"not found":                 plain("404 Not Found", "text/plain", html),
		"too many requests":         plain("429 Too Many Requests", "text/event-stream", event),
		"unavailable":               plain("503 Service Unavailable", "text/plain", html),
		"other media type":          plain("200 OK", "text/html", html),
		"no content":                "HTTP/1.1 204 No Content\r\n\r\n",
		"partial content":           plain("206 Partial Content", "text/event-stream", event),
		"redirect":                  "HTTP/1.1 302 Found\r\nLocation: http://a.example/\r\nContent-Length: 0\r\n\r\n",
		"no event":                  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"half an event":             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: error text\n",
		"no HTTP":                   html,
		"half a head":               "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n",
		"two heads":                 "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" + plain("200 OK", "text/event-stream", event),
		"stream from its beginning": plain("200 OK", "text/event-stream", first+event),
		"blank in a field name":     plain("200 OK", "text/event-stream\r\nX Own: v", event),
		"control byte in a name":    plain("200 OK", "text/event-stream\r\nX\x01Own: v", event),
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTestGateway(t)
			for i, e := range s.engines[:2] {
				other := s.engines[1-i]
				e.SetFaults(target.Faults{
					BreakAfter: 1,
					AfterRun: func() {
						other.SetFaults(target.Faults{
							Raw: signed(raw),
						})
					},
				})
			}
			status, body, complete := s.read(s.send("id", "/quick/a", "", "Waxwingpick-Token-Counts", "500,10"))
			require.Equal(t, http.StatusOK, status)
			require.False(t, complete, "%q", body)
			require.Equal(t, first, body)
			require.Len(t, s.runs(), 2)
		})
	}
}

// TestOddTargetEntriesDoNotStopTheList has another writer leave entries that name no target, before the start and later. The
// gateway must use none of them, and has to follow what targets write afterwards.
func TestOddTargetEntriesDoNotStopTheList(t *testing.T) {
	t.Parallel()
	odd := []string{
		strings.Repeat("[", 700_000),
		strings.Repeat(`{"service":`, 60_000),
		`{"service":"app","address":"127.0.0.1:70000","slots":6,"state":"ready"}`,
		`{"service":"llm","address":"127.0.0.1:99999999999999999999","slots":6,"state":"ready","stage":"decode"}`,
		`{"service":"app","address":"127.0.0.1:80","slots":9223372036854775807,"state":"ready"}`,
		`{"service":"llm","address":"127.0.0.1:80","slots":1e999,"state":"ready","stage":"decode"}`,
		`{"service":"llm","address":"127.0.0.1:80","slots":` + strings.Repeat("9", 500_000) + `,"state":"ready"}`,
		`{"service":"app","address":"127.0.0.1:80","slots":6,"state":"ready","born":1e999}`,
	}
	s := newTestGateway(t)
	put := func(round string) {
		for i, value := range odd {
			require.NoError(t, s.store.PutRaw(t.Context(), fmt.Sprintf("servers/odd%d%s", i, round), []byte(value)))
		}
	}
	put("a")
	s.start()
	t.Cleanup(s.stop)
	for _, round := range []string{"b", "c"} {
		put(round)
		added := s.add("app"+round, "", "app")
		s.services = append(s.services, added)
		s.awaitMetric(s.boot, fmt.Sprintf("waxwingpick_gateway_targets{service=\"app\",state=\"ready\"} %d\n", len(s.services)))
		require.True(t, s.hasMetric(s.boot, fmt.Sprintf("waxwingpick_gateway_targets{service=\"llm\",state=\"ready\"} %d\n", len(s.engines))))
		for i := range 8 {
			status, _, complete := s.read(s.send(fmt.Sprint("order", round, i), "/order/1", ""))
			require.Equal(t, http.StatusOK, status)
			require.True(t, complete)
			status, body, _ := s.read(s.send(fmt.Sprint("stream", round, i), "/long/1", ""))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, completeStream(), body)
		}
		require.NotEmpty(t, added.Runs())
	}
}

// TestEarlierRefusalIsNotTheAnswerToALaterRequest has targets write an earlier refusal once more on a kept connection while they
// run a later request. Its caller must not be told that it has not run, and an order must not run at a second target.
func TestEarlierRefusalIsNotTheAnswerToALaterRequest(t *testing.T) {
	t.Parallel()
	const notRun = "Waxwingpick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const earlier = "Waxwingpick-Request-Id: first\r\n"
	for name, copied := range map[string]string{
		"unavailable":                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + earlier + notRun,
		"unavailable without ID":     "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + notRun,
		"too many without ID":        "HTTP/1.1 429 Too Many Requests\r\n" + notRun,
		"misdirected without ID":     "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"misdirected":                "HTTP/1.1 421 Misdirected Request\r\n" + earlier + "Content-Length: 0\r\n\r\n",
		"request timeout without ID": "HTTP/1.1 408 Request Timeout\r\n" + notRun,
	} {
		for _, path := range []string{"/order/1", "/read/1", "/long/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := startTestGateway(t)
				targets := append(append([]*target.Target(nil), s.engines[:2]...), s.services...)
				var warm conc.WaitGroup
				for i := range 8 {
					warm.Go(func() {
						_, _, complete := s.read(s.send(fmt.Sprint("first", i), path, "", "Waxwingpick-Token-Counts", "500,10"))
						require.True(t, complete)
					})
				}
				warm.Wait()
				before := len(s.runs())
				setFaults(target.Faults{
					WriteFirst: copied,
				}, targets...)
				status, _, _ := s.read(s.send("second", path, "", "Waxwingpick-Token-Counts", "500,10"))
				switch ran := len(s.runs()) - before; status {
				case http.StatusOK, http.StatusBadGateway:
					require.True(t, ran == 1 || path == "/read/1", "%d runs", ran)
				default:
					// A gateway under load may refuse the request itself.
					require.Equal(t, http.StatusServiceUnavailable, status)
					require.Zero(t, ran, "the caller is told that the request has not run")
				}
			})
		}
	}
}

func TestOrderRunsOnceAndItsRefusalIsTrue(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	// No target runs the request. The response says so and when to retry.
	setFaults(target.Faults{
		Full: true,
	}, s.services...)
	resp, err := s.send("id1", "/order/1", "book")
	require.NoError(t, err)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	status, _, _ := s.read(resp, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Empty(t, s.runs())
	// The request runs and its response is lost. It is not run again, and the response does not claim that it has not run.
	for _, service := range s.services {
		service.SetFaults(target.Faults{})
		service.LoseResponses("/order/", 1)
	}
	status, _, _ = s.read(s.send("id2", "/order/1", "book"))
	require.Equal(t, http.StatusBadGateway, status)
	require.Len(t, s.runs(), 1)
}

func TestFailureOfOneTargetIsRepeatedWhereThatIsAllowed(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	s.services[0].SetFaults(target.Faults{
		Status: http.StatusInternalServerError,
	})
	for i := range 6 {
		status, body, _ := s.read(s.send(fmt.Sprint("read", i), "/read/1", ""))
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, "answer of app1")
	}
	// An error response of a target is forwarded unchanged to the caller of an order.
	setFaults(target.Faults{
		Status: http.StatusInternalServerError,
	}, s.services...)
	resp, err := s.send("order", "/order/1", "")
	require.NoError(t, err)
	require.NotEmpty(t, resp.Header.Get("Waxwingpick-Server-Stamp"))
	status, body, _ := s.read(resp, nil)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Contains(t, body, "failure of app")
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	require.NoError(t, s.store.Put(t.Context(), "servers/app0", s.services[0].ListRecord("app", "zone", "draining")))
	require.Eventually(t, func() bool {
		before := len(s.services[0].Runs())
		for i := range 4 {
			_, _, _ = s.read(s.send(fmt.Sprint(i), "/read/1", ""))
		}
		return len(s.services[0].Runs()) == before
	}, time.Minute, time.Millisecond)
	require.NoError(t, s.store.Remove(t.Context(), "servers/app1"))
	require.Eventually(t, func() bool {
		status, _, _ := s.read(s.send("id", "/read/1", ""))
		return status == http.StatusServiceUnavailable
	}, time.Minute, time.Millisecond)
}

func TestConfigurationChangesComeIntoForceAndStay(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	next := routes(5)
	next["routes"] = next["routes"].([]any)[:3]
	require.NoError(t, s.store.Put(t.Context(), "op/config", next))
	routeRemoved := func() bool {
		status, _, _ := s.read(s.send("id", "/order/1", ""))
		return status == http.StatusNotFound
	}
	require.Eventually(t, routeRemoved, time.Minute, time.Millisecond)
	// An older version that arrives later, for example after the store has lost its history, is ignored.
	s.store.Compact()
	require.NoError(t, s.store.Put(t.Context(), "op/config", routes(4)))
	require.NoError(t, s.store.Put(t.Context(), "servers/marker", "unreadable"))
	for range 20 {
		require.True(t, routeRemoved())
		time.Sleep(10 * time.Millisecond)
	}
	require.NoError(t, s.store.Put(t.Context(), "op/config", routes(6)))
	require.Eventually(t, func() bool {
		return !routeRemoved()
	}, time.Minute, time.Millisecond)
}

func TestServingGoesOnWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	s.store.Store().SetDown(true)
	require.True(t, s.ready())
	status, _, _ := s.read(s.send("id", "/read/1", ""))
	require.Equal(t, http.StatusOK, status)
	// Store entries that expire during the outage are restored soon after it. Requests are served all the same.
	s.store.Store().SetDown(false)
	require.NoError(t, s.store.Put(t.Context(), "op/config", routes(2)))
	status, _, _ = s.read(s.send("id", "/read/1", ""))
	require.Equal(t, http.StatusOK, status)
}

func TestRequestsBeforeTheConfigurationIsKnownAreRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	s := newTestGateway(t)
	s.store.Store().SetDown(true)
	s.launch(time.Second)
	defer s.stop()
	require.False(t, s.ready())
	resp, err := s.send("id", "/read/1", "")
	require.NoError(t, err)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	status, _, _ := s.read(resp, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	s.store.Store().SetDown(false)
	require.Eventually(t, s.ready, time.Minute, time.Millisecond)
}

func TestCallerThatLeavesFreesItsTarget(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	setFaults(target.Faults{
		ResponseDelay: time.Hour,
	}, s.services...)
	ctx, cancel := context.WithCancel(t.Context())
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
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.Eventually(t, func() bool {
		return s.process.gateway.Running() == 0
	}, time.Minute, time.Millisecond)
}

func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newTestGateway(t)
	// The grace period is much longer than the requests take, also on a busy machine.
	s.launch(8 * time.Second)
	require.Eventually(t, s.ready, time.Minute, 5*time.Millisecond)
	setFaults(target.Faults{
		ResponseDelay: 300 * time.Millisecond,
	}, s.services...)
	results := make(chan error, 4)
	for i := range cap(results) {
		go func() {
			resp, err := s.send(fmt.Sprint(i), "/order/1", "book")
			if err == nil {
				_, err = bufio.NewReader(resp.Body).ReadString(0)
				resp.Body.Close()
				if errors.Is(err, io.EOF) && resp.StatusCode == http.StatusOK {
					err = nil
				}
			}
			results <- err
		}()
	}
	require.Eventually(t, func() bool {
		return s.process.gateway.Running() == cap(results)
	}, time.Minute, time.Millisecond)
	s.stop()
	for range cap(results) {
		require.NoError(t, <-results)
	}
}

func TestEngineThatDoesNotReadIsPassedOver(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	prefillEngine := s.engines[2]
	prefillEngine.SetFaults(target.Faults{
		Full: true,
	})
	// A prefill stage does not count as an attempt, so that after its failure even a route with one attempt continues with
	// an engine that runs both stages.
	status, body, complete := s.read(s.send("id", "/long/a", ""))
	require.Equal(t, http.StatusOK, status)
	require.True(t, complete)
	require.Equal(t, completeStream(), body)
	require.Len(t, s.runs(), 1)
	require.Equal(t, 1, prefillEngine.Refused())
}

// TestAbsentEnginesCostNoRequest lists an engine that accepts no connections and one whose address belongs to another
// target. Even on a route with one attempt, requests continue on other engines, and later requests no longer try the
// absent ones.
func TestAbsentEnginesCostNoRequest(t *testing.T) {
	t.Parallel()
	s := newTestGateway(t)
	s.engines[0].Close()
	misaddressed := s.engines[1].ListRecord("llm", "zone", "ready")
	require.NoError(t, s.store.Put(t.Context(), "servers/ghost", misaddressed))
	s.start()
	defer s.stop()
	const requests = 20
	for i := range requests {
		status, body, complete := s.read(s.send(fmt.Sprint("id", i), "/long/a", ""))
		require.Equal(t, http.StatusOK, status, "%d: %s", i, body)
		require.True(t, complete)
	}
	require.Len(t, s.runs(), requests)
	require.Less(t, s.engines[1].Misdirected(), requests/2)
}

// TestPromptIsReadOnceWhereOnlyItsSecondLegFails makes the decode stage fail because its engine is down, is listed with
// the address of another target, or is full. The next decode engine uses the KV cache of the same prefill stage.
func TestPromptIsReadOnceWhereOnlyItsSecondLegFails(t *testing.T) {
	t.Parallel()
	for name, breakEngine := range map[string]func(s *testGateway){
		"away": func(s *testGateway) {
			s.engines[0].Close()
		},
		"another target": func(s *testGateway) {
			require.NoError(t, s.store.Put(t.Context(), "servers/a-ghost", s.engines[1].ListRecord("llm", "zone", "ready")))
		},
		"full": func(s *testGateway) {
			s.engines[0].SetFaults(target.Faults{
				Full: true,
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestGateway(t)
			breakEngine(s)
			s.start()
			defer s.stop()
			// More consecutive refusals would exhaust the retry budget.
			const requests = 5
			for i := range requests {
				resp, err := s.send(fmt.Sprint("id", i), "/quick/a", "", "Waxwingpick-Prompt-Prefix", fmt.Sprintf("%x:29000", 1+i))
				status, body, complete := s.read(resp, err)
				require.Equal(t, http.StatusOK, status, "%d: %s", i, body)
				require.True(t, complete)
			}
			require.Len(t, s.runs(), requests)
			require.LessOrEqual(t, s.engines[2].Prefills(), requests)
			require.Eventually(t, func() bool {
				return s.engines[2].Handles() == s.runsWithPrefilledCache()
			}, time.Minute, time.Millisecond)
		})
	}
}

// runsWithPrefilledCache returns the number of runs that used the KV cache of another engine's prefill stage.
func (s *testGateway) runsWithPrefilledCache() int {
	n := 0
	for _, r := range s.runs() {
		if r.Headers["Waxwingpick-Kv-Source"] != "" {
			n++
		}
	}
	return n
}

// TestRequestThatCrashesTargetsCostsTwoOfThem repeats a request that crashes each target that runs it, at two gateways in
// turn. Only two targets crash, and both gateways still serve other requests.
func TestRequestThatCrashesTargetsCostsTwoOfThem(t *testing.T) {
	t.Parallel()
	s := newTestGateway(t)
	for i := range 4 {
		s.services = append(s.services, s.add(fmt.Sprint("more", i), "", "app"))
	}
	setFaults(target.Faults{
		CrashOn: "poison",
	}, s.services...)
	s.start()
	defer s.stop()
	first := s.boot
	other := s.startPeer()
	status, _, _ := s.read(s.send("poison0", "/read/poison", "poison"))
	require.Equal(t, http.StatusBadGateway, status)
	// The report of the crashes may be overtaken by the next request.
	s.awaitMetric(other, "waxwingpick_gateway_crash_verdicts_total{verdict=\"convicted\"} 1\n")
	for i, boot := range []platform.Boot{other, first, other, first} {
		s.boot = boot
		resp, err := s.send(fmt.Sprint("poison", 1+i), "/read/poison", "poison")
		status, _, _ = s.read(resp, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	for i, boot := range []platform.Boot{first, other} {
		s.boot = boot
		status, _, _ = s.read(s.send(fmt.Sprint("sound", i), "/read/sound", "sound"))
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

// startPeer starts a second gateway that runs until the end of the test. It waits until both exchange their load.
func (s *testGateway) startPeer() platform.Boot {
	other := launch(s.t, bootOf(s.t, "other", s.store.Addr(), time.Second))
	s.t.Cleanup(func() {
		require.NoError(s.t, other.Stop(context.Background()))
	})
	for _, boot := range []platform.Boot{s.boot, other.boot} {
		s.awaitPeers(boot, 1)
	}
	return other.boot
}

// awaitPeers waits until a gateway sends its load to n others.
func (s *testGateway) awaitPeers(boot platform.Boot, n int) {
	s.awaitMetric(boot, fmt.Sprintf("waxwingpick_gateway_peers %d\n", n))
}

// awaitMetric waits until the metrics of a gateway contain a line.
func (s *testGateway) awaitMetric(boot platform.Boot, line string) {
	require.Eventually(s.t, func() bool {
		return s.hasMetric(boot, line)
	}, time.Minute, 10*time.Millisecond, line)
}

// hasMetric reports whether the metrics of a gateway contain a line.
func (s *testGateway) hasMetric(boot platform.Boot, line string) bool {
	resp, err := s.http.Get("http://" + boot.Metrics + "/metrics")
	if err != nil {
		return false
	}
	status, body, complete := s.read(resp, nil)
	return status == http.StatusOK && complete && strings.Contains(body, line)
}

// TestGatewaysFindEachOther starts a second gateway and checks in the metrics of both that they exchange their load.
func TestGatewaysFindEachOther(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	s.startPeer()
}

// TestTargetsThatSendWithoutEndHarmNobodyElse checks a service whose targets all send responses without end. Its callers
// are told that their requests may have run, and requests to the other service are served in the meantime.
func TestTargetsThatSendWithoutEndHarmNobodyElse(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n"
	for name, prefix := range map[string]string{
		"head": "",
		"body": head + "\r\n",
		"size": head + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestGateway(t)
			endless, err := flood.New(prefix, strings.Repeat("0", 8<<10), 0)
			require.NoError(t, err)
			t.Cleanup(endless.Close)
			for i := range s.services {
				entry := s.services[i].ListRecord("app", "zone", "ready")
				entry["address"] = endless.Addr()
				require.NoError(t, s.store.Put(t.Context(), fmt.Sprint("servers/app", i), entry))
			}
			s.start()
			defer s.stop()
			for i := range 5 {
				status, _, _ := s.read(s.send(fmt.Sprint("order", i), "/order/1", "book"))
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status)
				status, body, complete := s.read(s.send(fmt.Sprint("quick", i), "/quick/a", ""))
				require.Equal(t, http.StatusOK, status)
				require.True(t, complete)
				require.Equal(t, completeStream(), body)
			}
			select {
			case <-endless.Disconnected():
			case <-time.After(time.Minute):
				require.Fail(t, "the connection to the target was not closed")
			}
		})
	}
}
