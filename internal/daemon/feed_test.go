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

// member is one gateway of a fleet, with a relay on its way to the store.
type member struct {
	boot    platform.Boot
	process *gatewayProcess
	store   *loopback.Relay
}

// fleet is several gateways of one availability zone before one store.
type fleet struct {
	*site
	members []*member
	version int
}

const (
	readsChanges = "waxwingpick_gateway_feed_reads 1\n"
	hearsChanges = "waxwingpick_gateway_feed_reads 0\n"
)

// startFleet returns a fleet of which two members read the store.
func startFleet(t *testing.T, size int) *fleet {
	f := &fleet{
		site:    newSite(t),
		version: 1,
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
	way, err := loopback.NewRelay(f.store.Addr())
	require.NoError(f.t, err)
	f.t.Cleanup(way.Close)
	m := &member{
		boot:  bootOf(f.t, id, way.Addr(), time.Second),
		store: way,
	}
	m.process = launch(f.t, m.boot)
	f.members = append(f.members, m)
}

func (m *member) stop(t *testing.T) {
	require.NoError(t, m.process.Stop(context.Background()))
}

// reads reports whether a member reads the store.
func (f *fleet) reads(m *member) bool {
	return f.hasMetric(m.boot, readsChanges)
}

// readers returns the members that read the store.
func (f *fleet) readers() []*member {
	var readers []*member
	for _, m := range f.members {
		if f.reads(m) {
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

// configure writes a configuration with a route of its own, and waits until it is in force at the members.
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
			status, _, _ := f.read(f.ask("id", "/"+path+"/1", ""))
			return status == http.StatusOK
		}, time.Minute, 5*time.Millisecond, "version %d at %s", f.version, m.boot.Instance)
	}
}

// remove takes members out of the fleet.
func (f *fleet) remove(gone ...*member) {
	f.members = slices.DeleteFunc(f.members, func(m *member) bool {
		return slices.Contains(gone, m)
	})
}

// TestFewGatewaysReadTheStoreForTheirZone takes the relays from a zone in all the ways that a process can be lost, twice, and
// has configurations come in force at the others all the same.
func TestFewGatewaysReadTheStoreForTheirZone(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 5)
	f.configure(f.members...)

	// Relays stop, one after the other and both at once.
	gone := f.readers()[:1]
	f.remove(gone...)
	gone[0].stop(t)
	f.configure(f.members...)
	f.awaitReaders(2)
	f.add("late")
	f.configure(f.members...)
	f.awaitReaders(2)

	// Relays lose the store and nothing else: others read it, and tell them too.
	for range 2 {
		cut := f.readers()
		for _, m := range cut {
			m.store.Cut(loopback.Forward, loopback.Back)
		}
		f.configure(f.members...)
		for _, m := range cut {
			m.store.Heal()
		}
		f.configure(f.members...)
		f.awaitReaders(2)
	}

	// The store forgets its history, and a target leaves that all of them knew.
	f.store.Forget()
	require.NoError(t, f.store.Remove(t.Context(), "servers/app1"))
	f.configure(f.members...)
	for _, m := range f.members {
		require.Eventually(t, func() bool {
			return f.hasMetric(m.boot, `waxwingpick_gateway_targets{service="app",state="ready"} 1`+"\n")
		}, time.Minute, 10*time.Millisecond)
	}

	// A configuration that no datagram holds is read from the store by all.
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

// TestGatewayThatHearsChangesServesWhileTheStoreIsAway has the store go away and come back for all of a zone.
func TestGatewayThatHearsChangesServesWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4)
	for range 2 {
		f.store.Store().SetDown(true)
		for _, m := range f.members {
			f.boot = m.boot
			status, _, _ := f.read(f.ask("id", "/read/1", ""))
			require.Equal(t, http.StatusOK, status)
		}
		f.store.Store().SetDown(false)
		f.configure(f.members...)
		f.awaitReaders(2)
		f.store.Store().SetDown(true)
		require.Eventually(t, func() bool {
			return len(f.readers()) == len(f.members)
		}, time.Minute, 10*time.Millisecond, "without a relay that reaches the store all look for it")
		f.store.Store().SetDown(false)
		f.awaitReaders(2)
	}
}
