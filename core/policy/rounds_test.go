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
	// mostOrdered bounds the engines whose configuration changes at once, as the preset does.
	mostOrdered = 9
)

// roundsWorld is a holder that asks engines, some of which routing asks too and some of which never answer.
type roundsWorld struct {
	now    time.Time
	rounds Rounds
	heard  []Heard
	dead   waxwingpick.Set[int]
	asked  int
	// naive asks whatever is due from the first one on.
	naive bool
}

func newRoundsWorld(size int, naive bool) *roundsWorld {
	w := &roundsWorld{
		now:   time.Unix(1000, 0),
		dead:  waxwingpick.NewSet[int](),
		naive: naive,
	}
	for i := range size {
		w.heard = append(w.heard, Heard{
			Target: waxwingpick.TargetID(fmt.Sprint(i)),
			At:     w.now,
		})
	}
	return w
}

// advance runs the holder; routing hears of the first few engines all the time.
func (w *roundsWorld) advance(d time.Duration, routed int) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(roundStep)
		for i := range min(routed, len(w.heard)) {
			w.heard[i].At = w.now
		}
		if w.naive {
			w.rounds.next = -1
		}
		due := waxwingpick.NewSet(w.rounds.Due(w.now, w.heard, nil)...)
		for i := range w.heard {
			if !due.Has(w.heard[i].Target) {
				continue
			}
			w.asked++
			w.heard[i].Asked = w.now
			if !w.dead.Has(i) {
				w.heard[i].At = w.now
			}
		}
	}
}

// check is the oracle: no report of a live engine is older than a round of all takes, beside what changes.
func (w *roundsWorld) check() error {
	round := time.Duration(float64(len(w.heard)) / (askRate - mostOrdered) * float64(time.Second))
	for i, h := range w.heard {
		limit := askAge + round + roundStep
		if h.ordered(w.now) {
			limit = orderedAge + time.Second
		}
		if age := w.now.Sub(h.At); !w.dead.Has(i) && age > limit && w.now.Sub(h.Ordered) > limit {
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
		pick := rapid.IntRange(0, size-1)
		began, ordered := w.now, 0
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 30).Draw(rt, "seconds"))*time.Second, routed)
			},
			"order": func(rt *rapid.T) {
				if ordered++; ordered <= mostOrdered {
					w.heard[pick.Draw(rt, "target")].Ordered = w.now
				}
			},
			"crash": func(rt *rapid.T) { w.dead.Add(pick.Draw(rt, "target")) },
			"": func(rt *rapid.T) {
				require.NoError(rt, w.check())
				require.LessOrEqual(rt, float64(w.asked), w.now.Sub(began).Seconds()*askRate+askBurst)
				if routed == size && ordered == 0 {
					require.Zero(rt, w.asked, "routing hears of all")
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
