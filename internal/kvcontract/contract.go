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

// System is an implementation of the port with the fault switches of the service behind it.
type System struct {
	KV    waxwingpick.KeyValue
	Store *memkv.Store
	Clock *timer.Manual
}

// Cleaner is the part of a test that outlives the making of a system.
type Cleaner interface {
	require.TestingT
	Cleanup(fn func())
}

// Checks is the number of series of calls that the contract is meant to be checked with.
const Checks = 60

// Fake returns the fake of the port itself.
func Fake(Cleaner) System {
	clock := timer.NewManual(time.Unix(0, 0))
	store := memkv.New(clock)
	return System{
		KV:    store.Client(),
		Store: store,
		Clock: clock,
	}
}

// Check runs random calls against new systems and compares every answer with a plain model. odd is the last key in order,
// as strange as the service takes one.
func Check(t *testing.T, odd string, newSystem func(t Cleaner) System) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(odd, newSystem(rt))
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

const leaseTime = 5 * time.Second

type model struct {
	System
	odd      string
	revision int64
	entries  map[string]waxwingpick.Entry
	bound    map[string]waxwingpick.LeaseID
	leases   map[waxwingpick.LeaseID]time.Time
	granted  []waxwingpick.LeaseID
}

func newModel(odd string, s System) *model {
	return &model{
		System:  s,
		odd:     odd,
		entries: make(map[string]waxwingpick.Entry),
		bound:   make(map[string]waxwingpick.LeaseID),
		leases:  make(map[waxwingpick.LeaseID]time.Time),
		granted: []waxwingpick.LeaseID{0, 4711},
	}
}

// keys returns all keys of the model in order.
func (m *model) keys() []string {
	return []string{"a", "p/", "p/1", "p/2", "q", m.odd}
}

func (m *model) drawKey(t *rapid.T) string {
	return rapid.SampledFrom(m.keys()).Draw(t, "key")
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
		m.Store.SetDown(true)
		return false, waxwingpick.ErrUnavailable
	case "lost":
		m.Store.LoseAnswers(1)
		return true, waxwingpick.ErrUnknownOutcome
	}
	return true, nil
}

func (m *model) endFault() {
	m.Store.SetDown(false)
	m.Store.LoseAnswers(0)
}

// drawAfter draws the revision after which a read asks; before all of them it is a read of anything.
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
	m.same(t, key, e)
}

func (m *model) same(t *rapid.T, key string, got waxwingpick.Entry) {
	want := m.entries[key]
	require.Equal(t, key, got.Key)
	require.Equal(t, want.Revision, got.Revision)
	require.Equal(t, string(want.Value), string(got.Value))
}

func (m *model) list(t *rapid.T) {
	prefix := rapid.SampledFrom([]string{"", "p", "p/", "z", m.odd}).Draw(t, "prefix")
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
		m.same(t, want[i], e)
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
		m.same(t, key, e)
	}
}

func (m *model) remove(t *rapid.T) {
	key := m.drawKey(t)
	expected := m.drawExpected(t, key)
	effect, want := m.fault(t)
	conflict := expected != m.entries[key].Revision
	if effect && !conflict {
		m.drop(key)
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

func (m *model) drop(key string) {
	if m.entries[key].Exists() {
		m.revision++
	}
	delete(m.entries, key)
	delete(m.bound, key)
}

func (m *model) grant(t *rapid.T) {
	id, err := m.KV.Grant(context.Background(), leaseTime)
	require.NoError(t, err)
	require.NotContains(t, m.granted, id)
	m.granted = append(m.granted, id)
	m.leases[id] = m.Clock.Now().Add(leaseTime)
}

func (m *model) keepAlive(t *rapid.T) {
	id := rapid.SampledFrom(m.granted).Draw(t, "lease")
	left, err := m.KV.KeepAlive(context.Background(), id)
	if _, live := m.leases[id]; !live {
		require.ErrorIs(t, err, waxwingpick.ErrLeaseExpired)
		return
	}
	require.NoError(t, err)
	require.Equal(t, leaseTime, left)
	m.leases[id] = m.Clock.Now().Add(leaseTime)
}

func (m *model) revoke(t *rapid.T) {
	id := rapid.SampledFrom(m.granted).Draw(t, "lease")
	err := m.KV.Revoke(context.Background(), id)
	if _, live := m.leases[id]; !live {
		require.ErrorIs(t, err, waxwingpick.ErrLeaseExpired)
		return
	}
	require.NoError(t, err)
	m.end(id)
}

func (m *model) end(id waxwingpick.LeaseID) {
	delete(m.leases, id)
	for _, key := range m.keys() {
		if m.bound[key] == id {
			m.drop(key)
		}
	}
}

func (m *model) advance(t *rapid.T) {
	m.Clock.Advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
	for _, id := range m.granted {
		if expires, live := m.leases[id]; live && !expires.After(m.Clock.Now()) {
			m.end(id)
		}
	}
}
