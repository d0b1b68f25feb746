package suspect_test

import (
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/suspect"
	"waxwingpick/internal/rapidtest"
)

// mode sets how the processes of a simulation act. The oracle detects its naive settings.
type mode struct {
	// pushed means that every process receives the record of a crash before a caller receives the failure.
	pushed bool
	// oneCopy means that the poison request's caller sends it again only after a failure.
	oneCopy     bool
	noOwner     bool
	noIsolation bool
	noSharing   bool
	// showsProgress makes suspects show progress, the poison request too, before it crashes its target.
	showsProgress bool
}

const (
	simulatedEntries = 3
	simulatedTargets = 4
	harmlessRequests = 3
)

const poison = suspect.Fingerprint(7)

// request is one copy of a request that runs on a target.
type request struct {
	id          string
	fingerprint suspect.Fingerprint
	target      int
	entry       int
}

// simulation is a few entries and targets, each with its own set, and a poison request among harmless ones.
type simulation struct {
	mode      mode
	now       time.Time
	entries   []*suspect.Set
	sidecars  []*suspect.Set
	isolation []*suspect.Isolation
	requests  []request
	delayed   []delayedRecords
	crashes   int
	ids       int
	refused   map[suspect.Fingerprint]bool
}

type delayedRecords struct {
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

func newSimulation(m mode) *simulation {
	sim := &simulation{
		mode:    m,
		now:     time.Unix(1_000_000, 0),
		refused: make(map[suspect.Fingerprint]bool),
	}
	for range simulatedEntries {
		sim.entries = append(sim.entries, newSet())
	}
	for range simulatedTargets {
		sim.sidecars = append(sim.sidecars, newSet())
		sim.isolation = append(sim.isolation, suspect.NewIsolation())
	}
	return sim
}

// drive takes random steps until the oracle finds a violation.
func (sim *simulation) drive(d rapidtest.Draw) error {
	for range 120 {
		sim.act(d)
		if err := sim.check(); err != nil {
			return err
		}
	}
	return nil
}

func (sim *simulation) act(d rapidtest.Draw) {
	sim.now = sim.now.Add(time.Second)
	switch d(7) {
	case 0, 1:
		sim.send(poison, d(simulatedEntries), d(simulatedTargets))
	case 2:
		sim.send(suspect.Fingerprint(100+d(harmlessRequests)), d(simulatedEntries), d(simulatedTargets))
	case 3:
		sim.finish(d(len(sim.requests) + 1))
	case 4:
		sim.deliver(d(len(sim.delayed) + 1))
	case 5:
		sim.crash(d(len(sim.requests) + 1))
	case 6:
		if i := d(len(sim.requests) + 1); sim.mode.showsProgress && i < len(sim.requests) {
			sim.isolation[sim.requests[i].target].ReportProgress(sim.requests[i].id)
		}
	}
}

// send sends a request through an entry to a sidecar. Each of them checks its own set.
func (sim *simulation) send(f suspect.Fingerprint, entry, target int) {
	if sim.mode.oneCopy && sim.running(f) {
		return
	}
	status := sim.entries[entry].Status(sim.now, f)
	if status == suspect.StatusSuspect && !sim.mode.noOwner {
		target = sim.owner(f)
	}
	status = max(status, sim.sidecars[target].Status(sim.now, f))
	if status == suspect.StatusRefused {
		sim.refused[f] = true
		return
	}
	if sim.mode.noIsolation {
		status = suspect.StatusClean
	}
	sim.ids++
	id := fmt.Sprint(sim.ids)
	if !sim.isolation[target].Admit(id, f, status) {
		return
	}
	sim.requests = append(sim.requests, request{
		id:          id,
		fingerprint: f,
		target:      target,
		entry:       entry,
	})
}

func (sim *simulation) owner(f suspect.Fingerprint) int {
	var targets []waxwingpick.TargetID
	for i := range simulatedTargets {
		targets = append(targets, waxwingpick.TargetID(fmt.Sprint(i)))
	}
	owner, _ := suspect.Owner(f, targets)
	return int(owner[0] - '0')
}

func (sim *simulation) running(f suspect.Fingerprint) bool {
	for _, request := range sim.requests {
		if request.fingerprint == f {
			return true
		}
	}
	return false
}

// finish completes a harmless request. The poison request never completes.
func (sim *simulation) finish(i int) {
	if i >= len(sim.requests) || sim.requests[i].fingerprint == poison {
		return
	}
	f := sim.requests[i]
	sim.isolation[f.target].Release(f.id)
	sim.requests = append(sim.requests[:i:i], sim.requests[i+1:]...)
}

// crash makes a running poison request crash its target.
func (sim *simulation) crash(i int) {
	if i >= len(sim.requests) || sim.requests[i].fingerprint != poison {
		return
	}
	sim.crashes++
	target := sim.requests[i].target
	crash := suspect.Crash{
		ID: fmt.Sprint(sim.crashes),
		At: sim.now,
	}
	records := sim.sidecars[target].Crashed(sim.now, crash, sim.isolation[target].Crash())
	informed := map[int]bool{}
	var left []request
	for _, f := range sim.requests {
		if f.target != target {
			left = append(left, f)
			continue
		}
		informed[f.entry] = true
	}
	sim.requests = left
	sim.share(records, informed)
}

// share sends the records to the entries whose requests crashed, and to the others immediately or with a delay.
func (sim *simulation) share(records []suspect.Record, informed map[int]bool) {
	if sim.mode.noSharing {
		return
	}
	for i, entry := range sim.entries {
		if sim.mode.pushed || informed[i] {
			entry.Merge(sim.now, records)
			continue
		}
		sim.delayed = append(sim.delayed, delayedRecords{
			to:      entry,
			records: records,
		})
	}
	for _, sidecar := range sim.sidecars {
		if sim.mode.pushed {
			sidecar.Merge(sim.now, records)
			continue
		}
		sim.delayed = append(sim.delayed, delayedRecords{
			to:      sidecar,
			records: records,
		})
	}
}

// deliver delivers delayed records, in any order. They are kept to be delivered again.
func (sim *simulation) deliver(i int) {
	if i < len(sim.delayed) {
		sim.delayed[i].to.Merge(sim.now, sim.delayed[i].records)
	}
}

// check is the oracle. The poison request may crash targets at most crashLimit times. Harmless requests must not be
// refused if records are pushed and no suspect shows progress.
func (sim *simulation) check() error {
	if sim.crashes > crashLimit {
		return fmt.Errorf("one request crashed targets %d times", sim.crashes)
	}
	for f := range sim.refused {
		if f != poison && sim.mode.pushed && !sim.mode.showsProgress {
			return fmt.Errorf("harmless request %s is refused", f)
		}
	}
	return nil
}
