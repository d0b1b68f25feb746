package gateway

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingpick"
	"waxwingpick/core/digest"
	"waxwingpick/core/feed"
	"waxwingpick/core/placement"
	"waxwingpick/core/zoneshare"
)

const (
	// summaryInterval is the time between two summaries in a small zone. An engine's load changes by one request in
	// about this time.
	summaryInterval = 40 * time.Millisecond
	// maxSummaryRate bounds the summaries that a gateway sends per second. In a large zone the interval grows.
	maxSummaryRate = 200
	// maxDigestRate bounds the digests that a gateway sends per second, as traffic between zones is billed. With many
	// zones the interval grows.
	maxDigestRate = 50
	// maxZones bounds the digests of one message.
	maxZones = 64
	// maxDigestAge is the maximum age that a received digest may state. A higher one is reduced to it, since older digests
	// are of no use.
	maxDigestAge = time.Second
)

// message is what gateways send to each other about load.
type message struct {
	_    struct{} `cbor:",toarray"`
	From waxwingpick.InstanceID
	Zone waxwingpick.AvailabilityZone
	// Services summarizes the sender's own requests, for gateways of its availability zone.
	Services map[waxwingpick.ServiceName]placement.Summary
	// Crashes is empty. Earlier versions of the program sent crashes in it.
	Crashes []cbor.RawMessage
	Digests []zoneDigest
}

// zoneDigest summarizes the requests of all gateways of an availability zone for the other zones.
type zoneDigest struct {
	_         struct{} `cbor:",toarray"`
	Zone      waxwingpick.AvailabilityZone
	AgeMillis int64
	Services  map[waxwingpick.ServiceName]placement.Summary
}

// age returns the stated age of a digest, limited to its bounds.
func (d zoneDigest) age() time.Duration {
	return time.Duration(max(0, min(d.AgeMillis, maxDigestAge.Milliseconds()))) * time.Millisecond
}

// remoteDigest is the latest digest of another zone, which this gateway forwards within its own zone.
type remoteDigest struct {
	digest zoneDigest
	// at is when the digest was made, on this process's clock.
	at        time.Time
	forwarded bool
}

// gossip exchanges load summaries with other gateways, and sends and receives the changes that some of them read from
// the key-value service. Without it each gateway accounts only for its own requests and reads the service itself.
//
// In an availability zone each gateway sends its own load to each other one. The aggregators of a zone summarize its
// load for the other zones, and forward the digests of other zones within their own.
type gossip struct {
	process          *Process
	link             waxwingpick.PeerLink
	peers            *peers
	follower         *follower
	selfRegistration *registration

	mu sync.Mutex
	// lastSummary and lastDigest are when the last summary and the last digests were sent.
	lastSummary time.Time
	lastDigest  time.Time
	aggregators *digest.Aggregators
	remote      map[waxwingpick.AvailabilityZone]remoteDigest
}

func newGossip(p *Process) *gossip {
	selfRegistration := newRegistration(p)
	g := &gossip{
		process:          p,
		link:             p.options.Peers,
		selfRegistration: selfRegistration,
		peers:            newPeers(p, p.options.PeerAddr, selfRegistration.entryRemoved),
		aggregators:      digest.New(p.options.Instance, p.options.Zone),
		remote:           make(map[waxwingpick.AvailabilityZone]remoteDigest),
	}
	p.crashTracker.broadcast = g.sendBlame
	p.statements.peers = g
	if p.options.ZoneShares {
		p.shares = newZoneShares(g)
	}
	return g
}

// start exchanges messages until the process ends.
func (g *gossip) start() {
	p := g.process
	g.follower.publish = g.sendUpdate
	if p.shares != nil {
		p.stops = append(p.stops, p.timers.Every(zoneshare.UpdatePeriod, p.shares.step))
	}
	p.loops.Go(func() {
		g.link.Receive(g.receive)
	})
	p.stops = append(p.stops,
		p.timers.Every(registerCheckInterval, g.selfRegistration.renewIfDue),
		p.timers.Every(peerGracePeriod, g.peers.expire),
		p.timers.Every(feed.UpdatePeriod, g.sendUpdate),
		p.timers.Every(summaryInterval, g.sendDigest),
		p.timers.Every(summaryInterval, g.sendSummary),
		p.timers.Every(blameInterval, g.sendBlame),
		p.timers.Every(convictionsInterval, g.sendConvictions))
}

// sendSummary sends the summary of this process to the gateways of its zone, or to all gateways of a small fleet. The
// more gateways there are, the longer the interval.
func (g *gossip) sendSummary(now time.Time) {
	peers := g.peers.summaryReceivers()
	g.mu.Lock()
	last := g.lastSummary
	due := now.Sub(last) >= time.Duration(len(peers))*time.Second/maxSummaryRate
	if due {
		g.lastSummary = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	m := g.summary(now)
	m.Digests = g.takeUnforwarded(now)
	g.send(peers, m)
	g.sendSpeeds(now, last, peers, placement.OriginZone)
}

// summary returns a message with the requests of this process.
func (g *gossip) summary(now time.Time) message {
	return message{
		From: g.process.options.Instance,
		Zone: g.process.options.Zone,
		Services: g.summaries(func(s *service) (placement.Summary, bool) {
			return s.summary(now)
		}),
	}
}

// summaries collects a summary from each service that has engines.
func (g *gossip) summaries(of func(s *service) (placement.Summary, bool)) map[waxwingpick.ServiceName]placement.Summary {
	all := make(map[waxwingpick.ServiceName]placement.Summary)
	for _, s := range g.process.allServices() {
		if summary, engines := of(s); engines {
			all[s.name] = summary
		}
	}
	return all
}

// takeUnforwarded returns the digests of other zones that were not forwarded yet, and marks them as forwarded.
func (g *gossip) takeUnforwarded(now time.Time) []zoneDigest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var digests []zoneDigest
	for zone, d := range g.remote {
		if d.forwarded {
			continue
		}
		d.forwarded = true
		g.remote[zone] = d
		d.digest.AgeMillis = now.Sub(d.at).Milliseconds()
		digests = append(digests, d.digest)
	}
	return digests
}

// sendDigest sends a digest of this zone to each other zone if this gateway is one of its aggregators.
func (g *gossip) sendDigest(now time.Time) {
	receivers, last := g.receivers(now)
	if len(receivers) == 0 {
		return
	}
	g.sendSpeeds(now, last, receivers, placement.OriginRemote)
	if shares := g.process.shares; shares != nil {
		shares.sendToZones(now, receivers)
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

// receivers returns the addresses to which this gateway sends digests of its zone, and when it sent the last ones.
func (g *gossip) receivers(now time.Time) (receivers []string, last time.Time) {
	if g.peers.small() {
		return nil, last
	}
	zones := g.peers.otherZones()
	g.mu.Lock()
	defer g.mu.Unlock()
	index, ok := g.aggregators.Index(now)
	if !ok || now.Sub(g.lastDigest) < time.Duration(len(zones))*time.Second/maxDigestRate {
		return nil, last
	}
	last = g.lastDigest
	g.lastDigest = now
	for zone, listed := range zones {
		if id, ok := g.aggregators.Receiver(now, index, zone, listed.ids).Get(); ok {
			receivers = append(receivers, listed.addrs[id])
		}
	}
	return receivers, last
}

// sendUpdate forwards what this process read from the key-value service to the gateways of its availability zone.
func (g *gossip) sendUpdate(now time.Time) {
	peers := g.peers.sameZone()
	if len(peers) == 0 {
		return
	}
	update, ok := g.follower.update(now)
	if !ok {
		return
	}
	encoded, err := encodeUpdate(update)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Error("encoding the update failed")
		return
	}
	g.sendAll(peers, encoded)
}

// aggregatorIDs returns the gateways that aggregate for this availability zone.
func (g *gossip) aggregatorIDs(now time.Time) []waxwingpick.InstanceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.aggregators.Aggregators(now)
}

// aggregates reports whether this gateway aggregates for its availability zone.
func (g *gossip) aggregates(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.aggregators.Index(now)
	return ok
}

// sendTo sends a message of a kind to one gateway, if it is listed.
func (g *gossip) sendTo(id waxwingpick.InstanceID, kind byte, m any) {
	addr, ok := g.peers.addrOf(id).Get()
	if !ok {
		return
	}
	g.sendKind(kind, m, addr)
}

// sendKind sends a message of a kind.
func (g *gossip) sendKind(kind byte, m any, receivers ...string) {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Error("encoding the message failed")
		return
	}
	g.sendAll(receivers, append([]byte{kind}, encoded...))
}

func (g *gossip) send(peers []string, m message) {
	if len(peers) == 0 {
		return
	}
	encoded, err := cbor.Marshal(m)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Error("encoding the message failed")
		return
	}
	g.sendAll(peers, encoded)
}

func (g *gossip) sendAll(peers []string, message []byte) {
	for _, addr := range peers {
		if err := g.link.Send(addr, message); err != nil {
			g.process.log.WithField("error", err.Error()).Debug("sending to another gateway failed")
		}
	}
}

// receive handles a message from another gateway.
func (g *gossip) receive(encoded []byte) {
	if len(encoded) > 0 && encoded[0] == updateKind {
		update, err := decodeUpdate(encoded)
		if err != nil {
			g.process.log.WithField("error", err.Error()).Debug("update rejected")
			return
		}
		g.follower.applyUpdate(g.process.timers.Now(), update)
		return
	}
	if len(encoded) > 0 && encoded[0] == blameKind {
		g.receiveBlame(g.process.timers.Now(), encoded[1:])
		return
	}
	if len(encoded) > 0 && g.receiveStatements(g.process.timers.Now(), encoded[0], encoded[1:]) {
		return
	}
	if len(encoded) > 0 && encoded[0] == speedKind {
		g.receiveSpeeds(g.process.timers.Now(), encoded[1:])
		return
	}
	if shares := g.process.shares; shares != nil && len(encoded) > 0 && encoded[0] == zoneShareKind {
		shares.receive(g.process.timers.Now(), encoded[1:])
		return
	}
	if u := g.process.usage; u != nil && len(encoded) > 0 && u.receive(encoded[0], encoded[1:]) {
		return
	}
	var m message
	if err := cbor.Unmarshal(encoded, &m); err != nil || m.From == "" || m.From == g.process.options.Instance {
		return
	}
	g.applyMessage(g.process.timers.Now(), m)
}

func (g *gossip) applyMessage(now time.Time, m message) {
	g.process.statements.processSeen(now, m.From)
	sameZone := m.Zone == g.process.options.Zone
	g.mu.Lock()
	if sameZone || len(m.Digests) > 0 {
		g.aggregators.Observe(now, m.From, m.Zone)
	}
	g.mu.Unlock()
	if sameZone || g.peers.small() {
		for name, summary := range m.Services {
			if s := g.process.service(name); s != nil {
				s.observe(now, m.From, summary)
			}
		}
	}
	for _, d := range m.Digests[:min(len(m.Digests), maxZones)] {
		g.applyDigest(now, d, !sameZone)
	}
}

// applyDigest applies a digest of another zone; direct means that it came from that zone and may have to be forwarded.
func (g *gossip) applyDigest(now time.Time, d zoneDigest, direct bool) {
	if d.Zone == g.process.options.Zone {
		return
	}
	if direct {
		g.storeRemote(now, d)
	}
	for name, summary := range d.Services {
		if s := g.process.service(name); s != nil {
			s.observeZone(now, d.Zone, d.age(), summary)
		}
	}
}

// storeRemote keeps a digest for forwarding.
func (g *gossip) storeRemote(now time.Time, d zoneDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	putBounded(g.remote, maxZones, d.Zone, remoteDigest{
		digest: d,
		at:     now.Add(-d.age()),
	})
}

// putBounded sets the value of a key, unless it is a new one in a map with limit keys.
func putBounded[K comparable, V any](m map[K]V, limit int, key K, value V) {
	if _, ok := m[key]; ok || len(m) < limit {
		m[key] = value
	}
}
