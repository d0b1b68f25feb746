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
	// period is the time between two messages of a process, calm how long after a change all zones must hear each other.
	period = 100 * time.Millisecond
	calm   = time.Second
)

// process is one of a zone; its digests go to one process of each other zone.
type process struct {
	id   waxwingpick.InstanceID
	zone waxwingpick.AvailabilityZone
	duty *digest.Duty
	dead bool
}

// world is a fleet in several zones.
type world struct {
	draw      rapidtest.Draw
	now       time.Time
	processes []*process
	// heard is when each zone last got a digest of each other one.
	heard   map[[2]waxwingpick.AvailabilityZone]time.Time
	changed time.Time
	// sent are the digests since the last change.
	sent int
}

func newWorld(draw rapidtest.Draw) *world {
	w := &world{
		draw:  draw,
		now:   start,
		heard: make(map[[2]waxwingpick.AvailabilityZone]time.Time),
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

// listed returns the processes that the list names: those that died stay in it.
func (w *world) listed(zone waxwingpick.AvailabilityZone) []waxwingpick.InstanceID {
	var ids []waxwingpick.InstanceID
	for _, p := range w.processes {
		if p.zone == zone {
			ids = append(ids, p.id)
		}
	}
	return ids
}

func (w *world) zones() waxwingpick.Set[waxwingpick.AvailabilityZone] {
	zones := waxwingpick.NewSet[waxwingpick.AvailabilityZone]()
	for _, p := range w.processes {
		zones.Add(p.zone)
	}
	return zones
}

// tick has each process tell its zone, and digests go out and around.
func (w *world) tick() {
	w.now = w.now.Add(period)
	for _, p := range w.processes {
		if p.dead {
			continue
		}
		for _, other := range w.processes {
			if !other.dead && other.zone == p.zone && w.draw(10) > 0 {
				other.duty.Heard(w.now, p.id, p.zone)
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

func (w *world) digest(p *process, index int, zone waxwingpick.AvailabilityZone) {
	id, ok := p.duty.Receiver(w.now, index, zone, w.listed(zone)).Get()
	if !ok {
		return
	}
	w.sent++
	for _, other := range w.processes {
		if other.id != id || other.dead {
			continue
		}
		other.duty.Heard(w.now, p.id, p.zone)
		w.heard[[2]waxwingpick.AvailabilityZone{p.zone, zone}] = w.now
	}
}

// alive returns the zones that have a living process.
func (w *world) alive() []waxwingpick.AvailabilityZone {
	zones := waxwingpick.NewSet[waxwingpick.AvailabilityZone]()
	for _, p := range w.processes {
		if !p.dead {
			zones.Add(p.zone)
		}
	}
	return zones.Sorted()
}

// check fails where a zone is blind to another one, or where digests are more than a few for each pair of zones.
func (w *world) check() error {
	alive := w.alive()
	for _, from := range alive {
		for _, to := range alive {
			if from == to {
				continue
			}
			if age := w.now.Sub(w.heard[[2]waxwingpick.AvailabilityZone{from, to}]); age > calm {
				return fmt.Errorf("%s has not heard of %s for %v", to, from, age)
			}
		}
	}
	zones := len(alive)
	if most := (digest.Senders + 1) * zones * w.zones().Len() * int(calm/period); w.sent > most {
		return fmt.Errorf("%d digests a second among %d zones", w.sent, zones)
	}
	return nil
}

// TestLostDigestersBlindNoZone kills the best ranked process of a zone and starts it again, one after the other.
func TestLostDigestersBlindNoZone(t *testing.T) {
	rapidtest.Check(t, func(draw rapidtest.Draw) error {
		w := newWorld(draw)
		for range 12 {
			w.kill()
			for range 2 * int(calm/period) {
				w.tick()
			}
			w.sent = 0
			for range int(calm / period) {
				w.tick()
			}
			if err := w.check(); err != nil {
				return err
			}
		}
		return nil
	})
}

// kill ends one process that sends digests, where its zone has another one, or starts all again.
func (w *world) kill() {
	if w.draw(4) == 0 {
		for _, p := range w.processes {
			if p.dead {
				p.dead = false
				p.duty = digest.New(p.id, p.zone)
			}
		}
		return
	}
	for _, p := range w.processes {
		if _, ok := p.duty.Index(w.now); ok && !p.dead && w.draw(3) == 0 {
			p.dead = true
			return
		}
	}
}

func TestReceiverIsHeardFirst(t *testing.T) {
	d := digest.New("self", "here")
	listed := []waxwingpick.InstanceID{"a", "b", "c", "d"}
	_, ok := d.Receiver(start, 0, "there", nil).Get()
	require.False(t, ok)
	// Nobody is heard: all get one in turn.
	turns := waxwingpick.NewSet[waxwingpick.InstanceID]()
	for range listed {
		id, _ := d.Receiver(start, 0, "there", listed).Get()
		turns.Add(id)
	}
	require.Equal(t, listed, turns.Sorted())
	d.Heard(start, "b", "there")
	d.Heard(start, "c", "there")
	for range 3 {
		first, _ := d.Receiver(start, 0, "there", listed).Get()
		second, _ := d.Receiver(start, 1, "there", listed).Get()
		require.ElementsMatch(t, []waxwingpick.InstanceID{"b", "c"}, []waxwingpick.InstanceID{first, second})
	}
}

func TestHeardProcessesAreBounded(t *testing.T) {
	d := digest.New("self", "here")
	for i := range 5000 {
		d.Heard(start, waxwingpick.InstanceID(fmt.Sprint(i)), "here")
	}
	_, ok := d.Index(start)
	require.False(t, ok)
	_, ok = d.Index(start.Add(time.Minute))
	require.True(t, ok, "silent processes don't count")
	d.Heard(start.Add(time.Minute), "new", "there")
	id, _ := d.Receiver(start.Add(time.Minute), 0, "there", []waxwingpick.InstanceID{"other", "new"}).Get()
	require.EqualValues(t, "new", id, "they make room for others")
}
