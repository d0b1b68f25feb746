package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/loopback"
	"waxwingpick/platform"
)

// member is one gateway of a fleet, with a relay between it and the store.
type member struct {
	boot    platform.Boot
	process *gatewayProcess
	store   *loopback.Relay
}

// fleet is several gateways of one availability zone with a common store.
type fleet struct {
	*testGateway
	members []*member
	version int
}

const (
	storeReadMetric       = "waxwingpick_gateway_feed_reads 1\n"
	updatesReceivedMetric = "waxwingpick_gateway_feed_reads 0\n"
)

// startFleet starts a fleet and waits until two of its members read the store.
func startFleet(t *testing.T, size int) *fleet {
	f := &fleet{
		testGateway: newTestGateway(t),
		version:     1,
	}
	for i := range size {
		f.add(waxwingpick.InstanceID(fmt.Sprint("gateway", i)))
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			m.stop(t)
		}
	})
	f.awaitReaders(2)
	return f
}

func (f *fleet) add(id waxwingpick.InstanceID) {
	storeRelay, err := loopback.NewRelay(f.store.Addr())
	require.NoError(f.t, err)
	f.t.Cleanup(storeRelay.Close)
	m := &member{
		boot:  bootOf(f.t, id, storeRelay.Addr(), time.Second),
		store: storeRelay,
	}
	m.process = launch(f.t, m.boot)
	f.members = append(f.members, m)
}

func (m *member) stop(t *testing.T) {
	require.NoError(t, m.process.Stop(context.Background()))
}

// readsStore reports whether a member reads the store.
func (f *fleet) readsStore(m *member) bool {
	return f.hasMetric(m.boot, storeReadMetric)
}

// readers returns the members that read the store.
func (f *fleet) readers() []*member {
	var readers []*member
	for _, m := range f.members {
		if f.readsStore(m) {
			readers = append(readers, m)
		}
	}
	return readers
}

func (f *fleet) awaitReaders(n int) {
	require.Eventually(f.t, func() bool {
		return len(f.readers()) == n
	}, time.Minute, 20*time.Millisecond)
}

// configure writes a new configuration version with an additional route, and waits until the members serve that route.
func (f *fleet) configure(members ...*member) {
	f.version++
	path := fmt.Sprint("version", f.version)
	next := routes(f.version)
	next["routes"] = append(next["routes"].([]any), map[string]any{
		"name":        path,
		"host":        "a.example",
		"pathPrefix":  "/" + path + "/",
		"kind":        "idempotent",
		"service":     "app",
		"maxAttempts": 2,
	})
	require.NoError(f.t, f.store.Put(f.t.Context(), "op/config", next))
	for _, m := range members {
		require.Eventually(f.t, func() bool {
			f.boot = m.boot
			status, _, _ := f.read(f.send("id", "/"+path+"/1", ""))
			return status == http.StatusOK
		}, time.Minute, 5*time.Millisecond, "version %d at %s", f.version, m.boot.Instance)
	}
}

// remove removes members from the fleet's list without stopping them.
func (f *fleet) remove(removed ...*member) {
	f.members = slices.DeleteFunc(f.members, func(m *member) bool {
		return slices.Contains(removed, m)
	})
}

// TestFewGatewaysReadTheStoreForTheirZone checks that configurations reach all gateways of a zone although only two of
// them, the relays, read the store: also after a relay stops, after relays lose their connection to the store, after the
// store loses its history, and if a configuration is too large for a datagram.
func TestFewGatewaysReadTheStoreForTheirZone(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 5)
	f.configure(f.members...)

	// A relay stops, and another gateway joins.
	stopped := f.readers()[:1]
	f.remove(stopped...)
	stopped[0].stop(t)
	f.configure(f.members...)
	f.awaitReaders(2)
	f.add("late")
	f.configure(f.members...)
	f.awaitReaders(2)

	// The relays lose only their connection to the store. Other gateways then read it, and the former relays receive the
	// updates from these.
	for range 2 {
		cut := f.readers()
		for _, m := range cut {
			m.store.Cut(loopback.Forward, loopback.Backward)
		}
		f.configure(f.members...)
		for _, m := range cut {
			m.store.Heal()
		}
		f.configure(f.members...)
		f.awaitReaders(2)
	}

	// The store loses its history, and a target is removed that all gateways have in their tables.
	f.store.Compact()
	require.NoError(t, f.store.Remove(t.Context(), "servers/app1"))
	f.configure(f.members...)
	for _, m := range f.members {
		require.Eventually(t, func() bool {
			return f.hasMetric(m.boot, `waxwingpick_gateway_targets{service="app",state="ready"} 1`+"\n")
		}, time.Minute, 10*time.Millisecond)
	}

	// A configuration that is too large for a datagram is read from the store by every gateway.
	f.version++
	large := routes(f.version)
	for i := range 4000 {
		large["routes"] = append(large["routes"].([]any), map[string]any{
			"name":       fmt.Sprint("route", i, time.Duration(i*7919*104729)),
			"host":       fmt.Sprintf("h%x.example", i*i*7919),
			"pathPrefix": fmt.Sprintf("/p%x/", i*104729),
			"kind":       "idempotent",
			"service":    "app",
		})
	}
	require.NoError(t, f.store.Put(t.Context(), "op/config", large))
	for _, m := range f.members {
		f.awaitMetric(m.boot, fmt.Sprintf("waxwingpick_gateway_routes_version %d\n", f.version))
	}
	f.configure(f.members...)
}

// TestGatewayThatHearsChangesServesWhileTheStoreIsAway checks that gateways that receive their updates from relays keep
// serving while the store is down for the whole zone, and that all of them read the store themselves while no relay
// reaches it.
func TestGatewayThatHearsChangesServesWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4)
	for range 2 {
		f.store.Store().SetDown(true)
		for _, m := range f.members {
			f.boot = m.boot
			status, _, _ := f.read(f.send("id", "/read/1", ""))
			require.Equal(t, http.StatusOK, status)
		}
		f.store.Store().SetDown(false)
		f.configure(f.members...)
		f.awaitReaders(2)
		f.store.Store().SetDown(true)
		require.Eventually(t, func() bool {
			return len(f.readers()) == len(f.members)
		}, time.Minute, 10*time.Millisecond, "while no relay reaches the store, all gateways read it")
		f.store.Store().SetDown(false)
		f.awaitReaders(2)
	}
}
