package http1_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"waxwingpick/internal/http1"
)

func TestStreamBodyIsSentAsWrittenAndAlwaysEnds(t *testing.T) {
	read := make(chan struct{})
	ended := make(chan struct{}, 1)
	addr := serveBody(t, func(w io.Writer) {
		fmt.Fprint(w, "first")
		<-read
		fmt.Fprint(w, "second")
	}, func() {
		ended <- struct{}{}
	})
	resp, err := http.Get(addr)
	require.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, 5)
	_, err = io.ReadFull(resp.Body, first)
	require.NoError(t, err)
	close(read)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "first second", string(first)+" "+string(rest))
	<-ended
	head, err := http.Head(addr)
	require.NoError(t, err)
	require.NoError(t, head.Body.Close())
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the end function was not called for an unsent body")
	}
}

func serveBody(t *testing.T, write func(w io.Writer), end func()) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.Response.SetBodyStream(http1.NewStreamBody(write, end), -1)
		},
	}
	go func() {
		_ = s.Serve(ln)
	}()
	t.Cleanup(func() {
		require.NoError(t, s.Shutdown())
	})
	return "http://" + ln.Addr().String()
}
