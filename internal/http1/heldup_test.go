package http1_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/http1"
	"waxwingpick/internal/loopback"
)

// arrivalTime is the time in which a request that a relay still holds arrives after the end of a partition.
const arrivalTime = 200 * time.Millisecond

// TestGivenUpRequestIsNotDelivered guards against a request that a partition holds up and that reaches its peer after its sender has
// given it up, when the right to send it may have ended.
func TestGivenUpRequestIsNotDelivered(t *testing.T) {
	t.Parallel()
	for name, giveUp := range map[string]func(c *http1.Client, cancel func()){
		"timeout":   func(*http1.Client, func()) {},
		"cancelled": func(_ *http1.Client, cancel func()) { cancel() },
		"closed":    func(c *http1.Client, _ func()) { c.Close() },
	} {
		for _, secured := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", TLS"}[secured], func(t *testing.T) {
				t.Parallel()
				arrived := make(chan string, 8)
				addr, opts := serveArrivals(t, secured, arrived)
				relay, err := loopback.NewRelay(addr)
				require.NoError(t, err)
				t.Cleanup(relay.Close)
				c := http1.New(relay.Addr(), 100, opts...)
				t.Cleanup(c.Close)
				r := http1.Request{
					Method:  http.MethodPost,
					URI:     "/first",
					Timeout: time.Minute,
				}
				response, err := c.Send(t.Context(), r)
				require.NoError(t, err)
				response.Close()
				require.Equal(t, "/first", <-arrived)

				relay.Cut(loopback.Forward)
				ctx, cancel := context.WithCancel(t.Context())
				r.URI = "/late"
				r.Timeout = arrivalTime
				time.AfterFunc(arrivalTime/2, func() { giveUp(c, cancel) })
				_, err = c.Send(ctx, r)
				require.Error(t, err)
				cancel()
				// The relay learns of a reset asynchronously.
				time.Sleep(arrivalTime)
				relay.Heal()
				select {
				case uri := <-arrived:
					require.Fail(t, "given up", uri)
				case <-time.After(arrivalTime):
				}
			})
		}
	}
}

// serveArrivals starts a server that sends the URI of each request to arrived. It returns its address and the options of its clients.
func serveArrivals(t *testing.T, secured bool, arrived chan<- string) (string, []http1.Option) {
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { arrived <- r.RequestURI })
	if !secured {
		s := httptest.NewServer(handler)
		t.Cleanup(s.Close)
		return s.Listener.Addr().String(), nil
	}
	s := httptest.NewTLSServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), []http1.Option{http1.Secured(func(ctx context.Context, raw net.Conn) (net.Conn, error) {
		conn := tls.Client(raw, &tls.Config{
			InsecureSkipVerify: true,
		})
		return conn, conn.HandshakeContext(ctx)
	})}
}
