package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/ejection"
	"waxwingpick/core/placement"
	"waxwingpick/core/routetable"
	"waxwingpick/core/timer"
)

// network delivers messages between the gateways of one test immediately, and counts those between zones.
type network struct {
	gateways     map[string]*gossip
	betweenZones int
	// seen is called with each message if it is set.
	seen func(message []byte)
}

// testLink is the peer link of one gateway.
type testLink struct {
	network *network
	from    string
}

func (l *testLink) Send(addr string, message []byte) error {
	to, ok := l.network.gateways[addr]
	if !ok {
		return nil
	}
	if to.process.options.Zone != l.network.gateways[l.from].process.options.Zone {
		l.network.betweenZones++
	}
	if l.network.seen != nil {
		l.network.seen(message)
	}
	to.receive(message)
	return nil
}

func (l *testLink) Receive(func([]byte)) {}
func (l *testLink) Close() error         { return nil }

// newNetwork returns the given number of gateways in each of several zones. All of them list each other and two
// engines.
func newNetwork(t *testing.T, zones, each int) (*network, []*gossip, []*timer.Manual) {
	n := &network{
		gateways: make(map[string]*gossip),
	}
	var all []*gossip
	var clocks []*timer.Manual
	var entries []waxwingpick.Entry
	for z := range zones {
		for i := range each {
			p, clock := newProcess(t, unused{})
			p.options.Instance = waxwingpick.InstanceID(fmt.Sprint("gateway", z, "-", i))
			p.options.Zone = waxwingpick.AvailabilityZone(fmt.Sprint("zone", z))
			p.statements = newStatements(p)
			p.options.PeerAddr = fmt.Sprintf("10.0.%d.%d:1", z, i)
			p.options.Peers = &testLink{
				network: n,
				from:    p.options.PeerAddr,
			}
			table := routetable.New(1, nil, []routetable.Service{{
				Name: "llm",
				Engines: waxwingpick.Some(routetable.Engines{
					MemoryTokens: 400_000,
				}),
			}}, routetable.Limits{})
			p.table.Store(table)
			targets := &targetsSink{
				process: p,
			}
			targets.replace(nil)
			for _, id := range []waxwingpick.TargetID{"a", "b"} {
				p.list.Put(p.timers.Now(), waxwingpick.Target{
					ID:      id,
					Service: "llm",
					Zone:    "zone0",
					Slots:   8,
				})
			}
			targets.batchApplied()
			g := newGossip(p)
			n.gateways[p.options.PeerAddr] = g
			all = append(all, g)
			clocks = append(clocks, clock)
			entries = append(entries, entryOf(peerKey(p.options.Zone, p.options.Instance), p.options.PeerAddr))
		}
	}
	for _, g := range all {
		g.peers.replace(entries)
	}
	return n, all, clocks
}

// chosenBy returns the engine that a gateway would send a short prompt to.
func chosenBy(g *gossip, now time.Time) waxwingpick.TargetID {
	p := g.process.service("llm").chooseEngines(now, placement.Demand{
		Prompt: waxwingpick.Prompt{
			Tokens: 100,
		},
		Deadline: now.Add(time.Hour),
	}, false)
	g.process.service("llm").ended(now, p.selection, ejection.ResponseServed, waxwingpick.None[int]())
	return p.target.ID
}

// loadEngine makes a gateway send long prompts to engine a.
func loadEngine(g *gossip, now time.Time) {
	for range 20 {
		g.process.service("llm").chooseEngines(now, placement.Demand{
			Prompt: waxwingpick.Prompt{
				Tokens: 20_000,
			},
			Deadline: now.Add(time.Hour),
			Exclude:  []waxwingpick.TargetID{"b"},
		}, false)
	}
}

// TestEachZoneHearsTheOthersInFewMessages loads one engine from one gateway. All gateways of all zones have to avoid
// that engine, and the number of messages between zones has to stay within the digest rate.
func TestEachZoneHearsTheOthersInFewMessages(t *testing.T) {
	const zones, each = 3, 5
	n, all, clocks := newNetwork(t, zones, each)
	second := func() {
		for range 25 {
			for i, g := range all {
				clocks[i].Advance(40 * time.Millisecond)
				g.sendSummary(clocks[i].Now())
				g.sendDigest(clocks[i].Now())
			}
		}
	}
	second()
	// One gateway sends long prompts to the engine that all would choose.
	now := clocks[0].Now()
	loadEngine(all[0], now)
	n.betweenZones = 0
	second()
	for i, g := range all {
		require.EqualValues(t, "b", chosenBy(g, clocks[i].Now()), "%s", g.process.options.Instance)
	}
	require.LessOrEqual(t, n.betweenZones, 25*2*zones*(zones-1), "two aggregators of a zone send to one gateway of each other zone")

	// When aggregators are removed, other gateways of their zones take over, and the load of the first one still arrives.
	keep := func(i int) bool {
		index, ok := all[i].aggregators.Index(clocks[i].Now())
		return i == 0 || !ok || index > 0
	}
	var rest []*gossip
	var restClocks []*timer.Manual
	for i, g := range all {
		if keep(i) {
			rest = append(rest, g)
			restClocks = append(restClocks, clocks[i])
			continue
		}
		delete(n.gateways, g.process.options.PeerAddr)
	}
	require.Less(t, len(rest), len(all))
	all, clocks = rest, restClocks
	second()
	second()
	for i, g := range all {
		require.EqualValues(t, "b", chosenBy(g, clocks[i].Now()), "%s", g.process.options.Instance)
	}
}

// TestSmallFleetsSendLoadDirectly checks that the gateways of a small fleet receive each other's load without digests,
// even if each of them is in a zone of its own.
func TestSmallFleetsSendLoadDirectly(t *testing.T) {
	_, all, clocks := newNetwork(t, smallFleet, 1)
	now := clocks[0].Now()
	loadEngine(all[0], now)
	all[0].sendSummary(now)
	for i, g := range all {
		require.Empty(t, receiversOf(g, now))
		require.EqualValues(t, "b", chosenBy(g, clocks[i].Now()), "%s", g.process.options.Instance)
	}
	_, more, _ := newNetwork(t, smallFleet+1, 1)
	require.NotEmpty(t, receiversOf(more[0], now))
}

// receiversOf returns the addresses to which a gateway sends digests.
func receiversOf(g *gossip, now time.Time) []string {
	receivers, _ := g.receivers(now)
	return receivers
}
