package plain_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"waxwingpick/io/plain"
)

func serveBooking(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	srv := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set("X-Booking", "b1")
			ctx.SetBodyString(`{"id":"b1"}`)
		},
	}
	done := make(chan error, 1)
	go func() {
		done <- srv.Serve(ln)
	}()
	b.Cleanup(func() {
		require.NoError(b, srv.Shutdown())
		require.NoError(b, <-done)
	})
	return ln.Addr().String()
}

// BenchmarkCall sends a booking with Client.Call.
func BenchmarkCall(b *testing.B) {
	c, err := plain.New(serveBooking(b))
	require.NoError(b, err)
	defer c.Close()
	req := booking(http.MethodPost, "/bookings", `{"class":"salsa"}`, "Idempotency-Key", "k1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Call(b.Context(), req); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRawCall sends the same booking with fasthttp.HostClient, as a baseline.
func BenchmarkRawCall(b *testing.B) {
	addr := serveBooking(b)
	host := &fasthttp.HostClient{
		Addr: addr,
	}
	defer host.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(http.MethodPost)
		req.SetRequestURI("http://" + addr + "/bookings")
		req.Header.Set("Idempotency-Key", "k1")
		req.SetBodyString(`{"class":"salsa"}`)
		if err := host.Do(req, resp); err != nil {
			b.Fatal(err)
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
}
