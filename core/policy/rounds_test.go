package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
)

const (
	roundStep = 100 * time.Millisecond
	// maxOrdered bounds the engines whose configuration changes at once, as the preset does.
	maxOrdered = 9
)

// roundsWorld simulates a holder that probes engines. Routing also probes some of them, and some never respond.
type roundsWorld struct {
	now      time.Time
	rounds   ProbeSchedule
	contacts []Contact
	dead     waxwingpick.Set[int]
	probes   int
	// naive always starts with the first engine.
	naive bool
}

func newRoundsWorld(size int, naive bool) *roundsWorld {
	w := &roundsWorld{
		now:   time.Unix(1000, 0),
		dead:  waxwingpick.NewSet[int](),
		naive: naive,
	}
	for i := range size {
		w.contacts = append(w.contacts, Contact{
			Target:     waxwingpick.TargetID(fmt.Sprint(i)),
			ReportedAt: w.now,
		})
	}
	return w
}

// advance runs the holder. Routing receives reports of the first engines all the time.
func (w *roundsWorld) advance(d time.Duration, routed int) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(roundStep)
		for i := range min(routed, len(w.contacts)) {
			w.contacts[i].ReportedAt = w.now
		}
		if w.naive {
			w.rounds.next = -1
		}
		due := waxwingpick.NewSet(w.rounds.Due(w.now, w.contacts, nil)...)
		for i := range w.contacts {
			if !due.Has(w.contacts[i].Target) {
				continue
			}
			w.probes++
			w.contacts[i].ProbedAt = w.now
			if !w.dead.Has(i) {
				w.contacts[i].ReportedAt = w.now
			}
		}
	}
}

// check is the oracle: no report of a live engine may be older than the time to probe all engines at the rate that
// probes of changing engines leave.
func (w *roundsWorld) check() error {
	round := time.Duration(float64(len(w.contacts)) / (probeRate - maxOrdered) * float64(time.Second))
	for i, h := range w.contacts {
		limit := refreshAge + round + roundStep
		if h.ordered(w.now) {
			limit = orderedRefreshAge + time.Second
		}
		if age := w.now.Sub(h.ReportedAt); !w.dead.Has(i) && age > limit && w.now.Sub(h.OrderedAt) > limit {
			return fmt.Errorf("the report of %s is %s old, limit %s", h.Target, age, limit)
		}
	}
	return nil
}

func TestRoundsReachEveryEngine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{1, 12, 100, 600}).Draw(rt, "size")
		w := newRoundsWorld(size, false)
		routed := rapid.IntRange(0, size).Draw(rt, "routed")
		anyEngine := rapid.IntRange(0, size-1)
		began, ordered := w.now, 0
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 30).Draw(rt, "seconds"))*time.Second, routed)
			},
			"order": func(rt *rapid.T) {
				if ordered++; ordered <= maxOrdered {
					w.contacts[anyEngine.Draw(rt, "target")].OrderedAt = w.now
				}
			},
			"crash": func(rt *rapid.T) { w.dead.Add(anyEngine.Draw(rt, "target")) },
			"": func(rt *rapid.T) {
				require.NoError(rt, w.check())
				require.LessOrEqual(rt, float64(w.probes), w.now.Sub(began).Seconds()*probeRate+probeBurst)
				if routed == size && ordered == 0 {
					require.Zero(rt, w.probes, "routing receives the reports of all engines")
				}
			},
		})
	})
}

func TestRoundsFromTheFirstOnAreCaught(t *testing.T) {
	for _, naive := range []bool{false, true} {
		w := newRoundsWorld(600, naive)
		w.advance(2*time.Minute, 28)
		require.Equal(t, naive, w.check() != nil)
	}
}
