package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

func entryOf(key, addr string) waxwingpick.Entry {
	return waxwingpick.Entry{
		Key:      key,
		Value:    []byte(addr),
		Revision: 1,
	}
}

func newTestPeers(t *testing.T) (*peers, *timer.Manual, *int) {
	p, clock := newProcess(t, unused{})
	p.options.Zone = "a"
	unlisted := 0
	return newPeers(p, "10.0.0.1:1", func() { unlisted++ }), clock, &unlisted
}

func TestPeersAreListedByZone(t *testing.T) {
	s, _, _ := newTestPeers(t)
	s.replace([]waxwingpick.Entry{
		entryOf(peerKey("a", "gateway"), "10.0.0.1:1"),
		entryOf(peerKey("a", "near"), "10.0.0.2:1"),
		entryOf(peerKey("b", "far"), "10.0.0.3:1"),
		// The key of a gateway of a former version has no zone.
		entryOf(peersPrefix+"former", "10.0.0.4:1"),
	})
	s.batchApplied()
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}, s.all())
	require.Equal(t, []string{"10.0.0.2:1"}, s.sameZone())
	require.EqualValues(t, 4, s.process.gatewayCount.Load())
}

// TestPeersSurviveExpiryOfTheirEntries removes all entries, as an outage of the key-value service does. A gateway whose
// entry is written again within the grace period has to stay listed throughout.
func TestPeersSurviveExpiryOfTheirEntries(t *testing.T) {
	s, clock, unlisted := newTestPeers(t)
	all := []waxwingpick.Entry{
		entryOf(peerKey("a", "gateway"), "10.0.0.1:1"),
		entryOf(peerKey("a", "back"), "10.0.0.2:1"),
		entryOf(peerKey("a", "gone"), "10.0.0.3:1"),
	}
	s.replace(all)
	s.replace(nil)
	require.Len(t, s.all(), 2)
	clock.Advance(peerGracePeriod / 2)
	s.put(all[1])
	clock.Advance(peerGracePeriod)
	s.expire(clock.Now())
	require.Equal(t, []string{"10.0.0.2:1"}, s.all())
	s.remove(all[0].Key)
	require.Equal(t, 1, *unlisted)
}

func TestPeersAreBounded(t *testing.T) {
	s, _, _ := newTestPeers(t)
	for i := range maxPeers + 10 {
		s.put(entryOf(peersPrefix+time.Duration(i).String(), time.Duration(i).String()))
	}
	require.Equal(t, maxPeers, s.count())
}

// TestAddressStaysRegistered follows this process's entry through a restart, an expired lease and an outage of the
// service.
func TestAddressStaysRegistered(t *testing.T) {
	p, clock := newProcess(t, unused{})
	kv := memkv.New(clock)
	client := kv.Client()
	p.options.Zone = "a"
	p.options.KeyValue = client
	p.options.PeerAddr = "10.0.0.1:1"
	r := newRegistration(p)
	listed := func() string {
		e, err := client.Get(context.Background(), peerKey("a", "gateway"))
		require.NoError(t, err)
		return string(e.Value)
	}
	// The entry of the previous process is still there.
	_, err := client.CompareAndSwap(context.Background(), r.key, 0, []byte("10.0.0.9:1"), 0)
	require.NoError(t, err)
	pass := func(d time.Duration) {
		for range d / registerCheckInterval {
			clock.Advance(registerCheckInterval)
			r.renewIfDue(clock.Now())
		}
	}
	pass(registerCheckInterval)
	require.Equal(t, "10.0.0.1:1", listed())
	pass(10 * peerLeaseTTL)
	require.Equal(t, "10.0.0.1:1", listed())
	require.LessOrEqual(t, kv.Calls(waxwingpick.CallKeepAlive), int64(10*peerLeaseTTL/renewInterval))

	require.True(t, kv.ExpireKey(r.key))
	require.Empty(t, listed())
	r.entryRemoved()
	pass(registerCheckInterval)
	require.Equal(t, "10.0.0.1:1", listed())

	kv.SetDown(true)
	pass(2 * peerLeaseTTL)
	kv.SetDown(false)
	pass(registerRetryDelay + registerCheckInterval)
	require.Equal(t, "10.0.0.1:1", listed())
}
