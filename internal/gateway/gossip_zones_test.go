package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/placement"
	"waxwingpick/core/routetable"
	"waxwingpick/core/timer"
)

// network carries messages between gateways of one test at once, and counts those between zones.
type network struct {
	gateways map[string]*gossip
	far      int
}

// wire is the link of one gateway.
type wire struct {
	network *network
	from    string
}

func (l *wire) Send(addr string, message []byte) error {
	to, ok := l.network.gateways[addr]
	if !ok {
		return nil
	}
	if to.process.options.Zone != l.network.gateways[l.from].process.options.Zone {
		l.network.far++
	}
	to.take(message)
	return nil
}

func (l *wire) Receive(func([]byte)) {}
func (l *wire) Close() error         { return nil }

// newNetwork returns so many gateways in each of some zones, all of which know each other and two engines.
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
			p.options.PeerAddr = fmt.Sprintf("10.0.%d.%d:1", z, i)
			p.options.Peers = &wire{
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
				p.list.Put(waxwingpick.Target{
					ID:      id,
					Service: "llm",
					Zone:    "zone0",
					Slots:   8,
				})
			}
			targets.changed()
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
	chosen, _ := g.process.service("llm").chooseEngines(now, placement.Demand{
		Prompt: waxwingpick.Prompt{
			Tokens: 100,
		},
		Deadline: now.Add(time.Hour),
	})
	g.process.service("llm").ended(now, chosen, false, waxwingpick.None[int]())
	return chosen.run.ID
}

// loadEngine has a gateway send long prompts to engine a.
func loadEngine(g *gossip, now time.Time) {
	for range 20 {
		g.process.service("llm").chooseEngines(now, placement.Demand{
			Prompt: waxwingpick.Prompt{
				Tokens: 20_000,
			},
			Deadline: now.Add(time.Hour),
			Exclude:  []waxwingpick.TargetID{"b"},
		})
	}
}

// TestEachZoneHearsTheOthersInFewMessages has every gateway hear of a load at one engine that one of another zone has, and
// counts the messages between zones.
func TestEachZoneHearsTheOthersInFewMessages(t *testing.T) {
	const zones, each = 3, 5
	n, all, clocks := newNetwork(t, zones, each)
	second := func() {
		for range 25 {
			for i, g := range all {
				clocks[i].Advance(40 * time.Millisecond)
				g.tell(clocks[i].Now())
				g.tellDigest(clocks[i].Now())
			}
		}
	}
	second()
	// One gateway has a long prompt at the engine that all would choose.
	now := clocks[0].Now()
	loadEngine(all[0], now)
	n.far = 0
	second()
	for i, g := range all {
		require.EqualValues(t, "b", chosenBy(g, clocks[i].Now()), "%s", g.process.options.Instance)
	}
	require.LessOrEqual(t, n.far, 25*2*zones*(zones-1), "two of a zone tell one of each other zone")

	// Digesters that are lost blind no zone: the first one's requests are told on.
	keep := func(i int) bool {
		index, ok := all[i].duty.Index(clocks[i].Now())
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

// TestSmallFleetsTellEachOtherDirectly has few gateways in zones of their own hear of a load without a digest.
func TestSmallFleetsTellEachOtherDirectly(t *testing.T) {
	_, all, clocks := newNetwork(t, smallFleet, 1)
	now := clocks[0].Now()
	loadEngine(all[0], now)
	all[0].tell(now)
	for i, g := range all {
		require.Empty(t, g.receivers(now))
		require.EqualValues(t, "b", chosenBy(g, clocks[i].Now()), "%s", g.process.options.Instance)
	}
	_, more, _ := newNetwork(t, smallFleet+1, 1)
	require.NotEmpty(t, more[0].receivers(now))
}
