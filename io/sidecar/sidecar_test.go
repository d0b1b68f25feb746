package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/io/sidecar"
)

const maxBody = 1 << 20

// testHandler responds to a call with its body, and to a model request with a few frames.
type testHandler struct {
	calls     atomic.Int32
	started   chan struct{}
	release   chan struct{}
	cancelled chan struct{}
}

func (h *testHandler) Generate(ctx context.Context, a sidecar.Attempt, body []byte, send sidecar.SendFunc) {
	if a.Path == "/silent" {
		close(h.started)
		<-h.release
		return
	}
	if a.Path == "/endless" {
		for i := int64(0); send(frame(a, i, body)) == nil && ctx.Err() == nil; i++ {
			time.Sleep(time.Millisecond)
		}
		close(h.cancelled)
		return
	}
	for i := range int64(3) {
		_ = send(frame(a, i, body))
	}
	_ = send(sidecar.Frame{
		Attempt: a.ID,
		Offset:  3,
		Last:    true,
	})
}

func frame(a sidecar.Attempt, offset int64, body []byte) sidecar.Frame {
	return sidecar.Frame{
		Attempt: a.ID,
		Offset:  offset,
		Data:    json.RawMessage(fmt.Sprintf("%q", body)),
	}
}

func (h *testHandler) Resume(ctx context.Context, a sidecar.Attempt, send sidecar.SendFunc) {
	h.Generate(ctx, a, nil, send)
}

func (h *testHandler) Prefill(_ context.Context, a sidecar.Attempt, body []byte) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	if a.ID == "refused" {
		return waxwingpick.KVExport{}, waxwingpick.NotRun(waxwingpick.ReasonOverload, time.Second, "")
	}
	return waxwingpick.KVExport{
		Fingerprint: a.ID,
		Data:        body,
	}, nil
}

func (h *testHandler) Export(ctx context.Context, a sidecar.Attempt) (waxwingpick.KVExport, *waxwingpick.Refusal) {
	return h.Prefill(ctx, a, []byte("moved"))
}

func (h *testHandler) Cancel(context.Context, sidecar.Attempt) {}

func (h *testHandler) Call(_ context.Context, a sidecar.Attempt, body []byte) sidecar.Result {
	h.calls.Add(1)
	return sidecar.Result{
		Attempt: a.ID,
		Status:  http.StatusOK,
		Body:    body,
	}
}

func serve(t *testing.T, h sidecar.Handler, addr string) (*sidecar.Server, string) {
	t.Helper()
	timers := timer.NewSystem()
	t.Cleanup(timers.Close)
	return serveWith(t, h, addr, timers)
}

func serveWith(t *testing.T, h sidecar.Handler, addr string, timers waxwingpick.Timers) (*sidecar.Server, string) {
	t.Helper()
	return serveWithLimit(t, h, addr, sidecar.MaxAttemptSize, timers)
}

func serveWithLimit(t *testing.T, h sidecar.Handler, addr string, attemptSize int, timers waxwingpick.Timers, opts ...sidecar.ServerOption) (*sidecar.Server, string) {
	t.Helper()
	s := sidecar.NewServer(h, self, sidecar.Limits{
		Body:    maxBody,
		Attempt: attemptSize,
	}, timers, prometheus.NewRegistry(), opts...)
	bound, err := s.Start(addr)
	require.NoError(t, err)
	return s, bound
}

func client(t *testing.T) *sidecar.Client {
	t.Helper()
	c, err := sidecar.NewClient(self.Fleet, maxBody)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// self is the identity of the sidecar under test.
var self = sidecar.Identity{
	Fleet:  "tanzplan",
	Target: "stundenplan-llm-0",
}

func attempt(id string) sidecar.Attempt {
	return sidecar.Attempt{
		ID:              id,
		Target:          self.Target,
		Path:            "/",
		RemainingMillis: 10_000,
	}
}

func stop(t *testing.T, s *sidecar.Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx))
}

func TestCallAfterRestartOfIdleSidecar(t *testing.T) {
	h := &testHandler{}
	s, addr := serve(t, h, "127.0.0.1:0")
	c := client(t)
	_, err := c.Call(t.Context(), addr, attempt("a"), []byte("one"))
	require.NoError(t, err)
	stop(t, s)
	s, _ = serve(t, h, addr)
	defer stop(t, s)
	got, err := c.Call(t.Context(), addr, attempt("b"), []byte("two"))
	require.NoError(t, err)
	require.Equal(t, "two", string(got.Body))
	require.Equal(t, int32(2), h.calls.Load())
}

func TestStreamYieldsFramesAndFreesConnection(t *testing.T) {
	s, addr := serve(t, &testHandler{}, "127.0.0.1:0")
	defer stop(t, s)
	c := client(t)
	for _, id := range []string{"a", "b", "c"} {
		frames, err := c.Generate(t.Context(), addr, attempt(id), []byte(id))
		require.NoError(t, err)
		for i := range int64(3) {
			f, err := frames.Next()
			require.NoError(t, err)
			require.Equal(t, i, f.Offset)
			require.Equal(t, fmt.Sprintf("%q", id), string(f.Data))
		}
		f, err := frames.Next()
		require.NoError(t, err)
		require.True(t, f.Last)
		frames.Close()
	}
}

func TestPrefillReturnsExportOrRefusal(t *testing.T) {
	s, addr := serve(t, &testHandler{}, "127.0.0.1:0")
	defer stop(t, s)
	export, err := client(t).Prefill(t.Context(), addr, attempt("a"), []byte("cache"))
	require.NoError(t, err)
	require.Equal(t, "cache", string(export.Data))
	_, err = client(t).Prefill(t.Context(), addr, attempt("refused"), nil)
	require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
	var refusal *waxwingpick.Refusal
	require.ErrorAs(t, err, &refusal)
	export, err = client(t).Export(t.Context(), addr, attempt("a"))
	require.NoError(t, err)
	require.Equal(t, "moved", string(export.Data))
	_, err = client(t).Export(t.Context(), addr, attempt("refused"))
	require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
}

func TestContextCancelsStream(t *testing.T) {
	h := &testHandler{
		cancelled: make(chan struct{}),
	}
	s, addr := serve(t, h, "127.0.0.1:0")
	defer stop(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	a := attempt("a")
	a.Path = "/endless"
	frames, err := client(t).Generate(ctx, addr, a, nil)
	require.NoError(t, err)
	_, err = frames.Next()
	require.NoError(t, err)
	cancel()
	for err == nil {
		_, err = frames.Next()
	}
	require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
	frames.Close()
	<-h.cancelled
}

func TestErrorsReportWhetherAttemptWasSent(t *testing.T) {
	otherAttempt := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Waxwing-Result", `{"attempt":"other","status":200}`)
		fmt.Fprintln(w, `{"attempt":"other","offset":0,"data":1}`)
	}))
	defer otherAttempt.Close()
	closing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	defer closing.Close()
	noResult := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	defer noResult.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unusedAddr := ln.Addr().String()
	require.NoError(t, ln.Close())
	cases := []struct {
		name string
		addr string
		want error
	}{
		{"no listener", unusedAddr, waxwingpick.ErrEngineUnreachable},
		{"connection cut", closing.Listener.Addr().String(), waxwingpick.ErrEngineLost},
		{"response of another attempt", otherAttempt.Listener.Addr().String(), waxwingpick.ErrEngineLost},
		{"response without a result", noResult.Listener.Addr().String(), waxwingpick.ErrEngineLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := client(t)
			_, err := c.Call(t.Context(), tc.addr, attempt("a"), nil)
			require.ErrorIs(t, err, tc.want)
			frames, err := c.Generate(t.Context(), tc.addr, attempt("a"), nil)
			if err == nil {
				_, err = frames.Next()
				frames.Close()
			}
			require.ErrorIs(t, err, tc.want)
		})
	}
}

// TestHeartbeatsUseTimers reads more heartbeats than the attempt has seconds. On the system clock, the attempt would
// time out first.
func TestHeartbeatsUseTimers(t *testing.T) {
	const heartbeats = 20
	timers := timer.NewManual(time.Unix(0, 0))
	h := &testHandler{
		started: make(chan struct{}),
		release: make(chan struct{}),
	}
	s, addr := serveWith(t, h, "127.0.0.1:0", timers)
	defer stop(t, s)
	defer close(h.release)
	a := attempt("a")
	a.Path = "/silent"
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-h.started
		timers.Advance(heartbeats * sidecar.HeartbeatPeriod)
	})
	frames, err := client(t).Generate(t.Context(), addr, a, nil)
	require.NoError(t, err)
	defer frames.Close()
	for range heartbeats {
		f, err := frames.Next()
		require.NoError(t, err)
		require.True(t, f.Heartbeat())
	}
}

// TestAttemptSizeLimits sends attempts of the maximum size and of one byte more.
func TestAttemptSizeLimits(t *testing.T) {
	sized := func(size int) sidecar.Attempt {
		a := attempt("a")
		a.Fleet = self.Fleet
		head, err := json.Marshal(a)
		require.NoError(t, err)
		a.Path += strings.Repeat("x", size-len(head))
		return a
	}
	for name, limit := range map[string]int{
		"call":          sidecar.MaxAttemptSize,
		"model request": sidecar.MaxModelAttemptSize,
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := serveWithLimit(t, &testHandler{}, "127.0.0.1:0", limit, timer.NewManual(time.Unix(0, 0)))
			defer stop(t, s)
			c := client(t)
			send := func(a sidecar.Attempt) error {
				if limit == sidecar.MaxAttemptSize {
					_, err := c.Call(t.Context(), addr, a, nil)
					return err
				}
				frames, err := c.Generate(t.Context(), addr, a, nil)
				if err == nil {
					frames.Close()
				}
				return err
			}
			require.NoError(t, send(sized(limit)))
			var refusal *waxwingpick.Refusal
			require.ErrorAs(t, send(sized(limit+1)), &refusal)
			require.Equal(t, waxwingpick.OutcomeNotRun, refusal.Outcome)
		})
	}
}

func TestServerRejectsInvalidAttempts(t *testing.T) {
	s, addr := serve(t, &testHandler{}, "127.0.0.1:0")
	defer stop(t, s)
	for _, head := range []string{"", "{", `{"path":"/"}`, strings.Repeat("x", sidecar.MaxAttemptSize+1)} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/calls", nil)
		require.NoError(t, err)
		req.Header.Set("Waxwing-Attempt", head)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
}

// TestAttemptsForOthersAreNotRun sends attempts for another target and of another fleet. This happens when the address
// of an instance is reassigned.
func TestAttemptsForOthersAreNotRun(t *testing.T) {
	h := &testHandler{}
	s, addr := serve(t, h, "127.0.0.1:0")
	defer func() {
		require.NoError(t, s.Shutdown(t.Context()))
	}()
	otherFleet, err := sidecar.NewClient("cacaotera", maxBody)
	require.NoError(t, err)
	defer otherFleet.Close()
	otherTarget := attempt("a")
	otherTarget.Target = "stundenplan-llm-1"
	for _, sent := range []struct {
		name    string
		client  *sidecar.Client
		attempt sidecar.Attempt
	}{
		{"another target", client(t), otherTarget},
		{"another fleet", otherFleet, attempt("a")},
	} {
		t.Run(sent.name, func(t *testing.T) {
			result, err := sent.client.Call(t.Context(), addr, sent.attempt, nil)
			require.NoError(t, err)
			require.NotNil(t, result.Refusal)
			require.Equal(t, waxwingpick.OutcomeNotRun, result.Refusal.Outcome)
			stream, err := sent.client.Generate(t.Context(), addr, sent.attempt, nil)
			require.NoError(t, err)
			defer stream.Close()
			f, err := stream.Next()
			require.NoError(t, err)
			require.NotNil(t, f.Refusal)
			require.Equal(t, waxwingpick.OutcomeNotRun, f.Refusal.Outcome)
			resumed, err := sent.client.Resume(t.Context(), addr, sent.attempt)
			require.NoError(t, err)
			defer resumed.Close()
			f, err = resumed.Next()
			require.NoError(t, err)
			require.True(t, f.Broken)
			require.Nil(t, f.Refusal, "the attempt may be running at its target")
			_, err = sent.client.Prefill(t.Context(), addr, sent.attempt, nil)
			var refusal *waxwingpick.Refusal
			require.ErrorAs(t, err, &refusal)
			_, err = sent.client.Export(t.Context(), addr, sent.attempt)
			require.ErrorAs(t, err, &refusal)
			require.NoError(t, sent.client.Cancel(t.Context(), addr, sent.attempt))
		})
	}
	require.Zero(t, h.calls.Load())
}
