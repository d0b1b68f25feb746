package gossip

import (
	"math/rand/v2"
	"time"

	"waxwingpick"
)

// The defaults of a Gossip.
const (
	// DefaultPeriod is the mean time between two rounds without updates.
	DefaultPeriod = time.Second
	// DefaultUpdateDelay is the mean time before a round after an update.
	DefaultUpdateDelay = 40 * time.Millisecond
	// DefaultUpdateRounds is the number of rounds after an update.
	DefaultUpdateRounds = 3
	// sameZonePeers and otherZonePeers are the numbers of peers per round in the process's availability zone and outside.
	sameZonePeers  = 2
	otherZonePeers = 1
	// MinSyncedPeers is the number of peers with which a process that cannot read the key-value service exchanges records
	// before it serves.
	MinSyncedPeers = 3
	// MaxSyncRounds is the number of rounds after which one peer is sufficient, because the others may be dead.
	MaxSyncRounds = 10
)

// Gossip schedules the exchanges of a process with its peers, and decides when the process is synchronized. It is not
// safe for concurrent use.
type Gossip struct {
	self   waxwingpick.Instance
	random *rand.Rand

	roundAt      time.Time
	updateRounds int
	rounds       int
	synced       waxwingpick.Set[waxwingpick.InstanceID]
	read         bool
}

// NewGossip returns the Gossip of the process on an instance.
func NewGossip(self waxwingpick.Instance, random *rand.Rand) *Gossip {
	return &Gossip{
		self:         self,
		random:       random,
		updateRounds: DefaultUpdateRounds,
	}
}

// Updated records that a newer record was accepted. The next rounds then follow after a short delay.
func (g *Gossip) Updated(now time.Time) {
	g.updateRounds = DefaultUpdateRounds
	g.roundAfterUpdate(now)
}

// Differs records that another process has different records. The next round then follows after a short delay.
func (g *Gossip) Differs(now time.Time) {
	g.updateRounds = max(g.updateRounds, 1)
	g.roundAfterUpdate(now)
}

// Round returns the time at which the next round is due.
func (g *Gossip) Round() time.Time {
	return g.roundAt
}

// Start begins a round and returns the peers for its exchanges, chosen from the live instances.
func (g *Gossip) Start(now time.Time, live []waxwingpick.Instance) []waxwingpick.Instance {
	g.updateRounds = max(g.updateRounds-1, 0)
	g.rounds++
	g.roundAt = now.Add(g.jitter(DefaultPeriod))
	if g.updateRounds > 0 {
		g.roundAt = now.Add(g.jitter(DefaultUpdateDelay))
	}
	return g.choose(live)
}

// Exchanged records that a peer completed an exchange.
func (g *Gossip) Exchanged(peer waxwingpick.InstanceID) {
	g.synced.Add(peer)
}

// StoreRead records that the key-value service was read.
func (g *Gossip) StoreRead() {
	g.read = true
}

// Synced reports whether the process has the newest records that it can reach. This is the case if it has read the
// key-value service, has exchanged records with MinSyncedPeers of the other live instances or with all of them if there
// are fewer, or has exchanged records with one peer and run MaxSyncRounds rounds.
func (g *Gossip) Synced(live []waxwingpick.Instance) bool {
	if g.read {
		return true
	}
	if g.rounds >= MaxSyncRounds && g.synced.Len() > 0 {
		return true
	}
	others := 0
	for _, p := range live {
		if p.ID != g.self.ID {
			others++
		}
	}
	return others > 0 && g.synced.Len() >= min(MinSyncedPeers, others)
}

// choose returns random peers, most of them in the process's availability zone and one outside.
func (g *Gossip) choose(live []waxwingpick.Instance) []waxwingpick.Instance {
	sameZone := g.newReservoir(sameZonePeers)
	otherZones := g.newReservoir(sameZonePeers + otherZonePeers)
	for i := range live {
		switch {
		case live[i].ID == g.self.ID:
		case live[i].Zone == g.self.Zone:
			sameZone.offer(i)
		default:
			otherZones.offer(i)
		}
	}
	chosen := append(sameZone.sampled, otherZones.shuffled()...)
	chosen = chosen[:min(len(chosen), sameZonePeers+otherZonePeers)]
	peers := make([]waxwingpick.Instance, len(chosen))
	for i, index := range chosen {
		peers[i] = live[index]
	}
	return peers
}

// reservoir is a random sample of the offered indices (reservoir sampling).
type reservoir struct {
	random  *rand.Rand
	sampled []int
	offered int
}

func (g *Gossip) newReservoir(size int) reservoir {
	return reservoir{
		random:  g.random,
		sampled: make([]int, 0, size),
	}
}

func (r *reservoir) offer(index int) {
	r.offered++
	if len(r.sampled) < cap(r.sampled) {
		r.sampled = append(r.sampled, index)
		return
	}
	if slot := r.random.IntN(r.offered); slot < len(r.sampled) {
		r.sampled[slot] = index
	}
}

// shuffled returns the sample in random order. Without this, indices that were offered first would come first.
func (r *reservoir) shuffled() []int {
	r.random.Shuffle(len(r.sampled), func(i, j int) {
		r.sampled[i], r.sampled[j] = r.sampled[j], r.sampled[i]
	})
	return r.sampled
}

// Expedite advances the next round to half of the usual period from now, for a process whose data is aging.
func (g *Gossip) Expedite(now time.Time) {
	at := now.Add(g.jitter(DefaultPeriod / 2))
	if at.Before(g.roundAt) {
		g.roundAt = at
	}
}

func (g *Gossip) roundAfterUpdate(now time.Time) {
	at := now.Add(g.jitter(DefaultUpdateDelay))
	if at.Before(g.roundAt) {
		g.roundAt = at
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (g *Gossip) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.random.Int64N(int64(d)))
}
