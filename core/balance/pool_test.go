package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/balance"
)

var start = time.Unix(1000, 0)

func targets(n, slots int) []waxwingpick.Target {
	all := make([]waxwingpick.Target, 0, n)
	for i := range n {
		all = append(all, waxwingpick.Target{
			ID:    waxwingpick.TargetID(rune('a' + i)),
			Slots: slots,
			Zone:  "here",
		})
	}
	return all
}

func TestChooseTakesTheLeastLoaded(t *testing.T) {
	p := balance.New("here")
	p.SetTargets(targets(3, 2))
	seen := waxwingpick.NewSet[waxwingpick.TargetID]()
	for range 3 {
		chosen, ok := p.Choose(start, nil)
		require.True(t, ok)
		p.Begin(start, chosen.ID)
		seen.Add(chosen.ID)
	}
	require.Equal(t, 3, seen.Len())
	p.End(start, "b", false, waxwingpick.None[int]())
	chosen, _ := p.Choose(start, nil)
	require.EqualValues(t, "b", chosen.ID)
}

func TestChooseLeavesOutLeavingAndTried(t *testing.T) {
	p := balance.New("here")
	all := targets(3, 2)
	all[0].Leaving = true
	p.SetTargets(all)
	for range 10 {
		chosen, ok := p.Choose(start, []waxwingpick.TargetID{"b"})
		require.True(t, ok)
		require.EqualValues(t, "c", chosen.ID)
	}
	_, ok := p.Choose(start, []waxwingpick.TargetID{"b", "c"})
	require.False(t, ok)
}

func TestToldLoadOfOthersCountsForASecond(t *testing.T) {
	p := balance.New("here")
	p.SetTargets(targets(2, 4))
	p.Begin(start, "a")
	p.End(start, "a", false, waxwingpick.Some(3))
	for range 4 {
		chosen, _ := p.Choose(start, nil)
		require.EqualValues(t, "b", chosen.ID)
	}
	seen := waxwingpick.NewSet[waxwingpick.TargetID]()
	for range 4 {
		chosen, _ := p.Choose(start.Add(2*time.Second), nil)
		seen.Add(chosen.ID)
	}
	require.Equal(t, 2, seen.Len())
}

// TestFailingTargetGetsFewCalls replays a second of calls with one of three targets that fails all of its calls, by the
// pool's rule and by turns.
func TestFailingTargetGetsFewCalls(t *testing.T) {
	const calls = 300
	run := func(choose func(p *balance.Pool) waxwingpick.TargetID) int {
		p := balance.New("here")
		p.SetTargets(targets(3, 6))
		r := rand.New(rand.NewPCG(1, 1))
		failed := 0
		var running []waxwingpick.TargetID
		for i := range calls {
			now := start.Add(time.Duration(i) * 3 * time.Millisecond)
			id := choose(p)
			p.Begin(now, id)
			if id == "a" {
				// A target that fails does so at once, and so looks idle to a rule that sees load alone.
				failed++
				p.End(now, id, true, waxwingpick.None[int]())
				continue
			}
			running = append(running, id)
			if len(running) > 8 {
				n := r.IntN(len(running))
				p.End(now, running[n], false, waxwingpick.None[int]())
				running = append(running[:n], running[n+1:]...)
			}
		}
		return failed
	}
	turn := 0
	byTurns := run(func(*balance.Pool) waxwingpick.TargetID {
		turn++
		return waxwingpick.TargetID(rune('a' + turn%3))
	})
	byLoad := run(func(p *balance.Pool) waxwingpick.TargetID {
		chosen, _ := p.Choose(start, nil)
		return chosen.ID
	})
	t.Logf("failed of %d: by turns %d, by load and failures %d", calls, byTurns, byLoad)
	require.Equal(t, calls/3, byTurns)
	require.Less(t, byLoad, calls/10)
}

func TestAbsentTargetIsLeftOutUntilAProbeShowsItIsBack(t *testing.T) {
	p := balance.New("here")
	p.SetTargets(targets(2, 4))
	p.Begin(start, "a")
	p.Failed(start, "a", true)
	p.End(start, "a", true, waxwingpick.None[int]())
	for range 8 {
		chosen, ok := p.Choose(start, nil)
		require.True(t, ok)
		require.EqualValues(t, "b", chosen.ID)
		p.Begin(start, "b")
	}
	chosen, ok := p.Choose(start, []waxwingpick.TargetID{"b"})
	require.True(t, ok, "the only one left is tried")
	require.EqualValues(t, "a", chosen.ID)
	later := start.Add(time.Second)
	chosen, _ = p.Choose(later, nil)
	require.EqualValues(t, "a", chosen.ID)
	p.Begin(later, "a")
	chosen, _ = p.Choose(later, nil)
	require.EqualValues(t, "b", chosen.ID, "one request probes")
	p.End(later, "a", false, waxwingpick.None[int]())
	chosen, _ = p.Choose(later, nil)
	require.EqualValues(t, "a", chosen.ID)
}
