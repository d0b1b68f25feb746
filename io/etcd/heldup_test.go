package etcd_test

import (
	"net/http"
	"net/http/httptest"
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
	arrived := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.RequestURI
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(server.Close)
	relay, err := loopback.NewRelay(server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	c, err := adapter.New(relay.Addr(), adapter.WithTimeout(timeout))
	require.NoError(t, err)
	t.Cleanup(c.Close)
	require.NoError(t, c.Revoke(t.Context(), 1))
	<-arrived
	relay.Cut(loopback.Forward)
	require.Error(t, c.Revoke(t.Context(), 1))
	// The relay learns of a reset asynchronously.
	time.Sleep(timeout)
	relay.Heal()
	select {
	case uri := <-arrived:
		require.Fail(t, "given up", uri)
	case <-time.After(timeout):
	}
}
