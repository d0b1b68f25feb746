package gateway

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingpick"
	"waxwingpick/core/digest"
	"waxwingpick/core/feed"
	"waxwingpick/core/placement"
)

const (
	// tellPeriod is the time between two summaries in a small zone: the load at an engine changes by one request in about
	// as long.
	tellPeriod = 40 * time.Millisecond
	// tellRate bounds the summaries that a gateway sends a second; in a large zone they are rarer.
	tellRate = 200
	// digestRate bounds the digests that a gateway sends a second, as bytes between zones have a price: before many zones
	// they are rarer.
	digestRate = 50
	// mostZones bounds the digests of one message.
	mostZones = 64
	// mostDigestAge bounds how old a digest may be said to be; an older one is of no use.
	mostDigestAge = time.Second
)

// message is what a gateway tells another one.
type message struct {
	_    struct{} `cbor:",toarray"`
	From waxwingpick.InstanceID
	Zone waxwingpick.AvailabilityZone
	// Services are the sender's own requests, for those of its availability zone.
	Services map[waxwingpick.ServiceName]placement.Summary
	Crashes  []crashReport
	Digests  []zoneDigest
}

// zoneDigest sums up the requests of all gateways of an availability zone for the other zones.
type zoneDigest struct {
	_         struct{} `cbor:",toarray"`
	Zone      waxwingpick.AvailabilityZone
	AgeMillis int64
	Services  map[waxwingpick.ServiceName]placement.Summary
}

// age returns how old a digest is said to be, within its bounds.
func (d zoneDigest) age() time.Duration {
	return time.Duration(max(0, min(d.AgeMillis, mostDigestAge.Milliseconds()))) * time.Millisecond
}

// farDigest is the newest digest of another zone, which this gateway passes on to its own.
type farDigest struct {
	digest zoneDigest
	// at is when it was made, by the own clock.
	at     time.Time
	passed bool
}

// gossip exchanges summaries of load among gateways, and passes on what those that read the key-value service tell the
// others. Without it each gateway knows its own requests alone, and reads the service by itself.
//
// In an availability zone each gateway tells each other one its own requests. Some sum up the zone's for the other zones,
// and pass on in their own zone what these told.
type gossip struct {
	process  *Process
	link     waxwingpick.PeerLink
	peers    *peers
	follower *follower
	own      *registration

	mu sync.Mutex
	// told and digested are when the last summary and the last digests were sent.
	told     time.Time
	digested time.Time
	duty     *digest.Duty
	far      map[waxwingpick.AvailabilityZone]farDigest
}

func newGossip(p *Process) *gossip {
	own := newRegistration(p)
	g := &gossip{
		process: p,
		link:    p.options.Peers,
		own:     own,
		peers:   newPeers(p, p.options.PeerAddr, own.lapsed),
		duty:    digest.New(p.options.Instance, p.options.Zone),
		far:     make(map[waxwingpick.AvailabilityZone]farDigest),
	}
	p.crashes.push = g.tellCrashes
	return g
}

// start exchanges messages until the process ends.
func (g *gossip) start() {
	p := g.process
	g.follower.told = g.tellNews
	p.loops.Go(func() {
		g.link.Receive(g.take)
	})
	p.stops = append(p.stops,
		p.timers.Every(registerCheck, g.own.look),
		p.timers.Every(peerGrace, g.peers.expire),
		p.timers.Every(feed.TellPeriod, g.tellNews),
		p.timers.Every(tellPeriod, g.tellDigest),
		p.timers.Every(tellPeriod, g.tell))
}

// tell sends the own summary to the gateways of the own zone, less often where they are many, or to all of a small fleet.
func (g *gossip) tell(now time.Time) {
	peers := g.peers.told()
	g.mu.Lock()
	due := now.Sub(g.told) >= time.Duration(len(peers))*time.Second/tellRate
	if due {
		g.told = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	if g.process.crashes.toTell() {
		g.tellCrashes(now)
		return
	}
	m := g.summary(now)
	m.Digests = g.toPass(now)
	g.send(peers, m)
}

// tellCrashes sends the own summary and the known crashes of targets to all gateways now.
func (g *gossip) tellCrashes(now time.Time) {
	m := g.summary(now)
	m.Crashes = g.process.crashes.reports(now)
	g.send(g.peers.all(), m)
}

// summary returns a message with the own requests.
func (g *gossip) summary(now time.Time) message {
	return message{
		From: g.process.options.Instance,
		Zone: g.process.options.Zone,
		Services: g.summaries(func(s *service) (placement.Summary, bool) {
			return s.summary(now)
		}),
	}
}

// summaries asks each service of engines for a summary.
func (g *gossip) summaries(of func(s *service) (placement.Summary, bool)) map[waxwingpick.ServiceName]placement.Summary {
	all := make(map[waxwingpick.ServiceName]placement.Summary)
	for _, s := range g.process.allServices() {
		if summary, engines := of(s); engines {
			all[s.name] = summary
		}
	}
	return all
}

// toPass returns the digests of other zones that the own one has not heard from here.
func (g *gossip) toPass(now time.Time) []zoneDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var digests []zoneDigest
	for zone, d := range g.far {
		if d.passed {
			continue
		}
		d.passed = true
		g.far[zone] = d
		d.digest.AgeMillis = now.Sub(d.at).Milliseconds()
		digests = append(digests, d.digest)
	}
	return digests
}

// tellDigest sends a digest of the own zone to each other one, where that is this gateway's duty.
func (g *gossip) tellDigest(now time.Time) {
	receivers := g.receivers(now)
	if len(receivers) == 0 {
		return
	}
	g.send(receivers, message{
		From: g.process.options.Instance,
		Zone: g.process.options.Zone,
		Digests: []zoneDigest{{
			Zone: g.process.options.Zone,
			Services: g.summaries(func(s *service) (placement.Summary, bool) {
				return s.digest(now)
			}),
		}},
	})
}

// receivers returns the addresses to which this gateway sends digests of its zone.
func (g *gossip) receivers(now time.Time) []string {
	if g.peers.small() {
		return nil
	}
	zones := g.peers.far()
	g.mu.Lock()
	defer g.mu.Unlock()
	index, ok := g.duty.Index(now)
	if !ok || now.Sub(g.digested) < time.Duration(len(zones))*time.Second/digestRate {
		return nil
	}
	g.digested = now
	var receivers []string
	for zone, listed := range zones {
		if id, ok := g.duty.Receiver(now, index, zone, listed.ids).Get(); ok {
			receivers = append(receivers, listed.addrs[id])
		}
	}
	return receivers
}

// tellNews tells the gateways of the own availability zone what the key-value service told this one.
func (g *gossip) tellNews(now time.Time) {
	peers := g.peers.near()
	if len(peers) == 0 {
		return
	}
	news, ok := g.follower.news(now)
	if !ok {
		return
	}
	encoded, err := encodeNews(news)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Error("news not encoded")
		return
	}
	g.sendAll(peers, encoded)
}

func (g *gossip) send(peers []string, m message) {
	if len(peers) == 0 {
		return
	}
	encoded, err := cbor.Marshal(m)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Error("summary not encoded")
		return
	}
	g.sendAll(peers, encoded)
}

func (g *gossip) sendAll(peers []string, message []byte) {
	for _, addr := range peers {
		if err := g.link.Send(addr, message); err != nil {
			g.process.log.WithField("error", err.Error()).Debug("message to another gateway not sent")
		}
	}
}

// take takes a message of another gateway.
func (g *gossip) take(encoded []byte) {
	if len(encoded) > 0 && encoded[0] == newsKind {
		news, err := decodeNews(encoded)
		if err != nil {
			g.process.log.WithField("error", err.Error()).Debug("news not taken")
			return
		}
		g.follower.hear(g.process.timers.Now(), news)
		return
	}
	var m message
	if err := cbor.Unmarshal(encoded, &m); err != nil || m.From == "" || m.From == g.process.options.Instance {
		return
	}
	g.takeMessage(g.process.timers.Now(), m)
}

func (g *gossip) takeMessage(now time.Time, m message) {
	g.process.crashes.take(now, m.Crashes)
	near := m.Zone == g.process.options.Zone
	g.mu.Lock()
	if near || len(m.Digests) > 0 {
		g.duty.Heard(now, m.From, m.Zone)
	}
	g.mu.Unlock()
	if near || g.peers.small() {
		for name, summary := range m.Services {
			if s := g.process.service(name); s != nil {
				s.observe(now, m.From, summary)
			}
		}
	}
	for _, d := range m.Digests[:min(len(m.Digests), mostZones)] {
		g.takeDigest(now, d, !near)
	}
}

// takeDigest takes a digest of another zone; direct says that it came from there, so that it may have to be passed on.
func (g *gossip) takeDigest(now time.Time, d zoneDigest, direct bool) {
	if d.Zone == g.process.options.Zone {
		return
	}
	if direct {
		g.keep(now, d)
	}
	for name, summary := range d.Services {
		if s := g.process.service(name); s != nil {
			s.observeZone(now, d.Zone, d.age(), summary)
		}
	}
}

// keep keeps a digest that is to be passed on.
func (g *gossip) keep(now time.Time, d zoneDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.far[d.Zone]; !ok && len(g.far) >= mostZones {
		return
	}
	g.far[d.Zone] = farDigest{
		digest: d,
		at:     now.Add(-d.age()),
	}
}
