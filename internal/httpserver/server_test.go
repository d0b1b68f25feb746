package httpserver_test

import (
	"bufio"
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

// TestStopDoesNotWaitForUnusedConnections has a caller open a connection and ask nothing on it.
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
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "connection was left open")
	}
}

func TestStopLetsARunningRequestEnd(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	s, addr := start(t, func(ctx *fasthttp.RequestCtx) {
		close(entered)
		<-leave
		ctx.SetBodyString("whole")
	})
	answers := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + addr)
		if err != nil {
			answers <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			body = []byte(err.Error())
		}
		answers <- string(body)
	}()
	<-entered
	require.NoError(t, s.Stop())
	close(leave)
	require.Equal(t, "whole", <-answers)
}
