package gateway

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingpick"
	"waxwingpick/core/feed"
	"waxwingpick/core/placement"
)

const (
	// tellPeriod is the time between two summaries in a small fleet: the load at an engine changes by one request in
	// about as long.
	tellPeriod = 40 * time.Millisecond
	// tellRate bounds the messages that a gateway sends a second; in a large fleet summaries are rarer.
	tellRate = 200
)

// message is what a gateway tells another one.
type message struct {
	_        struct{} `cbor:",toarray"`
	From     waxwingpick.InstanceID
	Services map[waxwingpick.ServiceName]placement.Summary
	Crashes  []crashReport
}

// gossip exchanges summaries of load among gateways, and passes on what those that read the key-value service tell the
// others. Without it each gateway knows its own requests alone, and reads the service by itself.
type gossip struct {
	process  *Process
	link     waxwingpick.PeerLink
	peers    *peers
	follower *follower
	own      *registration

	mu   sync.Mutex
	told time.Time
}

func newGossip(p *Process) *gossip {
	own := newRegistration(p)
	g := &gossip{
		process: p,
		link:    p.options.Peers,
		own:     own,
		peers:   newPeers(p, p.options.PeerAddr, own.lapsed),
	}
	p.crashes.push = g.send
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
		p.timers.Every(tellPeriod, g.tell))
}

// tell sends the own summary to the others, less often where they are many.
func (g *gossip) tell(now time.Time) {
	g.mu.Lock()
	due := now.Sub(g.told) >= time.Duration(g.peers.count())*time.Second/tellRate
	g.mu.Unlock()
	if due {
		g.send(now)
	}
}

// send sends the own summary to the others now.
func (g *gossip) send(now time.Time) {
	peers := g.peers.all()
	g.mu.Lock()
	g.told = now
	g.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	m := message{
		From:     g.process.options.Instance,
		Services: make(map[waxwingpick.ServiceName]placement.Summary),
		Crashes:  g.process.crashes.reports(now),
	}
	for _, s := range g.process.allServices() {
		if summary, engines := s.summary(now); engines {
			m.Services[s.name] = summary
		}
	}
	encoded, err := cbor.Marshal(m)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Error("summary not encoded")
		return
	}
	g.sendAll(peers, encoded)
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
	g.takeSummary(encoded)
}

// takeSummary takes the summary of another gateway.
func (g *gossip) takeSummary(encoded []byte) {
	var m message
	if err := cbor.Unmarshal(encoded, &m); err != nil || m.From == "" || m.From == g.process.options.Instance {
		return
	}
	now := g.process.timers.Now()
	g.process.crashes.take(now, m.Crashes)
	for name, summary := range m.Services {
		if s := g.process.service(name); s != nil {
			s.observe(now, m.From, summary)
		}
	}
}
