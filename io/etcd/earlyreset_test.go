package etcd_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	adapter "waxwingpick/io/etcd"
)

// TestEarlyResponseThatIsResetIsNotComplete has the service respond to a write early, without a length, and reset the connection.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	t.Parallel()
	rawhttp.Upload{
		Response: "HTTP/1.1 200 OK\r\n\r\n{\"succeeded\":true}",
		Sizes:    []int{10, waxwingpick.MaxValueSize},
		Send: func(addr string, body []byte) error {
			c, err := adapter.New(addr)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.CompareAndSwap(t.Context(), "k", 0, body, 0)
			return err
		},
		Lost: waxwingpick.ErrUnknownOutcome,
	}.CheckEarlyReset(t)
}
