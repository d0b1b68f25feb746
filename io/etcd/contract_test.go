package etcd_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/rapidtest"
	"waxwingpick/internal/standin/etcd"
	"waxwingpick/internal/standin/memkv"
	adapter "waxwingpick/io/etcd"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, ciRuns)
}

const ciRuns = 60

// system is an implementation of the port with the fault switches of the service behind it.
type system struct {
	kv    waxwingpick.KeyValue
	store *memkv.Store
	clock *timer.Manual
}

type cleaner interface {
	require.TestingT
	Cleanup(fn func())
}

func fake(cleaner) system {
	clock := timer.NewManual(time.Unix(0, 0))
	store := memkv.New(clock)
	return system{
		kv:    store.Client(),
		store: store,
		clock: clock,
	}
}

func overHTTP(t cleaner) system {
	clock := timer.NewManual(time.Unix(0, 0))
	server, client, _ := start(t, clock)
	return system{
		kv:    client,
		store: server.Store(),
		clock: clock,
	}
}

func start(t cleaner, clock *timer.Manual) (*etcd.Server, *adapter.Client, string) {
	server, err := etcd.New(etcd.WithTimers(clock))
	require.NoError(t, err)
	addr, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client, err := adapter.New(addr, adapter.WithTimers(clock))
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return server, client, addr
}

var systems = []struct {
	name string
	make func(t cleaner) system
}{
	{
		name: "memkv",
		make: fake,
	},
	{
		name: "etcd",
		make: overHTTP,
	},
}

// TestContractAgainstModel runs random calls and compares every answer with a plain model.
func TestContractAgainstModel(t *testing.T) {
	for _, tc := range systems {
		t.Run(tc.name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				m := newModel(rt, tc.make(rt))
				rt.Repeat(map[string]func(*rapid.T){
					"get":       m.get,
					"list":      m.list,
					"swap":      m.swap,
					"delete":    m.remove,
					"grant":     m.grant,
					"keepAlive": m.keepAlive,
					"revoke":    m.revoke,
					"advance":   m.advance,
				})
			})
		})
	}
}

const leaseTime = 5 * time.Second

type model struct {
	system
	revision int64
	entries  map[string]waxwingpick.Entry
	bound    map[string]waxwingpick.LeaseID
	leases   map[waxwingpick.LeaseID]time.Time
	granted  []waxwingpick.LeaseID
}

func newModel(_ *rapid.T, s system) *model {
	return &model{
		system:  s,
		entries: make(map[string]waxwingpick.Entry),
		bound:   make(map[string]waxwingpick.LeaseID),
		leases:  make(map[waxwingpick.LeaseID]time.Time),
		granted: []waxwingpick.LeaseID{0, 4711},
	}
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "p/", "p/1", "p/2", "q", "\xff"}).Draw(t, "key")
}

// drawExpected prefers the right revision.
func (m *model) drawExpected(t *rapid.T, key string) int64 {
	current := m.entries[key].Revision
	return rapid.SampledFrom([]int64{current, current, 0, current + 1}).Draw(t, "expected")
}

// fault switches one fault on for the next write and returns what it does to the answer and the effect.
func (m *model) fault(t *rapid.T) (effect bool, want error) {
	switch rapid.SampledFrom([]string{"none", "none", "down", "lost"}).Draw(t, "fault") {
	case "down":
		m.store.SetDown(true)
		return false, waxwingpick.ErrUnavailable
	case "lost":
		m.store.LoseAnswers(1)
		return true, waxwingpick.ErrUnknownOutcome
	}
	return true, nil
}

func (m *model) endFault() {
	m.store.SetDown(false)
	m.store.LoseAnswers(0)
}

// drawAfter draws the revision after which a read asks; before all of them it is a read of anything.
func (m *model) drawAfter(t *rapid.T) int64 {
	return rapid.Int64Range(0, 2).Draw(t, "any") / 2 * rapid.Int64Range(0, m.revision+1).Draw(t, "after")
}

func (m *model) get(t *rapid.T) {
	key := drawKey(t)
	_, want := m.fault(t)
	after := m.drawAfter(t)
	e, err := m.kv.GetSince(context.Background(), key, after)
	if after == 0 && err == nil {
		e, err = m.kv.Get(context.Background(), key)
	}
	m.endFault()
	if want == waxwingpick.ErrUnavailable {
		require.ErrorIs(t, err, want)
		return
	}
	require.NoError(t, err)
	if m.entries[key].Revision <= after {
		require.False(t, e.Exists())
		return
	}
	m.same(t, key, e)
}

func (m *model) same(t *rapid.T, key string, got waxwingpick.Entry) {
	want := m.entries[key]
	require.Equal(t, key, got.Key)
	require.Equal(t, want.Revision, got.Revision)
	require.Equal(t, string(want.Value), string(got.Value))
}

func (m *model) list(t *rapid.T) {
	prefix := rapid.SampledFrom([]string{"", "p", "p/", "z", "\xff"}).Draw(t, "prefix")
	after := m.drawAfter(t)
	entries, err := m.kv.ListSince(context.Background(), prefix, after, 3)
	if after == 0 && err == nil {
		entries, err = m.kv.List(context.Background(), prefix, 3)
	}
	require.NoError(t, err)
	var want []string
	for _, key := range []string{"a", "p/", "p/1", "p/2", "q", "\xff"} {
		if m.entries[key].Revision > after && len(key) >= len(prefix) && key[:len(prefix)] == prefix && len(want) < 3 {
			want = append(want, key)
		}
	}
	require.Len(t, entries, len(want))
	for i, e := range entries {
		m.same(t, want[i], e)
	}
}

func (m *model) swap(t *rapid.T) {
	key := drawKey(t)
	expected := m.drawExpected(t, key)
	lease := rapid.SampledFrom(m.granted).Draw(t, "lease")
	value := rapid.StringN(0, 8, 32).Draw(t, "value")
	effect, want := m.fault(t)
	_, live := m.leases[lease]
	before := m.revision
	conflict := expected != m.entries[key].Revision
	if effect && !conflict && (lease == 0 || live) {
		m.revision++
		m.entries[key] = waxwingpick.Entry{
			Key:      key,
			Value:    []byte(value),
			Revision: m.revision,
		}
		m.bound[key] = lease
	}
	e, err := m.kv.CompareAndSwap(context.Background(), key, expected, []byte(value), lease)
	m.endFault()
	switch {
	case want != nil:
		require.ErrorIs(t, err, want)
	case conflict:
		require.ErrorIs(t, err, waxwingpick.ErrConflict)
	case m.revision == before:
		require.ErrorIs(t, err, waxwingpick.ErrLeaseExpired)
	default:
		require.NoError(t, err)
		m.same(t, key, e)
	}
}

func (m *model) remove(t *rapid.T) {
	key := drawKey(t)
	expected := m.drawExpected(t, key)
	effect, want := m.fault(t)
	conflict := expected != m.entries[key].Revision
	if effect && !conflict {
		m.drop(key)
	}
	err := m.kv.CompareAndDelete(context.Background(), key, expected)
	m.endFault()
	switch {
	case want != nil:
		require.ErrorIs(t, err, want)
	case conflict:
		require.ErrorIs(t, err, waxwingpick.ErrConflict)
	default:
		require.NoError(t, err)
	}
}

func (m *model) drop(key string) {
	if m.entries[key].Exists() {
		m.revision++
	}
	delete(m.entries, key)
	delete(m.bound, key)
}

func (m *model) grant(t *rapid.T) {
	id, err := m.kv.Grant(context.Background(), leaseTime)
	require.NoError(t, err)
	require.NotContains(t, m.granted, id)
	m.granted = append(m.granted, id)
	m.leases[id] = m.clock.Now().Add(leaseTime)
}

func (m *model) keepAlive(t *rapid.T) {
	id := rapid.SampledFrom(m.granted).Draw(t, "lease")
	left, err := m.kv.KeepAlive(context.Background(), id)
	if _, live := m.leases[id]; !live {
		require.ErrorIs(t, err, waxwingpick.ErrLeaseExpired)
		return
	}
	require.NoError(t, err)
	require.Equal(t, leaseTime, left)
	m.leases[id] = m.clock.Now().Add(leaseTime)
}

func (m *model) revoke(t *rapid.T) {
	id := rapid.SampledFrom(m.granted).Draw(t, "lease")
	err := m.kv.Revoke(context.Background(), id)
	if _, live := m.leases[id]; !live {
		require.ErrorIs(t, err, waxwingpick.ErrLeaseExpired)
		return
	}
	require.NoError(t, err)
	m.end(id)
}

func (m *model) end(id waxwingpick.LeaseID) {
	delete(m.leases, id)
	for _, key := range []string{"a", "p/", "p/1", "p/2", "q", "\xff"} {
		if m.bound[key] == id {
			m.drop(key)
		}
	}
}

func (m *model) advance(t *rapid.T) {
	m.clock.Advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
	for _, id := range m.granted {
		if expires, live := m.leases[id]; live && !expires.After(m.clock.Now()) {
			m.end(id)
		}
	}
}
