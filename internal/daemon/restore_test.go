package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/targetlist"
)

// TestNothingGoesBackWithTheStore has the store return from an older copy and give the lost revisions out to other writes before
// any gateway asks again. The leave of a target stays in force at all gateways, which follow what is written under the lost
// revisions and later, and register again.
func TestNothingGoesBackWithTheStore(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4)
	f.store.SetEra(1)
	f.awaitAll("waxwingpick_gateway_store_era 1\n")
	older := f.store.Store().Copy()
	f.configure(f.members...)
	draining := f.services[0].ListRecord("app", "zone", "draining")
	require.NoError(t, f.store.Put(t.Context(), "servers/app0", draining))
	f.awaitAll("waxwingpick_gateway_targets{service=\"app\",state=\"leaving\"} 1\n")
	for range 50 {
		require.NoError(t, f.store.Put(t.Context(), "op/lost", 1))
	}
	lost := f.store.Store().Revision()

	for era := 2; era < 4; era++ {
		restored := time.Now()
		f.store.Restore(older)
		// The next configuration is written under a lost revision.
		f.configure()
		require.LessOrEqual(t, f.store.Store().Revision(), lost)
		for i := 0; f.store.Store().Revision() <= lost; i++ {
			require.NoError(t, f.store.Put(t.Context(), fmt.Sprint("op/unrelated", i), era))
		}
		f.awaitAll(fmt.Sprintf("waxwingpick_gateway_store_era %d\n", era))
		f.awaitAll(fmt.Sprintf("waxwingpick_gateway_routes_version %d\n", f.version))
		arrived := len(f.services[0].Arrivals())
		for i := range 20 {
			for _, m := range f.members {
				f.boot = m.boot
				status, _, _ := f.read(f.send(fmt.Sprint("id", era, i), fmt.Sprintf("/version%d/1", f.version), ""))
				require.Equal(t, http.StatusOK, status, "the latest configuration at %s", m.boot.Instance)
			}
		}
		// The target does not write its entry again, so that the one of the copy applies after HoldTime.
		for _, at := range f.services[0].Arrivals()[arrived:] {
			require.GreaterOrEqual(t, at.Sub(restored), targetlist.HoldTime, "a request to the leaving target")
		}

		// What the operators and the target wrote is written again.
		draining["sequence"] = era
		require.NoError(t, f.store.Put(t.Context(), "servers/app0", draining))
		f.configure(f.members...)
		f.awaitAll("waxwingpick_gateway_targets{service=\"app\",state=\"leaving\"} 1\n")
		for _, m := range f.members {
			require.Eventually(t, func() bool {
				e, _ := f.store.Store().Peek("waxwingpick/gateway/zone/" + string(m.boot.Instance))
				return e.Exists()
			}, time.Minute, 10*time.Millisecond, "%s registers again", m.boot.Instance)
		}
		lost = max(lost, f.store.Store().Revision())
	}
}

// awaitAll waits until the metrics of all members contain a line.
func (f *fleet) awaitAll(line string) {
	for _, m := range f.members {
		f.awaitMetric(m.boot, line)
	}
}
