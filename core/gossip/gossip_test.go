package gossip_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/gossip"
)

const key = "waxwingpick/plan/maestro"

func newStore(t require.TestingT) *gossip.Store {
	s, err := gossip.NewStore(func(_ string, body []byte) error {
		if bytes.HasPrefix(body, []byte("bad")) {
			return eris.New("bad record")
		}
		return nil
	})
	require.NoError(t, err)
	return s
}

// body returns a record whose revisions differ in a small part, as a plan's do.
func body(revision int64) []byte {
	var b bytes.Buffer
	for i := range 600 {
		number := int64(i)
		if int64(i) == revision%600 {
			number += revision * 1000
		}
		fmt.Fprintf(&b, `{"id":"maestro-%04d","order":{"number":%d,"config":{"role":"decode","model":"m-%x"}}}`, i, number, number*2654435761)
	}
	return b.Bytes()
}

// exchange runs a complete exchange and returns the number of bytes of the transferred bodies.
func exchange(t require.TestingT, a, b *gossip.Store) int {
	response, _, err := b.Handle("b", a.Hello("a"))
	require.NoError(t, err)
	msg, more := a.Reply("a", response)
	if !more {
		return 0
	}
	response, _, err = b.Handle("b", msg)
	require.NoError(t, err)
	_, err = a.Finish(response)
	require.NoError(t, err)
	transferred := 0
	for _, body := range append(msg.Bodies, response.Bodies...) {
		transferred += len(body.Data)
	}
	return transferred
}

func TestExchangeSynchronizesBothSides(t *testing.T) {
	a, b := newStore(t), newStore(t)
	a.Accept(key, 7, body(7))
	b.Accept("waxwingpick/config", 9, []byte("config"))
	full := exchange(t, a, b)
	require.Equal(t, a.Sum(), b.Sum())
	require.Equal(t, a.Digest(), b.Digest())
	require.Zero(t, exchange(t, a, b))

	// A later revision is sent as a delta, also after a gap and when the older side starts the exchange.
	a.Accept(key, 12, body(12))
	delta := exchange(t, b, a)
	got, revision := b.Get(key)
	require.Equal(t, int64(12), revision)
	require.Equal(t, body(12), got)
	require.Less(t, delta*10, full)
	t.Logf("plan of %d bytes: full %d bytes, delta %d bytes", len(got), full, delta)
}

func TestStoreRefusesWhatWasNotAccepted(t *testing.T) {
	sender := newStore(t)
	sender.Accept(key, 4, body(4))
	sender.Accept(key, 5, body(5))
	full := func() waxwingpick.RecordBody {
		response, _, err := sender.Handle("s", pull(0))
		require.NoError(t, err)
		return response.Bodies[0]
	}
	delta := func() waxwingpick.RecordBody {
		response, _, err := sender.Handle("s", pull(4))
		require.NoError(t, err)
		return response.Bodies[0]
	}
	cases := []struct {
		name   string
		held   int64
		body   func() waxwingpick.RecordBody
		change func(b *waxwingpick.RecordBody)
		want   int64
		fails  bool
	}{
		{name: "whole", body: full, want: 5},
		{name: "delta", held: 4, body: delta, want: 5},
		{name: "delta without its base", body: delta, fails: true},
		{name: "delta on another base", held: 3, body: delta, change: func(b *waxwingpick.RecordBody) { b.Base = 3 }, want: 3, fails: true},
		{name: "older", held: 6, body: full, want: 6},
		{name: "the same", held: 5, body: full, want: 5},
		{name: "damaged", body: full, change: func(b *waxwingpick.RecordBody) { b.Data[len(b.Data)/2] ^= 1 }, fails: true},
		{name: "cut off", body: full, change: func(b *waxwingpick.RecordBody) { b.Data = b.Data[:len(b.Data)/2] }, fails: true},
		{name: "empty", body: full, change: func(b *waxwingpick.RecordBody) { b.Data = nil }, fails: true},
		{name: "another sum", body: full, change: func(b *waxwingpick.RecordBody) { b.Sum++ }, fails: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStore(t)
			if c.held > 0 {
				s.Accept(key, c.held, body(c.held))
			}
			b := c.body()
			if c.change != nil {
				c.change(&b)
			}
			_, _, err := s.Handle("r", waxwingpick.PeerMessage{
				Bodies: []waxwingpick.RecordBody{b},
			})
			require.Equal(t, c.fails, err != nil, "%v", err)
			got, revision := s.Get(key)
			require.Equal(t, c.want, revision)
			if revision > 0 {
				require.Equal(t, body(revision), got)
			}
		})
	}
}

func pull(held int64) waxwingpick.PeerMessage {
	return waxwingpick.PeerMessage{
		Pull: []waxwingpick.RecordRevision{{
			Key:      key,
			Revision: held,
		}},
	}
}

func TestStoreRefusesAnOversizedOrInvalidBody(t *testing.T) {
	for _, data := range [][]byte{make([]byte, 4*waxwingpick.MaxValueSize), []byte("bad record")} {
		sender, receiver := newStore(t), newStore(t)
		sender.Accept(key, 1, data)
		response, _, err := sender.Handle("s", pull(0))
		require.NoError(t, err)
		_, err = receiver.Finish(response)
		require.Error(t, err)
		_, revision := receiver.Get(key)
		require.Zero(t, revision)
	}
}

// TestStoreOnlyRises delivers messages in any order, late and repeatedly. A stored revision must never decrease.
func TestStoreOnlyRises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stores := []*gossip.Store{newStore(rt), newStore(rt), newStore(rt)}
		var sent []waxwingpick.PeerMessage
		newest := int64(0)
		held := make([]int64, len(stores))
		anyStore := func() int {
			return rapid.IntRange(0, len(stores)-1).Draw(rt, "store")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				newest++
				stores[anyStore()].Accept(key, newest, body(newest))
			},
			"late read": func(rt *rapid.T) {
				revision := rapid.Int64Range(0, newest).Draw(rt, "revision")
				stores[anyStore()].Accept(key, revision, body(revision))
			},
			"send": func(rt *rapid.T) {
				from, to := stores[anyStore()], stores[anyStore()]
				response, _, err := to.Handle("to", from.Hello("from"))
				require.NoError(rt, err)
				if msg, ok := from.Reply("from", response); ok {
					sent = append(sent, msg)
				}
			},
			"deliver": func(rt *rapid.T) {
				if len(sent) == 0 {
					return
				}
				msg := sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "message")]
				// The base of a late delta may be missing. The next exchange then transfers the record.
				response, _, _ := stores[anyStore()].Handle("to", msg)
				sent = append(sent, response)
			},
			"": func(rt *rapid.T) {
				for i, s := range stores {
					got, revision := s.Get(key)
					require.GreaterOrEqual(rt, revision, held[i])
					if revision != held[i] {
						require.Equal(rt, body(revision), got)
					}
					held[i] = revision
				}
			},
		})
	})
}

func TestProcessLearnsBeforeItServes(t *testing.T) {
	self := waxwingpick.Instance{
		ID:   "self",
		Zone: "sierra-a",
	}
	live := []waxwingpick.Instance{self}
	for i := range 5 {
		live = append(live, waxwingpick.Instance{
			ID:   waxwingpick.InstanceID(fmt.Sprintf("peer-%d", i)),
			Zone: waxwingpick.AvailabilityZone([]string{"sierra-a", "sierra-a", "sierra-a", "sierra-b", "sierra-b"}[i]),
		})
	}
	now := time.Unix(0, 0)
	g := gossip.NewGossip(self, rand.New(rand.NewPCG(1, 1)))
	for range gossip.MaxSyncRounds - 1 {
		otherZone := 0
		chosen := g.Start(now, live)
		require.Len(t, chosen, 3)
		for _, p := range chosen {
			require.NotEqual(t, self.ID, p.ID)
			if p.Zone != self.Zone {
				otherZone++
			}
		}
		require.Equal(t, 1, otherZone)
	}
	require.False(t, g.Synced(live[:1]))
	require.False(t, g.Synced(live))
	for i, p := range live[1:] {
		require.Equal(t, i >= gossip.MinSyncedPeers, g.Synced(live), "after %d responses", i)
		g.Exchanged(p.ID)
	}
	onePeer := gossip.NewGossip(self, rand.New(rand.NewPCG(1, 1)))
	onePeer.Exchanged(live[1].ID)
	for range gossip.MaxSyncRounds {
		require.False(t, onePeer.Synced(live))
		onePeer.Start(now, live)
	}
	require.True(t, onePeer.Synced(live))
	read := gossip.NewGossip(self, rand.New(rand.NewPCG(1, 1)))
	read.StoreRead()
	require.True(t, read.Synced(live[:1]))
}

func BenchmarkPlanOf600Replicas(b *testing.B) {
	bodies := [][]byte{body(4), body(5)}
	for _, c := range []struct {
		name string
		held int64
	}{{name: "whole"}, {name: "delta", held: 1}} {
		b.Run(c.name, func(b *testing.B) {
			s := newStore(b)
			s.Accept(key, 1, bodies[1])
			revision := int64(1)
			transferred := 0
			for b.Loop() {
				revision++
				s.Accept(key, revision, bodies[revision%2])
				response, _, _ := s.Handle("s", pull((revision-1)*c.held))
				transferred = len(response.Bodies[0].Data)
			}
			b.ReportMetric(float64(transferred), "carriedBytes")
		})
	}
}
