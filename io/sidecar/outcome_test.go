package sidecar_test

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
	"waxwingpick/io/sidecar"
)

// unencodable runs calls and returns results that cannot be encoded.
type unencodable struct {
	testHandler
}

func (h *unencodable) Call(ctx context.Context, a sidecar.Attempt, body []byte) sidecar.Result {
	result := h.testHandler.Call(ctx, a, body)
	result.Report = &sidecar.Report{
		Load: waxwingpick.TargetLoad{
			PrefillTokensPerSecond: math.NaN(),
		},
	}
	return result
}

// orders runs the attempts of a ledger at one sidecar, which has lost the response of every attempt.
type orders struct {
	client *sidecar.Client
	addr   string
}

func (o orders) Run(ctx context.Context, a ledger.Attempt, call waxwingpick.CallRequest) (ledger.Response, error) {
	result, err := o.client.Call(ctx, o.addr, attempt(a.ID), call.Body)
	return ledger.Response{
		Status: result.Status,
		Body:   result.Body,
	}, err
}

func (o orders) Fence(context.Context, ledger.Attempt) (ledger.AttemptState, *ledger.Response, error) {
	return ledger.StandingLost, nil, nil
}

func (o orders) choose(context.Context, waxwingpick.Set[waxwingpick.TargetID]) (ledger.Attempt, error) {
	return ledger.Attempt{
		Target:      self.Target,
		Incarnation: "incarnation",
	}, nil
}

// TestOrderWhoseResultIsNotEncodedRunsOnce guards against an order that runs again under its key because the sidecar
// responded with a failure after the run.
func TestOrderWhoseResultIsNotEncodedRunsOnce(t *testing.T) {
	h := &unencodable{}
	s, addr := serve(t, h, "127.0.0.1:0")
	defer stop(t, s)
	timers := timer.NewSystem()
	defer timers.Close()
	o := orders{
		client: client(t),
		addr:   addr,
	}
	l, err := ledger.New(memkv.New(timers).Client(), o, timers)
	require.NoError(t, err)
	defer l.Close()
	call := waxwingpick.CallRequest{
		Method: http.MethodPost,
		Path:   "/booking",
	}
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		deadline, _ := ctx.Deadline()
		_, err := l.Place(ctx, ledger.Order{
			Key:      waxwingpick.Some(ledger.NewKey("tanzplan", "booking")),
			BodyHash: ledger.HashCall(call),
			Deadline: deadline,
		}, call, o.choose)
		cancel()
		var refusal *waxwingpick.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, waxwingpick.OutcomeUnknown, refusal.Outcome)
		require.EqualValues(t, 1, h.calls.Load())
	}
}

// TestOnlyAStatementTellsThatAnAttemptWasRejected has a server at the address of a sidecar respond with each status, with and without the
// statement of a sidecar that it has not run the attempt.
func TestOnlyAStatementTellsThatAnAttemptWasRejected(t *testing.T) {
	for _, status := range []int{
		http.StatusBadRequest, http.StatusForbidden, http.StatusNotFound, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge,
		http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusRequestHeaderFieldsTooLarge, http.StatusServiceUnavailable,
		http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusAccepted, http.StatusFound,
	} {
		for stated, want := range map[bool]error{
			true:  waxwingpick.ErrEngineUnreachable,
			false: waxwingpick.ErrEngineLost,
		} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if stated {
					w.Header().Set("Waxwing-Rejected", "1")
				}
				w.WriteHeader(status)
			}))
			c := client(t)
			_, err := c.Call(t.Context(), s.Listener.Addr().String(), attempt("a"), nil)
			require.ErrorIs(t, err, want, "%d, stated: %t", status, stated)
			_, err = c.Generate(t.Context(), s.Listener.Addr().String(), attempt("b"), nil)
			require.ErrorIs(t, err, want, "%d, stated: %t", status, stated)
			_, err = c.Prefill(t.Context(), s.Listener.Addr().String(), attempt("c"), nil)
			require.ErrorIs(t, err, want, "%d, stated: %t", status, stated)
			s.Close()
		}
	}
}

// TestSidecarStatesThatItRejectsAnAttempt sends a sidecar requests that it runs no attempt of.
func TestSidecarStatesThatItRejectsAnAttempt(t *testing.T) {
	h := &testHandler{}
	s, addr := serve(t, h, "127.0.0.1:0")
	defer stop(t, s)
	const attemptOf = "Waxwing-Attempt: {\"id\":\"a\"}\r\n"
	for what, row := range map[string]struct {
		request string
		status  int
	}{
		"no attempt":     {request: "POST /calls HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", status: http.StatusBadRequest},
		"broken attempt": {request: "POST /calls HTTP/1.1\r\nHost: a\r\nWaxwing-Attempt: {\r\nContent-Length: 0\r\n\r\n", status: http.StatusBadRequest},
		"unknown path":   {request: "POST /other HTTP/1.1\r\nHost: a\r\n" + attemptOf + "Content-Length: 0\r\n\r\n", status: http.StatusNotFound},
		"large header":   {request: "POST /calls HTTP/1.1\r\nHost: a\r\n" + attemptOf + "X-Large: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", status: http.StatusRequestHeaderFieldsTooLarge},
		"large body":     {request: "POST /calls HTTP/1.1\r\nHost: a\r\n" + attemptOf + "Content-Length: 100000000\r\n\r\n", status: http.StatusRequestEntityTooLarge},
		"no HTTP":        {request: "no HTTP\r\n\r\n", status: http.StatusBadRequest},
	} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err, what)
		// The sidecar may respond and close the connection before it has read everything.
		_, _ = io.WriteString(conn, row.request)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, what)
		require.Equal(t, row.status, resp.StatusCode, what)
		require.Equal(t, "1", resp.Header.Get("Waxwing-Rejected"), what)
		conn.Close()
	}
	require.Zero(t, h.calls.Load())
}
