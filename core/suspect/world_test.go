package suspect_test

import (
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/suspect"
	"waxwingpick/internal/rapidtest"
)

// mode is how the processes of a world act; its naive settings are caught by the oracle.
type mode struct {
	// pushed says that a crash is told to every process before a caller hears of it.
	pushed bool
	// oneCopy says that the poison request's caller sends it again only after a failure.
	oneCopy     bool
	noHome      bool
	noIsolation bool
	forgetful   bool
	// proves lets suspects show life, the poison request too, before it crashes its target.
	proves bool
}

const (
	worldEntries = 3
	worldTargets = 4
	innocents    = 3
)

const poison = suspect.Fingerprint(7)

// flight is one copy of a request that runs at a target.
type flight struct {
	id          string
	fingerprint suspect.Fingerprint
	target      int
	entry       int
}

// world is a few entries and targets, each with its own set, and a poison request among innocent ones.
type world struct {
	mode      mode
	now       time.Time
	entries   []*suspect.Set
	sidecars  []*suspect.Set
	isolation []*suspect.Isolation
	flights   []flight
	late      []lateRecords
	crashes   int
	ids       int
	refused   map[suspect.Fingerprint]bool
}

type lateRecords struct {
	to      *suspect.Set
	records []suspect.Record
}

func newSet() *suspect.Set {
	s, err := suspect.NewSet()
	if err != nil {
		panic(err)
	}
	return s
}

func newWorld(m mode) *world {
	w := &world{
		mode:    m,
		now:     time.Unix(1_000_000, 0),
		refused: make(map[suspect.Fingerprint]bool),
	}
	for range worldEntries {
		w.entries = append(w.entries, newSet())
	}
	for range worldTargets {
		w.sidecars = append(w.sidecars, newSet())
		w.isolation = append(w.isolation, suspect.NewIsolation())
	}
	return w
}

// drive takes random steps until the oracle finds something.
func (w *world) drive(d rapidtest.Draw) error {
	for range 120 {
		w.act(d)
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) act(d rapidtest.Draw) {
	w.now = w.now.Add(time.Second)
	switch d(7) {
	case 0, 1:
		w.send(poison, d(worldEntries), d(worldTargets))
	case 2:
		w.send(suspect.Fingerprint(100+d(innocents)), d(worldEntries), d(worldTargets))
	case 3:
		w.finish(d(len(w.flights) + 1))
	case 4:
		w.spread(d(len(w.late) + 1))
	case 5:
		w.crash(d(len(w.flights) + 1))
	case 6:
		if i := d(len(w.flights) + 1); w.mode.proves && i < len(w.flights) {
			w.isolation[w.flights[i].target].Proved(w.flights[i].id)
		}
	}
}

// send takes a request through an entry to a sidecar, each of which asks its own set.
func (w *world) send(f suspect.Fingerprint, entry, target int) {
	if w.mode.oneCopy && w.running(f) {
		return
	}
	status := w.entries[entry].Status(w.now, f)
	if status == suspect.StatusSuspect && !w.mode.noHome {
		target = w.home(f)
	}
	status = max(status, w.sidecars[target].Status(w.now, f))
	if status == suspect.StatusRefused {
		w.refused[f] = true
		return
	}
	if w.mode.noIsolation {
		status = suspect.StatusClean
	}
	w.ids++
	id := fmt.Sprint(w.ids)
	if !w.isolation[target].Enter(id, f, status) {
		return
	}
	w.flights = append(w.flights, flight{
		id:          id,
		fingerprint: f,
		target:      target,
		entry:       entry,
	})
}

func (w *world) home(f suspect.Fingerprint) int {
	var targets []waxwingpick.TargetID
	for i := range worldTargets {
		targets = append(targets, waxwingpick.TargetID(fmt.Sprint(i)))
	}
	home, _ := suspect.Home(f, targets)
	return int(home[0] - '0')
}

func (w *world) running(f suspect.Fingerprint) bool {
	for _, flight := range w.flights {
		if flight.fingerprint == f {
			return true
		}
	}
	return false
}

// finish ends an innocent request well; a poison request never does.
func (w *world) finish(i int) {
	if i >= len(w.flights) || w.flights[i].fingerprint == poison {
		return
	}
	f := w.flights[i]
	w.isolation[f.target].Leave(f.id)
	w.flights = append(w.flights[:i:i], w.flights[i+1:]...)
}

// crash lets a running poison request crash its target.
func (w *world) crash(i int) {
	if i >= len(w.flights) || w.flights[i].fingerprint != poison {
		return
	}
	w.crashes++
	target := w.flights[i].target
	crash := suspect.Crash{
		ID: fmt.Sprint(w.crashes),
		At: w.now,
	}
	records := w.sidecars[target].Crashed(w.now, crash, w.isolation[target].Crash())
	told := map[int]bool{}
	var left []flight
	for _, f := range w.flights {
		if f.target != target {
			left = append(left, f)
			continue
		}
		told[f.entry] = true
	}
	w.flights = left
	w.tell(records, told)
}

// tell gives the records to the entries whose requests crashed, and to the rest at once or late.
func (w *world) tell(records []suspect.Record, told map[int]bool) {
	if w.mode.forgetful {
		return
	}
	for i, entry := range w.entries {
		if w.mode.pushed || told[i] {
			entry.Merge(w.now, records)
			continue
		}
		w.late = append(w.late, lateRecords{
			to:      entry,
			records: records,
		})
	}
	for _, sidecar := range w.sidecars {
		if w.mode.pushed {
			sidecar.Merge(w.now, records)
			continue
		}
		w.late = append(w.late, lateRecords{
			to:      sidecar,
			records: records,
		})
	}
}

// spread lets late records arrive, in any order; they stay to arrive once more.
func (w *world) spread(i int) {
	if i < len(w.late) {
		w.late[i].to.Merge(w.now, w.late[i].records)
	}
}

// check is the oracle: targets lost to the poison request beyond those before the watch, and innocents refused.
func (w *world) check() error {
	if w.crashes > crashLimit {
		return fmt.Errorf("one request crashed targets %d times", w.crashes)
	}
	for f := range w.refused {
		if f != poison && w.mode.pushed && !w.mode.proves {
			return fmt.Errorf("innocent request %s is refused", f)
		}
	}
	return nil
}
