package http1_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/http1"
	"waxwingpick/internal/loopback"
)

// TestGivenUpRequestIsNotDelivered guards against a request that a partition holds up and that reaches its peer after its sender has
// given it up, when the right to send it may have ended.
func TestGivenUpRequestIsNotDelivered(t *testing.T) {
	t.Parallel()
	// wait is the time-out of the request, and the time in which it arrives after the end of the partition.
	const wait = 200 * time.Millisecond
	secure := http1.Secured(func(ctx context.Context, raw net.Conn) (net.Conn, error) {
		conn := tls.Client(raw, &tls.Config{
			InsecureSkipVerify: true,
		})
		return conn, conn.HandshakeContext(ctx)
	})
	for name, giveUp := range map[string]func(c *http1.Client, cancel func()){
		"timeout":   func(*http1.Client, func()) {},
		"cancelled": func(_ *http1.Client, cancel func()) { cancel() },
		"closed":    func(c *http1.Client, _ func()) { c.Close() },
	} {
		for suffix, opts := range map[string][]http1.Option{
			"":      nil,
			", TLS": {secure},
		} {
			t.Run(name+suffix, func(t *testing.T) {
				t.Parallel()
				h, err := loopback.NewHeldUp(len(opts) > 0, func(http.ResponseWriter, *http.Request) {})
				require.NoError(t, err)
				t.Cleanup(h.Close)
				c := http1.New(h.Addr(), 100, opts...)
				t.Cleanup(c.Close)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				send := func(uri string, timeout time.Duration) error {
					response, err := c.Send(ctx, http1.Request{
						Method:  http.MethodPost,
						URI:     uri,
						Timeout: timeout,
					})
					if err == nil {
						response.Close()
					}
					return err
				}
				arrived, err := h.Arrivals(func() error {
					return send("/first", time.Minute)
				}, func() error {
					time.AfterFunc(wait/2, func() { giveUp(c, cancel) })
					return send("/late", wait)
				}, wait)
				require.NoError(t, err)
				require.Equal(t, []string{"/first"}, arrived)
			})
		}
	}
}
