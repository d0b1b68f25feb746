package etcd_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/etcdwire"
	"waxwingpick/internal/standin/etcd"
	adapter "waxwingpick/io/etcd"
)

// callAll makes one call of each kind except watch and returns the errors by kind.
func callAll(ctx context.Context, kv waxwingpick.KeyValue) map[waxwingpick.KeyValueCall]error {
	errs := make(map[waxwingpick.KeyValueCall]error)
	_, errs[waxwingpick.CallGet] = kv.Get(ctx, "k")
	_, errs[waxwingpick.CallList] = kv.List(ctx, "k", 1)
	_, errs[waxwingpick.CallSwap] = kv.CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
	errs[waxwingpick.CallDelete] = kv.CompareAndDelete(ctx, "k", 0)
	_, errs[waxwingpick.CallGrant] = kv.Grant(ctx, time.Second)
	_, errs[waxwingpick.CallKeepAlive] = kv.KeepAlive(ctx, 1)
	errs[waxwingpick.CallRevoke] = kv.Revoke(ctx, 1)
	return errs
}

// outcome returns the text of the waxwingpick error that err wraps, "other" for another error and "ok" for none.
func outcome(err error) string {
	for _, known := range []error{
		waxwingpick.ErrUnavailable,
		waxwingpick.ErrUnknownOutcome,
		waxwingpick.ErrConflict,
		waxwingpick.ErrLeaseExpired,
		waxwingpick.ErrValueTooLarge,
	} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if err != nil {
		return "other"
	}
	return "ok"
}

// TestFaultsMapToOutcomes compares the error of each kind of call under each fault with the golden file.
func TestFaultsMapToOutcomes(t *testing.T) {
	faults := []struct {
		name    string
		arrange func(t *testing.T) waxwingpick.KeyValue
	}{
		{
			name: "nothing listens",
			arrange: func(t *testing.T) waxwingpick.KeyValue {
				server, client, _ := start(t, timer.NewManual(time.Unix(0, 0)))
				server.Close()
				return client
			},
		},
		{
			name: "down",
			arrange: func(t *testing.T) waxwingpick.KeyValue {
				return faulty(t, etcd.Faults{
					Down: true,
				})
			},
		},
		{
			name: "cut",
			arrange: func(t *testing.T) waxwingpick.KeyValue {
				return faulty(t, etcd.Faults{
					Cut: true,
				})
			},
		},
		{
			name: "answers lost",
			arrange: func(t *testing.T) waxwingpick.KeyValue {
				return faulty(t, etcd.Faults{
					LoseResponses: 2,
				})
			},
		},
		{
			name:    "timeout inside the service",
			arrange: respondWith(fasthttp.StatusServiceUnavailable, `{"error":"etcdserver: request timed out","code":14,"message":"etcdserver: request timed out"}`),
		},
		{
			name:    "no leader",
			arrange: respondWith(fasthttp.StatusServiceUnavailable, `{"error":"etcdserver: no leader","code":14,"message":"etcdserver: no leader"}`),
		},
		{
			name:    "too many requests",
			arrange: respondWith(fasthttp.StatusTooManyRequests, `{"error":"etcdserver: too many requests","code":8,"message":"etcdserver: too many requests"}`),
		},
		{
			name:    "error page for too many requests",
			arrange: respondWith(fasthttp.StatusTooManyRequests, "<html>too many requests</html>"),
		},
		{
			name:    "lease not found",
			arrange: respondWith(fasthttp.StatusNotFound, `{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}`),
		},
		{
			name:    "too large",
			arrange: respondWith(fasthttp.StatusBadRequest, `{"error":"etcdserver: request is too large","code":3,"message":"etcdserver: request is too large"}`),
		},
		{
			name:    "gateway error page",
			arrange: respondWith(fasthttp.StatusBadGateway, "<html>bad gateway</html>"),
		},
		{
			name:    "answer cut short",
			arrange: respondWith(fasthttp.StatusOK, `{"succeeded":tr`),
		},
	}
	report := ""
	for _, tc := range faults {
		kv := tc.arrange(t)
		errs := callAll(t.Context(), kv)
		report += tc.name + "\n"
		for _, kind := range waxwingpick.KeyValueCalls() {
			if err, called := errs[kind]; called {
				report += fmt.Sprintf("  %-10s %s\n", kind, outcome(err))
			}
		}
	}
	goldie.New(t).Assert(t, "outcomes", []byte(report))
}

func faulty(t *testing.T, f etcd.Faults) waxwingpick.KeyValue {
	server, client, _ := start(t, timer.NewManual(time.Unix(0, 0)))
	server.SetFaults(f)
	return client
}

func respondWith(status int, body string) func(t *testing.T) waxwingpick.KeyValue {
	return func(t *testing.T) waxwingpick.KeyValue {
		return serving(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(status)
			ctx.SetBodyString(body)
		})
	}
}

func serving(t *testing.T, handler fasthttp.RequestHandler) *adapter.Client {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{
		Handler: handler,
	}
	done := make(chan error, 1)
	go func() {
		done <- server.Serve(ln)
	}()
	client, err := adapter.New(ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-done)
	})
	return client
}

// TestNoCallIsRepeated counts the requests at a server that reads each request and closes the connection. With the
// defaults of the HTTP client, a PUT reaches such a server more than once.
func TestNoCallIsRepeated(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var requests atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if req.Read(bufio.NewReader(conn)) == nil {
				requests.Add(1)
			}
			_ = conn.Close()
		}
	}()
	client, err := adapter.New(ln.Addr().String())
	require.NoError(t, err)
	errs := callAll(t.Context(), client)
	require.Equal(t, int64(len(errs)), requests.Load())

	defaultClient := &fasthttp.HostClient{
		Addr: ln.Addr().String(),
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI("http://" + ln.Addr().String() + etcdwire.PathTxn)
	require.Error(t, defaultClient.Do(req, nil))
	require.Greater(t, requests.Load(), int64(len(errs)+1))
	client.Close()
	require.NoError(t, ln.Close())
	<-done
}

func TestCancelledCallErrors(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 2)
	client := serving(t, func(*fasthttp.RequestCtx) {
		arrived <- struct{}{}
		<-release
	})
	// The context is cancelled only after the request has arrived, since an earlier cancellation has a known outcome.
	cancelled := func(call func(ctx context.Context) error) error {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			<-arrived
			cancel()
		}()
		return call(ctx)
	}
	require.ErrorIs(t, cancelled(func(ctx context.Context) error {
		_, err := client.CompareAndSwap(ctx, "k", 0, nil, 0)
		return err
	}), waxwingpick.ErrUnknownOutcome)
	require.ErrorIs(t, cancelled(func(ctx context.Context) error {
		_, err := client.Get(ctx, "k")
		return err
	}), waxwingpick.ErrUnavailable)
	close(release)
}

func TestOversizedResponseFails(t *testing.T) {
	client := serving(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBody(make([]byte, 32<<20))
	})
	_, err := client.List(t.Context(), "k", 1)
	require.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
	_, err = client.CompareAndSwap(t.Context(), "k", 0, make([]byte, waxwingpick.MaxValueSize+1), 0)
	require.ErrorIs(t, err, waxwingpick.ErrValueTooLarge)
}

// TestExchanges compares each request and response with a golden file that shows the wire format of the gateway.
func TestExchanges(t *testing.T) {
	_, _, addr := start(t, timer.NewManual(time.Unix(0, 0)))
	record := ""
	proxy := serving(t, func(ctx *fasthttp.RequestCtx) {
		req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		ctx.Request.CopyTo(req)
		req.SetHost(addr)
		require.NoError(t, fasthttp.Do(req, res))
		record += fmt.Sprintf("POST %s\n%s\n%d\n%s\n", ctx.Path(), req.Body(), res.StatusCode(), res.Body())
		res.CopyTo(&ctx.Response)
	})
	_ = callAll(t.Context(), proxy)
	_, _ = proxy.CompareAndSwap(t.Context(), "k", 0, nil, 0)
	_ = callAll(t.Context(), proxy)
	goldie.New(t).Assert(t, "exchanges", []byte(record))
}

// TestCallsUnderWayAreBounded has a service respond to nothing. Calls over the bound wait, and have a known outcome, as they were not
// sent.
func TestCallsUnderWayAreBounded(t *testing.T) {
	const bound = 16
	release := make(chan struct{})
	var arrived atomic.Int64
	client := serving(t, func(*fasthttp.RequestCtx) {
		arrived.Add(1)
		<-release
	})
	t.Cleanup(func() { close(release) })
	errs := make(chan error, bound)
	for range bound {
		go func() {
			errs <- client.Revoke(t.Context(), 1)
		}()
	}
	require.Eventually(t, func() bool { return arrived.Load() == bound }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, client.Revoke(ctx, 1), waxwingpick.ErrUnavailable)
	for range bound {
		require.ErrorIs(t, <-errs, waxwingpick.ErrUnknownOutcome)
	}
	require.Equal(t, int64(bound), arrived.Load())
}
