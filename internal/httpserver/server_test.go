package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"waxwingpick/internal/httpserver"
	"waxwingpick/internal/loopback"
)

func start(t *testing.T, handle fasthttp.RequestHandler) (*httpserver.Server, string) {
	ln, err := net.Listen("tcp", loopback.AnyPort())
	require.NoError(t, err)
	s := httpserver.New(&fasthttp.Server{
		Handler: handle,
	})
	s.Start(ln)
	return s, ln.Addr().String()
}

// TestStopDoesNotWaitForUnusedConnections stops a server while one connection has sent no request and another is idle.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	s, addr := start(t, func(*fasthttp.RequestCtx) {})
	unused, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer unused.Close()
	used, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer used.Close()
	_, err = io.WriteString(used, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(used), nil)
	require.NoError(t, err)
	resp.Body.Close()
	require.NoError(t, s.Stop())
	for _, c := range []net.Conn{unused, used} {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = c.Read(make([]byte, 1))
		require.Error(t, err)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "connection is still open")
	}
}

func TestStopLetsARunningRequestEnd(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, addr := start(t, func(ctx *fasthttp.RequestCtx) {
		close(entered)
		<-release
		ctx.SetBodyString("whole")
	})
	responses := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + addr)
		if err != nil {
			responses <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			body = []byte(err.Error())
		}
		responses <- string(body)
	}()
	<-entered
	require.NoError(t, s.Stop())
	close(release)
	require.Equal(t, "whole", <-responses)
}

// TestAwaitWaitsForResponsesThatAreBeingWritten stops a server while a client has not read a large response, whose handler has
// returned.
func TestAwaitWaitsForResponsesThatAreBeingWritten(t *testing.T) {
	const size = 64 << 20
	s, addr := start(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.SetBodyRaw(make([]byte, size))
	})
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.NoError(t, s.Stop())
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	s.Await(short)
	require.Error(t, short.Err(), "the response is not written yet")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, body, size)
	s.Await(t.Context())
}
