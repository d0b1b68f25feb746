package quota_test

import (
	"fmt"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/quota"
	"waxwingpick/internal/quotafleet"
	"waxwingpick/internal/rapidtest"
)

const (
	studio = waxwingpick.WorkspaceID("studio-1")
	// worldEntries is the number of entries in a simulation, each of which may be removed from the list.
	worldEntries = 3
	worldRounds  = 400
	recoveryTime = 15 * time.Second
)

// faults is the set of faults that may occur in an episode.
type faults int

const (
	noFaults faults = iota
	// ownerChanges reach all entries at the same time, so that only one owner grants at any time.
	ownerChanges
	// lateLists reach each entry at a different time.
	lateLists
	// brokenLinks are kills, pauses and lost messages.
	brokenLinks
	allFaults
	faultKinds
)

// world is a fleet with injected faults, and the oracle for the number of requests admitted for one workspace.
type world struct {
	*quotafleet.Fleet
	list []waxwingpick.InstanceID
	// cut holds the entries that lose messages: responses if the value is true, token requests if it is false.
	cut map[*quotafleet.Entry]bool
	// greedy simulates a faulty owner that grants every token request regardless of what other owners granted before.
	greedy bool
	// allowed is the integral of the permitted rate. minExcess is the minimum so far of admitted requests less allowed.
	allowed   float64
	minExcess float64
}

func newWorld() *world {
	w := &world{
		Fleet: quotafleet.New(worldEntries, quota.NewLimit(8, 16)),
		cut:   make(map[*quotafleet.Entry]bool),
	}
	w.list = slices.Clone(w.Entries()[0].View())
	w.SetLoss(func(requester *quotafleet.Entry, response bool) bool {
		lostResponses, cut := w.cut[requester]
		return cut && lostResponses == response
	})
	return w
}

// drive runs rounds of requests, message deliveries and faults, then checks the fleet without faults.
func (w *world) drive(d rapidtest.Draw) error {
	kind := faults(d(int(faultKinds)))
	for range worldRounds {
		w.pass(time.Duration(1+d(40)) * quotafleet.Tick)
		w.fault(d, kind)
		for _, e := range w.Entries() {
			for range d(6) {
				w.Request(e, studio)
			}
		}
		if kind >= brokenLinks && w.InFlight() > 0 {
			w.Deliver(d(w.InFlight()))
		}
		if kind < brokenLinks || d(3) > 0 {
			w.Settle()
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return w.checkWithoutFaults(d)
}

// pass advances the time and adds the owners' rates and the entries' local parts to the allowed requests.
func (w *world) pass(d time.Duration) {
	w.Advance(d)
	perSecond := 0.0
	for _, e := range w.Entries() {
		if w.greedy {
			e.Owner().SetEntries(w.Now(), []waxwingpick.InstanceID{e.ID()})
		}
		even := w.Limit().PerSecond() / float64(len(e.View()))
		if !e.LastRequestFailed() {
			even *= quota.UnreportedFraction
		}
		perSecond += even
		if e.Owns(studio, w.Limit()) {
			perSecond += w.Limit().PerSecond()
		}
	}
	w.allowed += perSecond * d.Seconds()
}

// check compares the admitted requests in every window that ends now with the bound.
func (w *world) check() error {
	// At the start of a window each entry may hold a base and a grant, and each owner a reserve.
	slack := worldEntries * (w.Limit().Base(1) + 2*w.Limit().Reserve())
	excess := float64(w.Admitted()) - w.allowed
	w.minExcess = min(w.minExcess, excess)
	if excess-w.minExcess > slack {
		return fmt.Errorf("admitted %.0f more than allowed, the bound is %.0f", excess-w.minExcess, slack)
	}
	return nil
}

func (w *world) fault(d rapidtest.Draw, kind faults) {
	e := w.Entries()[d(worldEntries)]
	if kind == ownerChanges || kind == lateLists || kind == allFaults {
		w.changeList(d, e)
		if kind == ownerChanges {
			w.sendListToAll()
		}
	}
	if kind < brokenLinks {
		return
	}
	switch d(20) {
	case 0:
		w.Restart(e, w.list)
		w.allowed += w.Limit().Base(1)
	case 1:
		w.pass(time.Duration(d(20)) * time.Second)
	case 2, 3:
		w.cut[e] = d(2) == 0
	case 4, 5:
		clear(w.cut)
	case 6:
		w.DropMessages()
	}
}

// changeList removes an entry from the list, adds it again, or sends it the current list.
func (w *world) changeList(d rapidtest.Draw, e *quotafleet.Entry) {
	switch d(4) {
	case 0:
		if len(w.list) > 1 {
			w.list = slices.DeleteFunc(w.list, func(id waxwingpick.InstanceID) bool {
				return id == e.ID()
			})
		}
	case 1:
		if !slices.Contains(w.list, e.ID()) {
			w.list = append(w.list, e.ID())
		}
	case 2:
		w.SetList(e, w.list)
	}
}

func (w *world) sendListToAll() {
	for _, e := range w.Entries() {
		w.SetList(e, w.list)
	}
}

// checkWithoutFaults ends all faults, waits, and sends requests slightly below the rate. All of them must be admitted.
func (w *world) checkWithoutFaults(d rapidtest.Draw) error {
	clear(w.cut)
	w.sendListToAll()
	w.settleFor(recoveryTime)
	w.ResetCounts()
	pair := time.Duration(float64(2*time.Second) / (0.8 * w.Limit().PerSecond()))
	e := w.Entries()[d(worldEntries)]
	for i := range 60 {
		w.settleFor(pair)
		if i%10 == 0 {
			e = w.Entries()[d(worldEntries)]
		}
		w.Request(e, studio)
		w.Request(e, studio)
	}
	if w.Refused() > 0 {
		return fmt.Errorf("%d requests refused below the rate", w.Refused())
	}
	return nil
}

func (w *world) settleFor(d time.Duration) {
	w.Settle()
	for range d / quotafleet.Tick {
		w.Advance(quotafleet.Tick)
		w.Settle()
	}
}
