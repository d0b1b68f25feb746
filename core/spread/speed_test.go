package spread_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/spread"
	"waxwingpick/core/timer"
)

// What the spreading processes meet.
const (
	nearLatency = 500 * time.Microsecond
	farLatency  = 50 * time.Millisecond
	deadTimeout = time.Second
	inForce     = 4 * time.Second
	crowdSeeds  = 2
)

// process is one process that spreads, over a network of timers.
type process struct {
	self    waxwingpick.Instance
	region  int
	dead    bool
	store   *spread.Store
	gossip  *spread.Gossip
	talking int
	wakeups int
}

// crowd is all processes of three regions with three availability zones each.
type crowd struct {
	t      *testing.T
	clock  *timer.Manual
	random *rand.Rand
	known  []waxwingpick.Instance
	all    map[waxwingpick.InstanceID]*process
	lost   float64
}

func newCrowd(t *testing.T, size int, dead, lost float64, seed uint64) *crowd {
	c := &crowd{
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
			gossip: spread.NewGossip(self, rand.New(rand.NewPCG(seed, uint64(i+2)))),
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

// step starts a round that is due, or waits for it; a process speaks to the peers of one round at a time.
func (c *crowd) step(p *process, now time.Time) {
	if p.dead || p.talking > 0 {
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
		p.talking++
		c.send(p, c.all[peer.ID], p.store.Hello(p.self.ID), func(now time.Time, answer waxwingpick.PeerMessage) {
			msg, more := p.store.Reply(p.self.ID, answer)
			if !more {
				c.done(p, now)
				return
			}
			c.send(p, c.all[peer.ID], msg, func(now time.Time, answer waxwingpick.PeerMessage) {
				news, err := p.store.Finish(answer)
				require.NoError(c.t, err)
				c.took(p, now, news)
				c.done(p, now)
			})
		})
	}
}

// send carries a message and its answer, or costs the sender its timeout.
func (c *crowd) send(from, to *process, msg waxwingpick.PeerMessage, answered func(now time.Time, answer waxwingpick.PeerMessage)) {
	if to.dead || c.random.Float64() < c.lost {
		c.clock.After(deadTimeout, func(now time.Time) {
			c.done(from, now)
		})
		return
	}
	latency := nearLatency
	if from.region != to.region {
		latency = farLatency
	}
	c.clock.After(latency, func(now time.Time) {
		answer, news, err := to.store.Handle(to.self.ID, msg)
		require.NoError(c.t, err)
		c.took(to, now, news)
		c.clock.After(latency, func(now time.Time) {
			answered(now, answer)
		})
	})
}

func (c *crowd) took(p *process, now time.Time, news bool) {
	if news {
		p.gossip.News(now)
		c.step(p, now)
	}
}

func (c *crowd) done(p *process, now time.Time) {
	p.talking--
	c.step(p, now)
}

// spread lets one process accept a record and returns when each live one had it.
func (c *crowd) spread() time.Duration {
	c.clock.Advance(5 * time.Second)
	start := c.clock.Now()
	first := c.all[c.known[0].ID]
	first.store.Accept(key, 2, []byte("after"))
	c.took(first, start, true)
	for !c.everywhere() {
		c.clock.Advance(10 * time.Millisecond)
		require.Less(c.t, c.clock.Now().Sub(start), time.Minute)
	}
	return c.clock.Now().Sub(start)
}

func (c *crowd) everywhere() bool {
	for _, p := range c.all {
		if _, revision := p.store.Get(key); revision < 2 && !p.dead {
			return false
		}
	}
	return true
}

// TestRecordIsEverywhereInTime spreads from one process alone, though one watches the key-value service in each zone.
func TestRecordIsEverywhereInTime(t *testing.T) {
	for _, c := range []struct {
		size       int
		dead, lost float64
	}{{size: 50}, {size: 400}, {size: 1000}, {size: 1000, dead: 0.05, lost: 0.05}} {
		worst := time.Duration(0)
		for seed := range uint64(crowdSeeds) {
			worst = max(worst, newCrowd(t, c.size, c.dead, c.lost, seed).spread())
		}
		t.Logf("%d processes, %.0f%% dead, %.0f%% of the exchanges lost: everywhere after %v at most", c.size, 100*c.dead, 100*c.lost, worst)
		require.LessOrEqual(t, worst, inForce)
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
	g := spread.NewGossip(known[0], rand.New(rand.NewPCG(1, 1)))
	b.ReportAllocs()
	for b.Loop() {
		g.Start(time.Unix(0, 0), known)
	}
}
