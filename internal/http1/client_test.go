package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/internal/http1"
	"waxwingpick/internal/loopback"
)

const (
	requestTimeout = 10 * time.Second
	responseHead   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
)

// testServer is a raw TCP server. Its handler serves one request of a connection and reports whether to read another
// one.
type testServer struct {
	addr     string
	conns    atomic.Int64
	requests atomic.Int64
}

func listen(t *testing.T, serve func(w io.Writer, n int64, r *http.Request) bool) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &testServer{
		addr: ln.Addr().String(),
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			wg.Go(func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if !serve(c, p.requests.Add(1), r) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, c := range open {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return p
}

func send(t *testing.T, c *http1.Client, method string) (string, error) {
	t.Helper()
	a, err := c.Send(t.Context(), http1.Request{
		Method:  method,
		URI:     "/x",
		Body:    []byte("body"),
		Timeout: requestTimeout,
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.Body(100)
	return string(body), err
}

func TestEachRequestIsSentOnce(t *testing.T) {
	closeConnection := func(io.Writer, int64, *http.Request) bool {
		return false
	}
	t.Run("fasthttp repeats a PUT by default", func(t *testing.T) {
		p := listen(t, closeConnection)
		fasthttpClient := &fasthttp.HostClient{
			Addr: p.addr,
		}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(http.MethodPut)
		req.SetRequestURI("http://" + p.addr + "/x")
		require.Error(t, fasthttpClient.Do(req, resp))
		require.Greater(t, p.requests.Load(), int64(1))
	})
	for _, method := range []string{"GET", "HEAD", "PUT", "POST", "DELETE", "PATCH"} {
		t.Run(method, func(t *testing.T) {
			p := listen(t, closeConnection)
			c := http1.New(p.addr, 100)
			defer c.Close()
			_, err := send(t, c, method)
			require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
			require.EqualValues(t, 1, p.requests.Load())
		})
	}
}

// requireMatchingResponse sends a request and checks that it gets the response to it.
func requireMatchingResponse(t *testing.T, c *http1.Client) {
	t.Helper()
	got, err := send(t, c, http.MethodPost)
	require.NoError(t, err)
	require.Equal(t, "mine", got)
}

func TestBytesThatNoRequestAskedForReachNobody(t *testing.T) {
	// The first response is followed by an unsolicited second one.
	twice := func(w io.Writer, n int64, _ *http.Request) bool {
		text := responseHead + "mine"
		if n == 1 {
			text += responseHead + "odd!"
		}
		_, err := io.WriteString(w, text)
		return err == nil
	}
	t.Run("fasthttp returns them to the next caller", func(t *testing.T) {
		p := listen(t, twice)
		fasthttpClient := &fasthttp.HostClient{
			Addr: p.addr,
			// With a small buffer the second response stays in the socket.
			ReadBufferSize: len(responseHead + "mine"),
		}
		var got string
		for range 2 {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + p.addr + "/x")
			require.NoError(t, fasthttpClient.Do(req, resp))
			got = string(resp.Body())
		}
		require.Equal(t, "odd!", got)
	})
	p := listen(t, twice)
	c := http1.New(p.addr, 100)
	defer c.Close()
	for range 3 {
		requireMatchingResponse(t, c)
	}
}

// TestHeaderLargerThanTheFirstBuffer reads responses with a large header that are followed by unsolicited bytes. These
// must not reach the next request.
func TestHeaderLargerThanTheFirstBuffer(t *testing.T) {
	for _, header := range []int{5 << 10, 15 << 10} {
		large := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", header) + "\r\nContent-Length: 4\r\n\r\nmine"
		p := listen(t, func(w io.Writer, _ int64, _ *http.Request) bool {
			_, err := io.WriteString(w, large+responseHead+"odd!")
			return err == nil
		})
		c := http1.New(p.addr, 100)
		defer c.Close()
		for range 3 {
			requireMatchingResponse(t, c)
		}
	}
}

func TestIdleConnectionThatThePeerClosedCostsNothing(t *testing.T) {
	const calls = 20
	closed := make(chan struct{}, 1)
	serve := func(w io.Writer, _ int64, _ *http.Request) bool {
		_, _ = io.WriteString(w, responseHead+"mine")
		w.(net.Conn).Close()
		closed <- struct{}{}
		return false
	}
	t.Run("fasthttp loses the next request", func(t *testing.T) {
		p := listen(t, serve)
		fasthttpClient := &fasthttp.HostClient{
			Addr: p.addr,
		}
		req := fasthttp.AcquireRequest()
		req.Header.SetMethod(http.MethodPost)
		req.SetRequestURI("http://" + p.addr + "/x")
		require.NoError(t, fasthttpClient.Do(req, fasthttp.AcquireResponse()))
		<-closed
		require.Error(t, fasthttpClient.Do(req, fasthttp.AcquireResponse()))
	})
	p := listen(t, serve)
	c := http1.New(p.addr, 100)
	defer c.Close()
	for range calls {
		requireMatchingResponse(t, c)
		<-closed
	}
	require.EqualValues(t, calls, p.requests.Load())
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	require.NoError(t, ln.Close())
	c := http1.New(addr, 100)
	defer c.Close()
	_, err = send(t, c, http.MethodPost)
	require.ErrorIs(t, err, waxwingpick.ErrEngineUnreachable)
}

func TestGivenUpRequestReturnsAtOnce(t *testing.T) {
	received := make(chan struct{})
	release := make(chan struct{})
	p := listen(t, func(io.Writer, int64, *http.Request) bool {
		close(received)
		<-release
		return false
	})
	c := http1.New(p.addr, 100)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := c.Send(ctx, http1.Request{
			Method:  http.MethodPost,
			URI:     "/x",
			Timeout: requestTimeout,
		})
		done <- err
	}()
	<-received
	cancel()
	err := <-done
	require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
	require.ErrorIs(t, err, context.Canceled)
	// The peer is still blocked, but the canceled exchange has ended.
	c.Close()
	close(release)
	_, err = c.Send(ctx, http1.Request{
		Method:  http.MethodPost,
		URI:     "/x",
		Timeout: requestTimeout,
	})
	require.ErrorIs(t, err, waxwingpick.ErrEngineUnreachable)
}

func TestHalfReadStreamIsNeverPooled(t *testing.T) {
	serve := func(w io.Writer, _ int64, r *http.Request) bool {
		text := responseHead + "mine"
		if r.Method == http.MethodGet {
			text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n4\r\nrest\r\n0\r\n\r\n"
		}
		_, err := io.WriteString(w, text)
		return err == nil
	}
	t.Run("an unclosed body keeps its connection", func(t *testing.T) {
		p := listen(t, serve)
		fasthttpClient := &fasthttp.HostClient{
			Addr:               p.addr,
			MaxConns:           1,
			StreamResponseBody: true,
		}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + p.addr + "/x")
		require.NoError(t, fasthttpClient.Do(req, resp))
		require.ErrorIs(t, fasthttpClient.Do(req, fasthttp.AcquireResponse()), fasthttp.ErrNoFreeConns)
		require.NoError(t, resp.CloseBodyStream())
	})
	p := listen(t, serve)
	c := http1.New(p.addr, 100)
	defer c.Close()
	for range 3 {
		a, err := c.Send(t.Context(), http1.Request{
			Method:  http.MethodGet,
			URI:     "/x",
			Timeout: requestTimeout,
			Stream:  true,
		})
		require.NoError(t, err)
		part := make([]byte, 4)
		_, err = io.ReadFull(a.Stream(), part)
		require.NoError(t, err)
		require.Equal(t, "part", string(part))
		a.Close()
		requireMatchingResponse(t, c)
	}
	// Each partly read body closed its connection. Only the connection of the last request stays open.
	require.EqualValues(t, 4, p.conns.Load())
}

// TestConnectKeepsTheConnection checks that a request uses the connection that Connect has opened.
func TestConnectKeepsTheConnection(t *testing.T) {
	p := listen(t, func(w io.Writer, _ int64, _ *http.Request) bool {
		_, err := io.WriteString(w, responseHead+"mine")
		return err == nil
	})
	c := http1.New(p.addr, 100)
	defer c.Close()
	require.NoError(t, c.Connect(t.Context()))
	requireMatchingResponse(t, c)
	require.EqualValues(t, 1, p.conns.Load())

	free, err := loopback.FreeAddr()
	require.NoError(t, err)
	unreachable := http1.New(free, 100)
	defer unreachable.Close()
	require.ErrorIs(t, unreachable.Connect(t.Context()), waxwingpick.ErrEngineUnreachable)
}
