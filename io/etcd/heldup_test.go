package etcd_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
	adapter "waxwingpick/io/etcd"
)

// TestGivenUpCallIsNotDelivered guards against a call that a partition holds up and that the service gets after its time-out.
func TestGivenUpCallIsNotDelivered(t *testing.T) {
	t.Parallel()
	const timeout = 200 * time.Millisecond
	h, err := loopback.NewHeldUp(false, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })
	require.NoError(t, err)
	t.Cleanup(h.Close)
	c, err := adapter.New(h.Addr(), adapter.WithTimeout(timeout))
	require.NoError(t, err)
	t.Cleanup(c.Close)
	revoke := func() error { return c.Revoke(t.Context(), 1) }
	arrived, err := h.Arrivals(revoke, revoke, timeout)
	require.NoError(t, err)
	require.Len(t, arrived, 1)
}
