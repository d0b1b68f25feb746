package spread

import (
	"math/rand/v2"
	"time"

	"waxwingpick"
)

// The defaults of a Gossip.
const (
	// DefaultPeriod is the mean time between two rounds without news.
	DefaultPeriod = time.Second
	// DefaultNewsDelay is the mean time before a round with news.
	DefaultNewsDelay = 40 * time.Millisecond
	// DefaultNewsRounds is the number of rounds that follow news.
	DefaultNewsRounds = 3
	// nearPeers and farPeers are the numbers of peers that a round speaks to.
	nearPeers = 2
	farPeers  = 1
	// LearnedPeers is the number of peers from which a process without the key-value service learns before it serves.
	LearnedPeers = 3
	// LearnRounds is the number of rounds after which one peer is enough, as the others may be dead.
	LearnRounds = 10
)

// Gossip decides when a process speaks to which peers, and when it has learned enough to serve. It is not safe for
// concurrent use.
type Gossip struct {
	self   waxwingpick.Instance
	random *rand.Rand

	roundAt  time.Time
	news     int
	rounds   int
	answered waxwingpick.Set[waxwingpick.InstanceID]
	read     bool
}

// NewGossip returns the gossip of the process on an instance.
func NewGossip(self waxwingpick.Instance, random *rand.Rand) *Gossip {
	return &Gossip{
		self:   self,
		random: random,
		news:   DefaultNewsRounds,
	}
}

// News says that a newer record was taken, so that the next rounds come soon.
func (g *Gossip) News(now time.Time) {
	g.news = DefaultNewsRounds
	g.soon(now)
}

// Differs says that another process was heard of whose records differ, so that a round comes soon.
func (g *Gossip) Differs(now time.Time) {
	g.news = max(g.news, 1)
	g.soon(now)
}

// Round returns the time of the next round; the round is due when that has come.
func (g *Gossip) Round() time.Time {
	return g.roundAt
}

// Start begins a round and returns the peers to speak to, out of the live ones that are known.
func (g *Gossip) Start(now time.Time, known []waxwingpick.Instance) []waxwingpick.Instance {
	g.news = max(g.news-1, 0)
	g.rounds++
	g.roundAt = now.Add(g.jitter(DefaultPeriod))
	if g.news > 0 {
		g.roundAt = now.Add(g.jitter(DefaultNewsDelay))
	}
	return g.choose(known)
}

// Answered notes that a peer completed an exchange.
func (g *Gossip) Answered(peer waxwingpick.InstanceID) {
	g.answered.Add(peer)
}

// Read notes that the key-value service itself was read.
func (g *Gossip) Read() {
	g.read = true
}

// Learned reports whether the process knows the newest records that it can reach: it read the key-value service, or
// spoke to LearnedPeers of its known peers, or to all of them where they are fewer, or to one in LearnRounds rounds.
func (g *Gossip) Learned(known []waxwingpick.Instance) bool {
	if g.read {
		return true
	}
	if g.rounds >= LearnRounds && g.answered.Len() > 0 {
		return true
	}
	others := 0
	for _, p := range known {
		if p.ID != g.self.ID {
			others++
		}
	}
	return others > 0 && g.answered.Len() >= min(LearnedPeers, others)
}

// choose picks random peers, most of them in the own availability zone and one outside it.
func (g *Gossip) choose(known []waxwingpick.Instance) []waxwingpick.Instance {
	near := g.newReservoir(nearPeers)
	far := g.newReservoir(nearPeers + farPeers)
	for i := range known {
		switch {
		case known[i].ID == g.self.ID:
		case known[i].Zone == g.self.Zone:
			near.offer(i)
		default:
			far.offer(i)
		}
	}
	chosen := append(near.kept, far.shuffled()...)
	chosen = chosen[:min(len(chosen), nearPeers+farPeers)]
	peers := make([]waxwingpick.Instance, len(chosen))
	for i, at := range chosen {
		peers[i] = known[at]
	}
	return peers
}

// reservoir keeps a few of the places that it is offered, each with the same probability, without holding the others.
type reservoir struct {
	random  *rand.Rand
	kept    []int
	offered int
}

func (g *Gossip) newReservoir(size int) reservoir {
	return reservoir{
		random: g.random,
		kept:   make([]int, 0, size),
	}
}

func (r *reservoir) offer(at int) {
	r.offered++
	if len(r.kept) < cap(r.kept) {
		r.kept = append(r.kept, at)
		return
	}
	if slot := r.random.IntN(r.offered); slot < len(r.kept) {
		r.kept[slot] = at
	}
}

// shuffled returns what is kept in random order; the places that were offered first would else come first.
func (r *reservoir) shuffled() []int {
	r.random.Shuffle(len(r.kept), func(i, j int) {
		r.kept[i], r.kept[j] = r.kept[j], r.kept[i]
	})
	return r.kept
}

// Hurry lets the next round come in half of the usual time, for a process that has heard nothing fresh for a while.
func (g *Gossip) Hurry(now time.Time) {
	at := now.Add(g.jitter(DefaultPeriod / 2))
	if at.Before(g.roundAt) {
		g.roundAt = at
	}
}

func (g *Gossip) soon(now time.Time) {
	at := now.Add(g.jitter(DefaultNewsDelay))
	if at.Before(g.roundAt) {
		g.roundAt = at
	}
}

// jitter returns a random duration between half of d and d and a half.
func (g *Gossip) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.random.Int64N(int64(d)))
}
