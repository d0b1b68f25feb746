package digest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/digest"
	"waxwingpick/internal/rapidtest"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 300)
}

const (
	// period is the time between two messages of a process, settleTime the time after a change within which all zones must
	// receive each other's digests.
	period     = 100 * time.Millisecond
	settleTime = time.Second
)

// process is a member of a zone.
type process struct {
	id      waxwingpick.InstanceID
	zone    waxwingpick.AvailabilityZone
	duty    *digest.Aggregators
	crashed bool
}

// fleet simulates processes in several zones.
type fleet struct {
	draw      rapidtest.Draw
	now       time.Time
	processes []*process
	// lastDigest is when each zone last received a digest of each other one.
	lastDigest map[[2]waxwingpick.AvailabilityZone]time.Time
	changed    time.Time
	// sent is the number of digests since the last change.
	sent int
}

func newFleet(draw rapidtest.Draw) *fleet {
	w := &fleet{
		draw:       draw,
		now:        start,
		lastDigest: make(map[[2]waxwingpick.AvailabilityZone]time.Time),
	}
	for z := range 2 + draw(4) {
		for i := range 1 + draw(6) {
			id := waxwingpick.InstanceID(fmt.Sprint("gateway", z, "-", i))
			zone := waxwingpick.AvailabilityZone(fmt.Sprint("zone", z))
			w.processes = append(w.processes, &process{
				id:   id,
				zone: zone,
				duty: digest.New(id, zone),
			})
		}
	}
	w.changed = w.now
	return w
}

// listed returns the processes in the platform's list, which still contains crashed ones.
func (w *fleet) listed(zone waxwingpick.AvailabilityZone) []waxwingpick.InstanceID {
	var ids []waxwingpick.InstanceID
	for _, p := range w.processes {
		if p.zone == zone {
			ids = append(ids, p.id)
		}
	}
	return ids
}

func (w *fleet) zones() waxwingpick.Set[waxwingpick.AvailabilityZone] {
	zones := waxwingpick.NewSet[waxwingpick.AvailabilityZone]()
	for _, p := range w.processes {
		zones.Add(p.zone)
	}
	return zones
}

// tick makes each process send a message to its zone, and the aggregators send digests.
func (w *fleet) tick() {
	w.now = w.now.Add(period)
	for _, p := range w.processes {
		if p.crashed {
			continue
		}
		for _, other := range w.processes {
			if !other.crashed && other.zone == p.zone && w.draw(10) > 0 {
				other.duty.Observe(w.now, p.id, p.zone)
			}
		}
		index, ok := p.duty.Index(w.now)
		if !ok {
			continue
		}
		for _, zone := range w.zones().Sorted() {
			if zone != p.zone {
				w.digest(p, index, zone)
			}
		}
	}
}

func (w *fleet) digest(p *process, index int, zone waxwingpick.AvailabilityZone) {
	id, ok := p.duty.Receiver(w.now, index, zone, w.listed(zone)).Get()
	if !ok {
		return
	}
	w.sent++
	for _, other := range w.processes {
		if other.id != id || other.crashed {
			continue
		}
		other.duty.Observe(w.now, p.id, p.zone)
		w.lastDigest[[2]waxwingpick.AvailabilityZone{p.zone, zone}] = w.now
	}
}

// liveZones returns the zones that have a live process.
func (w *fleet) liveZones() []waxwingpick.AvailabilityZone {
	zones := waxwingpick.NewSet[waxwingpick.AvailabilityZone]()
	for _, p := range w.processes {
		if !p.crashed {
			zones.Add(p.zone)
		}
	}
	return zones.Sorted()
}

// check fails if a zone receives no digests of another one, or if there are more than a few digests for each pair of
// zones.
func (w *fleet) check() error {
	liveZones := w.liveZones()
	for _, from := range liveZones {
		for _, to := range liveZones {
			if from == to {
				continue
			}
			if age := w.now.Sub(w.lastDigest[[2]waxwingpick.AvailabilityZone{from, to}]); age > settleTime {
				return fmt.Errorf("%s has received no digest of %s for %v", to, from, age)
			}
		}
	}
	zones := len(liveZones)
	if limit := (digest.Senders + 1) * zones * w.zones().Len() * int(settleTime/period); w.sent > limit {
		return fmt.Errorf("%d digests a second among %d zones", w.sent, zones)
	}
	return nil
}

// TestLostDigestersBlindNoZone repeatedly crashes an aggregator of a zone or restarts all crashed processes.
func TestLostDigestersBlindNoZone(t *testing.T) {
	rapidtest.Check(t, func(draw rapidtest.Draw) error {
		w := newFleet(draw)
		for range 12 {
			w.crash()
			for range 2 * int(settleTime/period) {
				w.tick()
			}
			w.sent = 0
			for range int(settleTime / period) {
				w.tick()
			}
			if err := w.check(); err != nil {
				return err
			}
		}
		return nil
	})
}

// crash stops one aggregator, or restarts all crashed processes.
func (w *fleet) crash() {
	if w.draw(4) == 0 {
		for _, p := range w.processes {
			if p.crashed {
				p.crashed = false
				p.duty = digest.New(p.id, p.zone)
			}
		}
		return
	}
	for _, p := range w.processes {
		if _, ok := p.duty.Index(w.now); ok && !p.crashed && w.draw(3) == 0 {
			p.crashed = true
			return
		}
	}
}

func TestReceiverPrefersLiveProcesses(t *testing.T) {
	d := digest.New("self", "here")
	listed := []waxwingpick.InstanceID{"a", "b", "c", "d"}
	_, ok := d.Receiver(start, 0, "there", nil).Get()
	require.False(t, ok)
	// No process is live: all receive digests in rotation.
	rotations := waxwingpick.NewSet[waxwingpick.InstanceID]()
	for range listed {
		id, _ := d.Receiver(start, 0, "there", listed).Get()
		rotations.Add(id)
	}
	require.Equal(t, listed, rotations.Sorted())
	d.Observe(start, "b", "there")
	d.Observe(start, "c", "there")
	for range 3 {
		first, _ := d.Receiver(start, 0, "there", listed).Get()
		second, _ := d.Receiver(start, 1, "there", listed).Get()
		require.ElementsMatch(t, []waxwingpick.InstanceID{"b", "c"}, []waxwingpick.InstanceID{first, second})
	}
}

func TestTrackedProcessesAreLimited(t *testing.T) {
	d := digest.New("self", "here")
	for i := range 5000 {
		d.Observe(start, waxwingpick.InstanceID(fmt.Sprint(i)), "here")
	}
	_, ok := d.Index(start)
	require.False(t, ok)
	_, ok = d.Index(start.Add(time.Minute))
	require.True(t, ok, "unresponsive processes don't count")
	d.Observe(start.Add(time.Minute), "new", "there")
	id, _ := d.Receiver(start.Add(time.Minute), 0, "there", []waxwingpick.InstanceID{"other", "new"}).Get()
	require.EqualValues(t, "new", id, "expired processes are replaced by others")
}
