package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/ejection"
	"waxwingpick/core/placement"
	"waxwingpick/core/timer"
	"waxwingpick/core/zoneshare"
)

// newSharingNetwork returns a network whose gateways share requests, with two engines of two slots in each zone.
func newSharingNetwork(t *testing.T, zones, each int) (*network, []*gossip, []*timer.Manual) {
	n, all, clocks := newNetwork(t, zones, each)
	for _, g := range all {
		p := g.process
		p.options.ZoneShares = true
		p.shares = newZoneShares(g)
		for z := range zones {
			for i := range 2 {
				p.list.Put(p.timers.Now(), waxwingpick.Target{
					ID:      waxwingpick.TargetID(fmt.Sprint("engine", z, "-", i)),
					Service: "llm",
					Zone:    waxwingpick.AvailabilityZone(fmt.Sprint("zone", z)),
					Slots:   2,
				})
			}
		}
		for _, id := range []waxwingpick.TargetID{"a", "b"} {
			p.list.Remove(clocks[0].Now(), id)
		}
		p.updateServices()
	}
	return n, all, clocks
}

// play advances the gateways in steps of 20 ms. In each step each gateway places a request, whose generation takes a slot for so long
// that the gateways of zone 0 together cause the given demand, and those of the other zones a tenth of an engine's work.
func play(all []*gossip, clocks []*timer.Manual, length time.Duration, each int, demand float64) {
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		for i, g := range all {
			clocks[i].Advance(step)
			now := clocks[i].Now()
			if at%summaryInterval == 0 {
				g.sendSummary(now)
				g.sendDigest(now)
			}
			if at%zoneshare.UpdatePeriod == 0 && g.process.shares != nil {
				g.process.shares.step(now)
			}
			own := demand
			if g.process.options.Zone != "zone0" {
				own = 0.1
			}
			s := g.process.service("llm")
			p := s.chooseEngines(now, placement.Demand{
				Deadline: now.Add(time.Hour),
			}, false)
			s.streamStarted(now, p.selection)
			held := time.Duration(own / float64(each) * float64(p.target.Slots) * float64(step))
			s.ended(now.Add(held), p.selection, ejection.ResponseServed, waxwingpick.None[int]())
		}
	}
}

// sharesOf returns the sum of the shares of a gateway's zone.
func sharesOf(g *gossip) float64 {
	total := 0.0
	for _, share := range g.process.shares.services["llm"].decider.Shares() {
		total += share.Fraction
	}
	return total
}

// sharedFraction returns the fraction of prompts that a gateway maps to other zones.
func sharedFraction(g *gossip) float64 {
	const prompts = 2000
	away := 0
	for i := range prompts {
		zone := g.process.shareZone("llm", placement.PartsOf(waxwingpick.Prompt{
			Parts: []waxwingpick.PromptPart{{
				ID: fmt.Sprint(i),
			}},
		}))
		if zone != "" {
			away++
		}
	}
	return float64(away) / prompts
}

// TestZoneShareFollowsDemand guards against figures that don't reach all gateways, and a share that doesn't rise with the demand of its
// zone or doesn't return, in a fleet with direct messages and in one with digests.
func TestZoneShareFollowsDemand(t *testing.T) {
	for _, each := range []int{2, 5} {
		t.Run(fmt.Sprint(each, " gateways in each zone"), func(t *testing.T) {
			_, all, clocks := newSharingNetwork(t, 3, each)
			const calm, high = 0.4, 2.4
			play(all, clocks, 3*time.Second, each, calm)
			for _, g := range all {
				require.Zero(t, sharesOf(g), "%s while calm", g.process.options.Instance)
			}
			play(all, clocks, 4*time.Second, each, high)
			for _, g := range all {
				if g.process.options.Zone != "zone0" {
					require.Zero(t, sharesOf(g), "%s has no demand", g.process.options.Instance)
					continue
				}
				require.Greater(t, sharesOf(g), 0.2, "%s", g.process.options.Instance)
				require.Len(t, g.process.shares.services["llm"].figures, 3)
				require.InDelta(t, high, g.process.shares.services["llm"].figures["zone0"].Demand, 0.1*high)
				require.InDelta(t, sharesOf(g), sharedFraction(g), 0.05)
			}
			play(all, clocks, 5*time.Second, each, calm)
			for _, g := range all {
				require.Zero(t, sharesOf(g), "%s after the demand", g.process.options.Instance)
			}
		})
	}
}

// TestZoneSharesAreOffByDefault guards against messages, decisions or other placements where the option isn't set.
func TestZoneSharesAreOffByDefault(t *testing.T) {
	n, all, clocks := newNetwork(t, 3, 5)
	kinds := make(map[byte]int)
	n.seen = func(message []byte) { kinds[message[0]]++ }
	play(all, clocks, 2*time.Second, 5, 2.4)
	require.NotEmpty(t, kinds)
	require.Zero(t, kinds[zoneShareKind])
	parts := placement.PartsOf(waxwingpick.Prompt{
		Parts: []waxwingpick.PromptPart{{
			ID: "a",
		}},
	})
	for _, g := range all {
		require.Nil(t, g.process.shares)
		g.receive(append([]byte{zoneShareKind}, encodedZoneMessage(t, zoneFigures{
			Demand: 1,
		})...))
		require.Empty(t, g.process.shareZone("llm", parts))
	}
}

func encodedZoneMessage(t *testing.T, f zoneFigures) []byte {
	encoded, err := cbor.Marshal(zoneMessage{
		From: "other",
		Zone: "zone1",
		Reports: []zoneReport{{
			Zone: "zone1",
			Services: map[waxwingpick.ServiceName]zoneFigures{
				"llm": f,
			},
		}},
	})
	require.NoError(t, err)
	return encoded
}

// TestZoneMessagesOutOfRangeAreDropped guards against figures of a faulty gateway that change the shares.
func TestZoneMessagesOutOfRangeAreDropped(t *testing.T) {
	_, all, clocks := newSharingNetwork(t, 3, 1)
	g := all[0]
	g.process.shares.step(clocks[0].Now())
	figures := g.process.shares.services["llm"].figures
	for _, f := range []zoneFigures{
		{Demand: -1},
		{Demand: math.NaN()},
		{Capacity: math.Inf(1)},
		{Room: 2 * maxZoneWork},
		{WaitMillis: -1},
		{WaitMillis: math.MaxInt64},
	} {
		g.receive(append([]byte{zoneShareKind}, encodedZoneMessage(t, f)...))
	}
	good := encodedZoneMessage(t, zoneFigures{
		Capacity: 2,
	})
	g.receive([]byte{zoneShareKind})
	g.receive(append([]byte{zoneShareKind}, good[:len(good)-1]...))
	for _, m := range []zoneMessage{
		{From: "other", Zone: "zone1", Reports: []zoneReport{{Zone: "zone1", AgeMillis: -1, Services: map[waxwingpick.ServiceName]zoneFigures{"llm": {}}}}},
		{From: "other", Zone: "zone1", Reports: []zoneReport{{Zone: "zone1", AgeMillis: math.MaxInt64, Services: map[waxwingpick.ServiceName]zoneFigures{"llm": {}}}}},
		{From: "other", Zone: "zone1", Reports: []zoneReport{{Zone: "zone0", Services: map[waxwingpick.ServiceName]zoneFigures{"llm": {}}}}},
		{From: "other", Zone: "zone1", Reports: []zoneReport{{Zone: "zone2", Services: map[waxwingpick.ServiceName]zoneFigures{"llm": {}}}}},
		{From: "other", Zone: "zone0", Demands: map[waxwingpick.ServiceName]float64{"llm": math.Inf(1)}},
	} {
		encoded, err := cbor.Marshal(m)
		require.NoError(t, err)
		g.receive(append([]byte{zoneShareKind}, encoded...))
	}
	require.Empty(t, figures)
	require.Empty(t, g.process.shares.demands)
	g.receive(append([]byte{zoneShareKind}, good...))
	require.Len(t, figures, 1)
}
