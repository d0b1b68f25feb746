package sidecar_test

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
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

func TestStatusTellsWhetherTheAttemptWasAccepted(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusBadRequest:                  waxwingpick.ErrEngineUnreachable,
		http.StatusForbidden:                   waxwingpick.ErrEngineUnreachable,
		http.StatusNotFound:                    waxwingpick.ErrEngineUnreachable,
		http.StatusRequestEntityTooLarge:       waxwingpick.ErrEngineUnreachable,
		http.StatusRequestHeaderFieldsTooLarge: waxwingpick.ErrEngineUnreachable,
		http.StatusServiceUnavailable:          waxwingpick.ErrEngineUnreachable,
		http.StatusInternalServerError:         waxwingpick.ErrEngineLost,
		http.StatusBadGateway:                  waxwingpick.ErrEngineLost,
		http.StatusGatewayTimeout:              waxwingpick.ErrEngineLost,
		http.StatusAccepted:                    waxwingpick.ErrEngineLost,
		http.StatusFound:                       waxwingpick.ErrEngineLost,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
		}))
		c := client(t)
		_, err := c.Call(t.Context(), s.Listener.Addr().String(), attempt("a"), nil)
		require.ErrorIs(t, err, want, status)
		_, err = c.Generate(t.Context(), s.Listener.Addr().String(), attempt("b"), nil)
		require.ErrorIs(t, err, want, status)
		s.Close()
	}
}
