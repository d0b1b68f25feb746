package placement

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
)

// size is a fleet whose gateways tell each other load.
type size struct {
	gateways int
	zones    int
	engines  int
	// rate are the requests a second.
	rate float64
	// length is how long the arrival list is.
	length time.Duration
}

const (
	// tellEvery and tellsPerSecond bound the summaries of a gateway, digestsPerSecond the digests of one.
	tellEvery        = 40 * time.Millisecond
	tellsPerSecond   = 200
	digestsPerSecond = 50
	// settled is when all have heard of each other.
	settled = 600 * time.Millisecond
)

// scaled is a replay with gateways and engines in zones.
type scaled struct {
	*replay
	size size
	ages []time.Duration
	// far counts the messages between zones.
	far int
}

func zoneName(i int) waxwingpick.AvailabilityZone {
	return waxwingpick.AvailabilityZone(fmt.Sprint("zone", i))
}

func newScaled(s size) *scaled {
	w := &scaled{
		replay: &replay{
			r:    rand.New(rand.NewPCG(7, 7)),
			free: make(map[waxwingpick.TargetID]time.Time),
			kept: make(map[waxwingpick.TargetID]*cache),
			seen: make(map[uint64]bool),
		},
		size: s,
	}
	var targets []waxwingpick.Target
	for i := range s.engines {
		role := waxwingpick.RoleDecode
		if i/s.zones%3 == 0 {
			role = waxwingpick.RolePrefill
		}
		t := engineTarget(fmt.Sprint("e", i), role)
		t.Zone = zoneName(i % s.zones)
		targets = append(targets, t)
		w.kept[t.ID] = newCache(traits().MemoryTokens)
	}
	for i := range s.gateways {
		f := New(w.zone(i))
		f.SetTargets(targets, traits())
		w.gateways = append(w.gateways, f)
	}
	return w
}

func (w *scaled) zone(gateway int) waxwingpick.AvailabilityZone {
	return zoneName(gateway % w.size.zones)
}

// every has something happen periodically, from a phase of its own.
func (w *scaled) every(period time.Duration, do func(now time.Time)) {
	for t := start.Add(time.Duration(w.r.Int64N(int64(period)))); t.Before(start.Add(w.size.length)); t = t.Add(period) {
		w.at(t, do)
	}
}

// mesh has each gateway tell each other one.
func (w *scaled) mesh() {
	period := max(tellEvery, time.Duration(w.size.gateways-1)*time.Second/tellsPerSecond)
	for i := range w.gateways {
		w.every(period, func(now time.Time) {
			w.summary(now, i, func(int) bool { return true })
		})
	}
}

// digests has each gateway tell its zone, and two of each zone send its sum to the others.
func (w *scaled) digests() {
	near := w.size.gateways/w.size.zones - 1
	period := max(tellEvery, time.Duration(near)*time.Second/tellsPerSecond)
	for i := range w.gateways {
		w.every(period, func(now time.Time) {
			w.summary(now, i, func(other int) bool { return w.zone(other) == w.zone(i) })
		})
	}
	between := max(tellEvery, time.Duration(w.size.zones-1)*time.Second/digestsPerSecond)
	for i := range min(2*w.size.zones, w.size.gateways) {
		w.every(between, func(now time.Time) {
			w.digest(now, i)
		})
	}
}

func (w *scaled) summary(now time.Time, from int, tells func(other int) bool) {
	s := w.gateways[from].Summary(now)
	for other, f := range w.gateways {
		if other == from || !tells(other) {
			continue
		}
		f.Observe(now, waxwingpick.InstanceID(fmt.Sprint("g", from)), s)
		if w.zone(other) != w.zone(from) {
			w.far++
		}
	}
}

// digest sends the sum of a gateway's zone, which its receivers pass on at their next turn.
func (w *scaled) digest(now time.Time, from int) {
	s := w.gateways[from].Digest(now)
	w.far += w.size.zones - 1
	delay := time.Duration(w.r.Int64N(int64(tellEvery)))
	w.at(now.Add(delay), func(now time.Time) {
		for other, f := range w.gateways {
			if w.zone(other) != w.zone(from) {
				f.ObserveZone(now, w.zone(from), delay, s)
			}
		}
	})
}

// run plays the arrival list of a replay at the size.
func (w *scaled) run() tally {
	const mean = float64(time.Second)
	for t := start; t.Before(start.Add(w.size.length)); t = t.Add(time.Duration(w.r.ExpFloat64() * mean / w.size.rate)) {
		d := w.demand(t, 0.12)
		// Requests without a body of note: the choice of zones is that of waits alone.
		w.at(t, func(now time.Time) {
			f := w.gateways[w.r.IntN(len(w.gateways))]
			if c, verdict := f.Choose(now, d.Demand); verdict == waxwingpick.VerdictPlaced && now.After(start.Add(settled)) {
				w.ages = append(w.ages, c.Ages...)
			}
			w.arrive(now, d)
		})
	}
	w.drain()
	slices.Sort(w.ages)
	return w.tally
}

func (w *scaled) age(share float64) time.Duration {
	if len(w.ages) == 0 {
		return 0
	}
	return w.ages[int(share*float64(len(w.ages)-1))]
}

// report plays the replay and logs what its requests got.
func (w *scaled) report(t *testing.T, rule string) {
	got := w.run()
	t.Logf("%d gateways, %s: %s; median age %v, p99 %v, %d messages between zones",
		w.size.gateways, rule, got, w.age(0.5), w.age(0.99), w.far)
}

// TestReplayOfLoadToldAtScale compares what each tells each other with sums of zones, at the sizes of a small and a large fleet,
// and takes the ages of what is told at the size that is planned for.
func TestReplayOfLoadToldAtScale(t *testing.T) {
	for _, s := range []size{
		{gateways: 5, zones: 5, engines: 20, rate: 300, length: 4 * time.Second},
		{gateways: 68, zones: 6, engines: 62, rate: 930, length: 1500 * time.Millisecond},
		{gateways: 400, zones: 9, engines: 90, rate: 600, length: 1200 * time.Millisecond},
	} {
		long := os.Getenv("WAXWINGPICK_LONG") != ""
		if long {
			s.length *= 5
		}
		zones := newScaled(s)
		zones.digests()
		zones.report(t, "sums of zones")
		// Each to each is slow to play at the largest size.
		if s.gateways < 100 || long {
			mesh := newScaled(s)
			mesh.mesh()
			mesh.report(t, "each to each")
			require.LessOrEqual(t, zones.far, mesh.far)
		}
		require.LessOrEqual(t, zones.age(0.5), 150*time.Millisecond)
		require.LessOrEqual(t, zones.age(0.99), 400*time.Millisecond)
	}
}
