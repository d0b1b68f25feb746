package daemon

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLateHeartbeatDoesNotBringALeavingTargetBack guards against new work for a target that leaves, after the store has executed one of
// its earlier writes late.
func TestLateHeartbeatDoesNotBringALeavingTargetBack(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	leaves := s.services[0]
	write := func(sequence int, state string) {
		entry := leaves.ListRecord("app", "zone", state)
		entry["sequence"] = sequence
		require.NoError(t, s.store.Put(t.Context(), "servers/app0", entry))
	}
	write(5, "draining")
	s.awaitMetric(s.boot, "waxwingpick_gateway_targets{service=\"app\",state=\"leaving\"} 1\n")
	arrived := len(leaves.Arrivals())
	write(2, "ready")
	// Changes apply in their order.
	require.NoError(t, s.store.Put(t.Context(), "op/config", routes(2)))
	s.awaitMetric(s.boot, "waxwingpick_gateway_routes_version 2\n")
	for i := range 20 {
		status, _, _ := s.read(s.send(fmt.Sprint("id", i), "/order/1", ""))
		require.Equal(t, http.StatusOK, status)
	}
	require.Len(t, leaves.Arrivals(), arrived)
}
