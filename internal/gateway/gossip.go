package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/placement"
)

const (
	// peersPrefix begins the keys under which gateways tell their addresses to each other.
	peersPrefix = "waxwingpick/gateway/"
	// peerLease is how long a gateway that ended stays listed.
	peerLease = 12 * time.Second
	// peerPeriod is the time between two renewals of the own entry and two looks at the others.
	peerPeriod = 3 * time.Second
	// tellPeriod is the time between two summaries in a small fleet: the load at an engine changes by one request in
	// about as long.
	tellPeriod = 40 * time.Millisecond
	// tellRate bounds the messages that a gateway sends a second; in a large fleet summaries are rarer.
	tellRate = 200
	// maxGateways bounds the gateways that are told.
	maxGateways = 1024
	// storeTime bounds a call for the list of gateways.
	storeTime = 2 * time.Second
)

// message is what a gateway tells another one.
type message struct {
	_        struct{} `cbor:",toarray"`
	From     waxwingpick.InstanceID
	Services map[waxwingpick.ServiceName]placement.Summary
	Crashes  []crashReport
}

// gossip exchanges summaries of load among gateways. It only improves choices: without it each gateway knows its own
// requests alone.
type gossip struct {
	process *Process
	link    waxwingpick.PeerLink
	kv      waxwingpick.KeyValue
	addr    string

	mu    sync.Mutex
	peers []string
	lease waxwingpick.LeaseID
	told  time.Time
}

func newGossip(p *Process) *gossip {
	return &gossip{
		process: p,
		link:    p.options.Peers,
		kv:      p.options.KeyValue,
		addr:    p.options.PeerAddr,
	}
}

// start exchanges summaries until the process ends.
func (g *gossip) start() {
	p := g.process
	p.crashes.push = g.send
	p.loops.Go(func() {
		g.link.Receive(g.take)
	})
	p.loops.Go(func() {
		g.look(p.timers.Now())
	})
	p.stops = append(p.stops,
		p.timers.Every(peerPeriod, g.look),
		p.timers.Every(tellPeriod, g.tell))
}

// look renews the own entry and reads those of the others.
func (g *gossip) look(time.Time) {
	ctx, cancel := context.WithTimeout(g.process.lifecycle, storeTime)
	defer cancel()
	if err := g.register(ctx); err != nil {
		g.process.log.WithField("error", err.Error()).Debug("own address not listed for other gateways")
	}
	entries, err := g.kv.List(ctx, peersPrefix, maxGateways)
	if err != nil {
		g.process.log.WithField("error", err.Error()).Debug("list of gateways not read: the former one stays")
		return
	}
	var peers []string
	for _, e := range entries {
		if addr := string(e.Value); addr != g.addr {
			peers = append(peers, addr)
		}
	}
	g.mu.Lock()
	changed := !slices.Equal(g.peers, peers)
	g.peers = peers
	g.mu.Unlock()
	g.process.setGateways(g.process.timers.Now(), 1+len(peers))
	g.process.options.Metrics.Peers(len(peers))
	if changed {
		g.process.log.WithFields(logrus.Fields{
			"gateways": len(peers),
		}).Info("other gateways")
	}
}

// register lists the own address under a lease.
func (g *gossip) register(ctx context.Context) error {
	g.mu.Lock()
	lease := g.lease
	g.mu.Unlock()
	if lease != 0 {
		_, err := g.kv.KeepAlive(ctx, lease)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, waxwingpick.ErrLeaseExpired):
			return fmt.Errorf("renew own address: %w", err)
		}
	}
	lease, err := g.kv.Grant(ctx, peerLease)
	if err != nil {
		return fmt.Errorf("list own address: %w", err)
	}
	key := peersPrefix + string(g.process.options.Instance)
	before, err := g.kv.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("list own address: %w", err)
	}
	if _, err := g.kv.CompareAndSwap(ctx, key, before.Revision, []byte(g.addr), lease); err != nil {
		return fmt.Errorf("list own address: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease = lease
	return nil
}

// tell sends the own summary to the others, less often where they are many.
func (g *gossip) tell(now time.Time) {
	g.mu.Lock()
	due := now.Sub(g.told) >= time.Duration(len(g.peers))*time.Second/tellRate
	g.mu.Unlock()
	if due {
		g.send(now)
	}
}

// send sends the own summary to the others now.
func (g *gossip) send(now time.Time) {
	g.mu.Lock()
	peers := g.peers
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
	for _, addr := range peers {
		if err := g.link.Send(addr, encoded); err != nil {
			g.process.log.WithField("error", err.Error()).Debug("summary not sent")
		}
	}
}

// take takes the summary of another gateway.
func (g *gossip) take(encoded []byte) {
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
