package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/gossip"
	"waxwingpick/core/timer"
)

// The simulated network and the bound on the propagation time.
const (
	sameRegionLatency  = 500 * time.Microsecond
	otherRegionLatency = 50 * time.Millisecond
	deadTimeout        = time.Second
	maxPropagation     = 4 * time.Second
	clusterSeeds       = 2
)

// process is one gossiping process on a simulated network.
type process struct {
	self      waxwingpick.Instance
	region    int
	dead      bool
	store     *gossip.Store
	gossip    *gossip.Gossip
	exchanges int
	wakeups   int
}

// cluster holds the processes of three regions with three availability zones each.
type cluster struct {
	t      *testing.T
	clock  *timer.Manual
	random *rand.Rand
	known  []waxwingpick.Instance
	all    map[waxwingpick.InstanceID]*process
	lost   float64
}

func newCluster(t *testing.T, size int, dead, lost float64, seed uint64) *cluster {
	c := &cluster{
		t:      t,
		clock:  timer.NewManual(time.Unix(0, 0)),
		random: rand.New(rand.NewPCG(seed, 1)),
		all:    make(map[waxwingpick.InstanceID]*process),
		lost:   lost,
	}
	for i := range size {
		self := waxwingpick.Instance{
			ID:   waxwingpick.InstanceID(fmt.Sprintf("process-%d", i)),
			Zone: waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%9)),
		}
		c.known = append(c.known, self)
		c.all[self.ID] = &process{
			self:   self,
			region: i % 3,
			dead:   i > 0 && c.random.Float64() < dead,
			store:  newStore(t),
			gossip: gossip.NewGossip(self, rand.New(rand.NewPCG(seed, uint64(i+2)))),
		}
	}
	for _, p := range c.all {
		p.store.Accept(key, 1, []byte("before"))
	}
	for _, peer := range c.known {
		// Processes start at different times.
		c.clock.After(time.Duration(c.random.Int64N(int64(time.Second))), func(now time.Time) {
			c.step(c.all[peer.ID], now)
		})
	}
	return c
}

// step starts the next round if it is due, or schedules it. The next round does not start before all exchanges of the
// current one have ended.
func (c *cluster) step(p *process, now time.Time) {
	if p.dead || p.exchanges > 0 {
		return
	}
	p.wakeups++
	if wakeup := p.wakeups; now.Before(p.gossip.Round()) {
		c.clock.After(p.gossip.Round().Sub(now), func(now time.Time) {
			if wakeup == p.wakeups {
				c.step(p, now)
			}
		})
		return
	}
	for _, peer := range p.gossip.Start(now, c.known) {
		p.exchanges++
		c.send(p, c.all[peer.ID], p.store.Hello(p.self.ID), func(now time.Time, response waxwingpick.PeerMessage) {
			msg, more := p.store.Reply(p.self.ID, response)
			if !more {
				c.done(p, now)
				return
			}
			c.send(p, c.all[peer.ID], msg, func(now time.Time, response waxwingpick.PeerMessage) {
				updated, err := p.store.Finish(response)
				require.NoError(c.t, err)
				c.accepted(p, now, updated)
				c.done(p, now)
			})
		})
	}
}

// send delivers a message and its response. If one is lost, the exchange ends after the timeout.
func (c *cluster) send(from, to *process, msg waxwingpick.PeerMessage, responded func(now time.Time, response waxwingpick.PeerMessage)) {
	if to.dead || c.random.Float64() < c.lost {
		c.clock.After(deadTimeout, func(now time.Time) {
			c.done(from, now)
		})
		return
	}
	latency := sameRegionLatency
	if from.region != to.region {
		latency = otherRegionLatency
	}
	c.clock.After(latency, func(now time.Time) {
		response, updated, err := to.store.Handle(to.self.ID, msg)
		require.NoError(c.t, err)
		c.accepted(to, now, updated)
		c.clock.After(latency, func(now time.Time) {
			responded(now, response)
		})
	})
}

func (c *cluster) accepted(p *process, now time.Time, updated bool) {
	if updated {
		p.gossip.Updated(now)
		c.step(p, now)
	}
}

func (c *cluster) done(p *process, now time.Time) {
	p.exchanges--
	c.step(p, now)
}

// spread makes one process accept a record and returns the time until all live processes have it.
func (c *cluster) spread() time.Duration {
	c.clock.Advance(5 * time.Second)
	start := c.clock.Now()
	first := c.all[c.known[0].ID]
	first.store.Accept(key, 2, []byte("after"))
	c.accepted(first, start, true)
	for !c.everywhere() {
		c.clock.Advance(10 * time.Millisecond)
		require.Less(c.t, c.clock.Now().Sub(start), time.Minute)
	}
	return c.clock.Now().Sub(start)
}

func (c *cluster) everywhere() bool {
	for _, p := range c.all {
		if _, revision := p.store.Get(key); revision < 2 && !p.dead {
			return false
		}
	}
	return true
}

// TestRecordIsEverywhereInTime measures the propagation from a single process. In the real system one process in each
// zone watches the key-value service.
func TestRecordIsEverywhereInTime(t *testing.T) {
	for _, c := range []struct {
		size       int
		dead, lost float64
	}{{size: 50}, {size: 400}, {size: 1000}, {size: 1000, dead: 0.05, lost: 0.05}} {
		worst := time.Duration(0)
		for seed := range uint64(clusterSeeds) {
			worst = max(worst, newCluster(t, c.size, c.dead, c.lost, seed).spread())
		}
		t.Logf("%d processes, %.0f%% dead, %.0f%% of the exchanges lost: everywhere after %v at most", c.size, 100*c.dead, 100*c.lost, worst)
		require.LessOrEqual(t, worst, maxPropagation)
	}
}

func BenchmarkRoundAmong1000(b *testing.B) {
	known := make([]waxwingpick.Instance, 1000)
	for i := range known {
		known[i] = waxwingpick.Instance{
			ID:   waxwingpick.InstanceID(fmt.Sprintf("process-%d", i)),
			Zone: waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%9)),
		}
	}
	g := gossip.NewGossip(known[0], rand.New(rand.NewPCG(1, 1)))
	b.ReportAllocs()
	for b.Loop() {
		g.Start(time.Unix(0, 0), known)
	}
}
