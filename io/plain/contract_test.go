package plain_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/server"
	"waxwingpick/internal/standin/service"
	"waxwingpick/io/plain"
)

type fixture struct {
	service *service.Service
	client  waxwingpick.PlainService
}

// systems are the implementations of waxwingpick.PlainService.
var systems = []struct {
	name string
	make func(t *testing.T, s *service.Service) waxwingpick.PlainService
}{
	{
		name: "stand-in",
		make: func(_ *testing.T, s *service.Service) waxwingpick.PlainService {
			return s.Client()
		},
	},
	{
		name: "adapter",
		make: func(t *testing.T, s *service.Service) waxwingpick.PlainService {
			return connect(t, s)
		},
	},
}

func start(t *testing.T) *service.Service {
	t.Helper()
	s, err := service.New(server.Timers(timer.NewManual(time.Unix(1000, 0))))
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func connect(t *testing.T, s *service.Service, opts ...plain.Option) *plain.Client {
	t.Helper()
	c, err := plain.New(s.Addr(), opts...)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// contract runs a test on each implementation of waxwingpick.PlainService.
func contract(t *testing.T, run func(t *testing.T, newFixture func() fixture)) {
	for _, sys := range systems {
		t.Run(sys.name, func(t *testing.T) {
			run(t, func() fixture {
				s := start(t)
				return fixture{
					service: s,
					client:  sys.make(t, s),
				}
			})
		})
	}
}

func booking(method, path, body string, headers ...string) waxwingpick.CallRequest {
	req := waxwingpick.CallRequest{
		Method: method,
		Path:   path,
		Body:   []byte(body),
	}
	for i := 0; i < len(headers); i += 2 {
		req.Headers = append(req.Headers, waxwingpick.Header{
			Name:  headers[i],
			Value: headers[i+1],
		})
	}
	return req
}

func TestCallForwardsRequestAndResponse(t *testing.T) {
	contract(t, func(t *testing.T, newFixture func() fixture) {
		f := newFixture()
		resp, err := f.client.Call(t.Context(), booking(http.MethodPost, "/bookings", "salsa", "Idempotency-Key", "k1"))
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, resp.Status)
		require.Contains(t, string(resp.Body), "salsa")
		require.Contains(t, resp.Headers, waxwingpick.Header{Name: "X-Booking", Value: "b1"})
		resp, err = f.client.Call(t.Context(), booking(http.MethodPut, "/bookings/b1", "tango"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.Status)
		resp, err = f.client.Call(t.Context(), booking(http.MethodGet, "/bookings/b1", ""))
		require.NoError(t, err)
		require.Contains(t, string(resp.Body), "tango")
		resp, err = f.client.Call(t.Context(), booking(http.MethodGet, "/bookings/none", ""))
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, resp.Status)
		require.Equal(t, map[string]int{"k1": 1, "tango": 1}, f.service.RunsByKey())
	})
}

func TestFaultsRunACallAtMostOnce(t *testing.T) {
	contract(t, func(t *testing.T, newFixture func() fixture) {
		tests := []struct {
			name  string
			body  string
			fault func(f fixture)
			err   error
			runs  int
		}{
			{name: "none", runs: 1},
			{name: "down", fault: func(f fixture) { f.service.Faults().Down(0) }, err: waxwingpick.ErrEngineUnreachable},
			{name: "restarted", fault: func(f fixture) { f.service.Faults().Down(0); f.service.Faults().Up() }, runs: 1},
			{name: "request lost", fault: func(f fixture) { f.service.Faults().LoseRequests("/", 1) }, err: waxwingpick.ErrEngineLost},
			{name: "answer lost", fault: func(f fixture) { f.service.Faults().LoseResponses("/", 1) }, err: waxwingpick.ErrEngineLost, runs: 1},
			{name: "crash", body: service.DefaultCrashMarker, err: waxwingpick.ErrEngineLost, runs: 1},
		}
		for _, test := range tests {
			for _, method := range []string{http.MethodPost, http.MethodPut} {
				t.Run(test.name+" "+method, func(t *testing.T) {
					f := newFixture()
					_, err := f.client.Call(t.Context(), booking(http.MethodGet, "/bookings/x", ""))
					require.NoError(t, err)
					if test.fault != nil {
						test.fault(f)
					}
					path := "/bookings"
					if method == http.MethodPut {
						path += "/b7"
					}
					_, err = f.client.Call(t.Context(), booking(method, path, "order "+test.body))
					require.ErrorIs(t, err, test.err)
					require.Equal(t, test.runs, f.service.RunsByKey()["order "+test.body])
				})
			}
		}
	})
}

func TestCancelledCallMayHaveRun(t *testing.T) {
	contract(t, func(t *testing.T, newFixture func() fixture) {
		f := newFixture()
		f.service.Faults().SetSlow(time.Hour)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for f.service.Faults().Slowed() == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		_, err := f.client.Call(ctx, booking(http.MethodPost, "/bookings", "late"))
		require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
	})
}

func TestOversizedResponseIsLost(t *testing.T) {
	s := start(t)
	_, err := connect(t, s, plain.MaxResponse(100)).Call(t.Context(), booking(http.MethodPost, "/bookings", strings.Repeat("x", 200)))
	require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
	require.Len(t, s.Runs(), 1)
}

func TestMalformedRequestsAreNotSent(t *testing.T) {
	s := start(t)
	c := connect(t, s)
	tests := map[string]waxwingpick.CallRequest{
		"method":       booking("GET /x HTTP/1.1\r\n", "/bookings", ""),
		"relative":     booking(http.MethodPost, "bookings", ""),
		"path":         booking(http.MethodPost, "/bookings HTTP/1.1\r\nX: y", ""),
		"header name":  booking(http.MethodPost, "/bookings", "", "X y", "z"),
		"header value": booking(http.MethodPost, "/bookings", "", "X", "z\r\nHost: other"),
	}
	for name, req := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := c.Call(t.Context(), req)
			require.ErrorIs(t, err, waxwingpick.ErrEngineRefused)
			require.Empty(t, s.Runs())
		})
	}
}
