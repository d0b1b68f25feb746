package fleetclock

import (
	"slices"
	"time"

	"waxwingpick"
)

const (
	// PeerTTL is how long a peer's offset counts after its last message.
	PeerTTL = 10 * time.Second
	// MaxPeers limits the number of tracked peers.
	MaxPeers = 64
)

// Clock derives fleet time from a steady clock, which includes suspensions, and the median of the offsets of the wall
// clocks to it. It is not safe for concurrent use.
type Clock struct {
	own   waxwingpick.Option[time.Duration]
	peers map[waxwingpick.InstanceID]sample
	// median is valid until a new observation, or until the steady time validUntil, at which a peer expires.
	median     time.Duration
	stale      bool
	validUntil time.Time
}

// sample is the offset of a peer's wall clock to the local steady clock.
type sample struct {
	offset time.Duration
	at     time.Time
}

// New returns a clock without any observations.
func New() *Clock {
	return &Clock{
		peers: make(map[waxwingpick.InstanceID]sample),
		stale: true,
	}
}

// ObserveOwn records the local wall clock.
func (c *Clock) ObserveOwn(steady, wall time.Time) {
	c.own = waxwingpick.Some(offsetOf(steady, wall))
	c.stale = true
}

// ObservePeer records the wall clock in a peer's message. While MaxPeers are tracked, others are ignored, since a stable
// sample moves the median less than a changing one.
func (c *Clock) ObservePeer(steady time.Time, id waxwingpick.InstanceID, wall time.Time) {
	if _, ok := c.peers[id]; !ok && len(c.peers) >= MaxPeers {
		c.expire(steady)
		if len(c.peers) >= MaxPeers {
			return
		}
	}
	c.peers[id] = sample{
		offset: offsetOf(steady, wall),
		at:     steady,
	}
	c.stale = true
}

// Now returns the fleet time. Without any observation it is the steady time.
func (c *Clock) Now(steady time.Time) time.Time {
	return steady.Round(0).Add(c.Offset(steady))
}

// Offset returns the median of the offsets to the steady clock.
func (c *Clock) Offset(steady time.Time) time.Duration {
	if c.stale || steady.After(c.validUntil) {
		c.update(steady)
	}
	return c.median
}

// Peers returns the number of peers whose offsets count.
func (c *Clock) Peers(steady time.Time) int {
	c.expire(steady)
	return len(c.peers)
}

func (c *Clock) expire(steady time.Time) {
	for id, s := range c.peers {
		if steady.Sub(s.at) > PeerTTL {
			delete(c.peers, id)
			c.stale = true
		}
	}
}

func (c *Clock) update(steady time.Time) {
	c.expire(steady)
	c.stale = false
	c.validUntil = steady.Add(PeerTTL)
	offsets := make([]time.Duration, 0, MaxPeers+1)
	if own, ok := c.own.Get(); ok {
		offsets = append(offsets, own)
	}
	for _, s := range c.peers {
		offsets = append(offsets, s.offset)
		if expiry := s.at.Add(PeerTTL); expiry.Before(c.validUntil) {
			c.validUntil = expiry
		}
	}
	if len(offsets) == 0 {
		c.median = 0
		return
	}
	slices.Sort(offsets)
	// The lower of two middle offsets is used rather than their mean, which could overflow for a false wall clock.
	c.median = offsets[(len(offsets)-1)/2]
}

// offsetOf ignores the monotonic readings, which would replace the wall clocks in the difference.
func offsetOf(steady, wall time.Time) time.Duration {
	return wall.Round(0).Sub(steady.Round(0))
}
