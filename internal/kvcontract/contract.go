package kvcontract

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

// System is an implementation of waxwingpick.KeyValue, with the service that it calls and its clock.
type System struct {
	KV    waxwingpick.KeyValue
	Store *memkv.Store
	Clock *timer.Manual
}

// Cleaner is the part of *testing.T and *rapid.T that constructors of a System use.
type Cleaner interface {
	require.TestingT
	Cleanup(fn func())
}

// Checks is the number of call sequences to check an implementation with.
const Checks = 60

// Fake returns the in-memory client without an adapter.
func Fake(Cleaner) System {
	clock := timer.NewManual(time.Unix(0, 0))
	store := memkv.New(clock)
	return System{
		KV:    store.Client(),
		Store: store,
		Clock: clock,
	}
}

// Check runs random calls against new systems and compares every result with a model. lastKey sorts after all other keys
// and should have the most unusual bytes that the service accepts.
func Check(t *testing.T, lastKey string, newSystem func(t Cleaner) System) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(lastKey, newSystem(rt))
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
}

const leaseTTL = 5 * time.Second

type model struct {
	System
	lastKey  string
	revision int64
	entries  map[string]waxwingpick.Entry
	bound    map[string]waxwingpick.LeaseID
	leases   map[waxwingpick.LeaseID]time.Time
	granted  []waxwingpick.LeaseID
}

func newModel(lastKey string, s System) *model {
	return &model{
		System:  s,
		lastKey: lastKey,
		entries: make(map[string]waxwingpick.Entry),
		bound:   make(map[string]waxwingpick.LeaseID),
		leases:  make(map[waxwingpick.LeaseID]time.Time),
		granted: []waxwingpick.LeaseID{0, 4711},
	}
}

// keys returns all keys of the model in order.
func (m *model) keys() []string {
	return []string{"a", "p/", "p/1", "p/2", "q", m.lastKey}
}

func (m *model) drawKey(t *rapid.T) string {
	return rapid.SampledFrom(m.keys()).Draw(t, "key")
}

// drawExpected draws an expected revision, most often the current one.
func (m *model) drawExpected(t *rapid.T, key string) int64 {
	current := m.entries[key].Revision
	return rapid.SampledFrom([]int64{current, current, 0, current + 1}).Draw(t, "expected")
}

// fault sets a random fault for the next write. It returns whether the write takes effect and the expected error.
func (m *model) fault(t *rapid.T) (effect bool, want error) {
	switch rapid.SampledFrom([]string{"none", "none", "down", "lost"}).Draw(t, "fault") {
	case "down":
		m.Store.SetDown(true)
		return false, waxwingpick.ErrUnavailable
	case "lost":
		m.Store.LoseResponses(1)
		return true, waxwingpick.ErrUnknownOutcome
	}
	return true, nil
}

func (m *model) endFault() {
	m.Store.SetDown(false)
	m.Store.LoseResponses(0)
}

// drawAfter draws the revision for GetSince and ListSince. Zero reads keys of any revision.
func (m *model) drawAfter(t *rapid.T) int64 {
	return rapid.Int64Range(0, 2).Draw(t, "any") / 2 * rapid.Int64Range(0, m.revision+1).Draw(t, "after")
}

func (m *model) get(t *rapid.T) {
	key := m.drawKey(t)
	_, want := m.fault(t)
	after := m.drawAfter(t)
	e, err := m.KV.GetSince(context.Background(), key, after)
	if after == 0 && err == nil {
		e, err = m.KV.Get(context.Background(), key)
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
	m.requireEntry(t, key, e)
}

func (m *model) requireEntry(t *rapid.T, key string, got waxwingpick.Entry) {
	want := m.entries[key]
	require.Equal(t, key, got.Key)
	require.Equal(t, want.Revision, got.Revision)
	require.Equal(t, string(want.Value), string(got.Value))
}

func (m *model) list(t *rapid.T) {
	prefix := rapid.SampledFrom([]string{"", "p", "p/", "z", m.lastKey}).Draw(t, "prefix")
	after := m.drawAfter(t)
	entries, err := m.KV.ListSince(context.Background(), prefix, after, 3)
	if after == 0 && err == nil {
		entries, err = m.KV.List(context.Background(), prefix, 3)
	}
	require.NoError(t, err)
	var want []string
	for _, key := range m.keys() {
		if m.entries[key].Revision > after && len(key) >= len(prefix) && key[:len(prefix)] == prefix && len(want) < 3 {
			want = append(want, key)
		}
	}
	require.Len(t, entries, len(want))
	for i, e := range entries {
		m.requireEntry(t, want[i], e)
	}
}

func (m *model) swap(t *rapid.T) {
	key := m.drawKey(t)
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
	e, err := m.KV.CompareAndSwap(context.Background(), key, expected, []byte(value), lease)
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
		m.requireEntry(t, key, e)
	}
}

func (m *model) remove(t *rapid.T) {
	key := m.drawKey(t)
	expected := m.drawExpected(t, key)
	effect, want := m.fault(t)
	conflict := expected != m.entries[key].Revision
	if effect && !conflict {
		m.deleteKey(key)
	}
	err := m.KV.CompareAndDelete(context.Background(), key, expected)
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

func (m *model) deleteKey(key string) {
	if m.entries[key].Exists() {
		m.revision++
	}
	delete(m.entries, key)
	delete(m.bound, key)
}

func (m *model) grant(t *rapid.T) {
	id, err := m.KV.Grant(context.Background(), leaseTTL)
	require.NoError(t, err)
	require.NotContains(t, m.granted, id)
	m.granted = append(m.granted, id)
	m.leases[id] = m.Clock.Now().Add(leaseTTL)
}

func (m *model) keepAlive(t *rapid.T) {
	id := rapid.SampledFrom(m.granted).Draw(t, "lease")
	left, err := m.KV.KeepAlive(context.Background(), id)
	if _, live := m.leases[id]; !live {
		require.ErrorIs(t, err, waxwingpick.ErrLeaseExpired)
		return
	}
	require.NoError(t, err)
	require.Equal(t, leaseTTL, left)
	m.leases[id] = m.Clock.Now().Add(leaseTTL)
}

func (m *model) revoke(t *rapid.T) {
	id := rapid.SampledFrom(m.granted).Draw(t, "lease")
	err := m.KV.Revoke(context.Background(), id)
	if _, live := m.leases[id]; !live {
		require.ErrorIs(t, err, waxwingpick.ErrLeaseExpired)
		return
	}
	require.NoError(t, err)
	m.endLease(id)
}

func (m *model) endLease(id waxwingpick.LeaseID) {
	delete(m.leases, id)
	for _, key := range m.keys() {
		if m.bound[key] == id {
			m.deleteKey(key)
		}
	}
}

func (m *model) advance(t *rapid.T) {
	m.Clock.Advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
	for _, id := range m.granted {
		if expires, live := m.leases[id]; live && !expires.After(m.Clock.Now()) {
			m.endLease(id)
		}
	}
}
