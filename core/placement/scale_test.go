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

// size describes a fleet whose gateways report their load to each other.
type size struct {
	gateways int
	zones    int
	engines  int
	// rate is the number of requests per second.
	rate float64
	// length is the duration of the replay.
	length time.Duration
}

const (
	// minPublishPeriod, maxPublishesPerSecond and maxDigestsPerSecond limit the summaries and digests of a gateway.
	minPublishPeriod      = 40 * time.Millisecond
	maxPublishesPerSecond = 200
	maxDigestsPerSecond   = 50
	// warmUp is the time until all gateways have received each other's load.
	warmUp = 600 * time.Millisecond
)

// scaledReplay is a replay with gateways and engines in several zones.
type scaledReplay struct {
	*replay
	size size
	ages []time.Duration
	// far counts the messages between zones.
	far int
}

func zoneName(i int) waxwingpick.AvailabilityZone {
	return waxwingpick.AvailabilityZone(fmt.Sprint("zone", i))
}

func newScaledReplay(s size) *scaledReplay {
	w := &scaledReplay{
		replay: &replay{
			r:      rand.New(rand.NewPCG(7, 7)),
			free:   make(map[waxwingpick.TargetID]time.Time),
			cached: make(map[waxwingpick.TargetID]*cache),
			seen:   make(map[uint64]bool),
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
		w.cached[t.ID] = newCache(traits().MemoryTokens)
	}
	for i := range s.gateways {
		f := New(w.zone(i))
		f.SetTargets(targets, traits())
		w.gateways = append(w.gateways, f)
	}
	return w
}

func (w *scaledReplay) zone(gateway int) waxwingpick.AvailabilityZone {
	return zoneName(gateway % w.size.zones)
}

// every schedules do periodically with a random phase.
func (w *scaledReplay) every(period time.Duration, do func(now time.Time)) {
	for t := start.Add(time.Duration(w.r.Int64N(int64(period)))); t.Before(start.Add(w.size.length)); t = t.Add(period) {
		w.at(t, do)
	}
}

// mesh makes each gateway send summaries to every other gateway.
func (w *scaledReplay) mesh() {
	period := max(minPublishPeriod, time.Duration(w.size.gateways-1)*time.Second/maxPublishesPerSecond)
	for i := range w.gateways {
		w.every(period, func(now time.Time) {
			w.summary(now, i, func(int) bool { return true })
		})
	}
}

// digests makes each gateway send summaries within its zone, and two of each zone send digests to the other zones.
func (w *scaledReplay) digests() {
	near := w.size.gateways/w.size.zones - 1
	period := max(minPublishPeriod, time.Duration(near)*time.Second/maxPublishesPerSecond)
	for i := range w.gateways {
		w.every(period, func(now time.Time) {
			w.summary(now, i, func(other int) bool { return w.zone(other) == w.zone(i) })
		})
	}
	between := max(minPublishPeriod, time.Duration(w.size.zones-1)*time.Second/maxDigestsPerSecond)
	for i := range min(2*w.size.zones, w.size.gateways) {
		w.every(between, func(now time.Time) {
			w.digest(now, i)
		})
	}
}

func (w *scaledReplay) summary(now time.Time, from int, includes func(other int) bool) {
	s := w.gateways[from].Summary(now)
	for other, f := range w.gateways {
		if other == from || !includes(other) {
			continue
		}
		f.Observe(now, waxwingpick.InstanceID(fmt.Sprint("g", from)), s)
		if w.zone(other) != w.zone(from) {
			w.far++
		}
	}
}

// digest sends the digest of a gateway's zone, which its receivers forward in their next message.
func (w *scaledReplay) digest(now time.Time, from int) {
	s := w.gateways[from].Digest(now)
	w.far += w.size.zones - 1
	delay := time.Duration(w.r.Int64N(int64(minPublishPeriod)))
	w.at(now.Add(delay), func(now time.Time) {
		for other, f := range w.gateways {
			if w.zone(other) != w.zone(from) {
				f.ObserveZone(now, w.zone(from), delay, s)
			}
		}
	})
}

// run replays the arrivals at the size.
func (w *scaledReplay) run() tally {
	const mean = float64(time.Second)
	for t := start; t.Before(start.Add(w.size.length)); t = t.Add(time.Duration(w.r.ExpFloat64() * mean / w.size.rate)) {
		d := w.demand(t, 0.12)
		// The requests have no body, so that the selection of a zone depends on waits alone.
		w.at(t, func(now time.Time) {
			f := w.gateways[w.r.IntN(len(w.gateways))]
			if c, verdict := f.Choose(now, d.Demand); verdict == waxwingpick.VerdictPlaced && now.After(start.Add(warmUp)) {
				w.ages = append(w.ages, c.Ages...)
			}
			w.arrive(now, d)
		})
	}
	w.drain()
	slices.Sort(w.ages)
	return w.tally
}

func (w *scaledReplay) age(share float64) time.Duration {
	if len(w.ages) == 0 {
		return 0
	}
	return w.ages[int(share*float64(len(w.ages)-1))]
}

// report runs the replay and logs the outcomes.
func (w *scaledReplay) report(t *testing.T, rule string) {
	got := w.run()
	t.Logf("%d gateways, %s: %s; median age %v, p99 %v, %d messages between zones",
		w.size.gateways, rule, got, w.age(0.5), w.age(0.99), w.far)
}

// TestReplayOfLoadToldAtScale compares summaries from each gateway to each other with digests of zones, in a small and
// a large fleet, and checks the ages of the reports at the planned size.
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
		zones := newScaledReplay(s)
		zones.digests()
		zones.report(t, "digests of zones")
		// The full mesh is slow to replay at the largest size.
		if s.gateways < 100 || long {
			mesh := newScaledReplay(s)
			mesh.mesh()
			mesh.report(t, "each to each")
			require.LessOrEqual(t, zones.far, mesh.far)
		}
		require.LessOrEqual(t, zones.age(0.5), 150*time.Millisecond)
		require.LessOrEqual(t, zones.age(0.99), 400*time.Millisecond)
	}
}
