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
	// worldEntries is the number of entries of a world, each of which may leave the list.
	worldEntries = 3
	worldRounds  = 400
	quietTime    = 15 * time.Second
)

// faults is the kind of faults that an episode draws from.
type faults int

const (
	noFaults faults = iota
	// ownerChanges come to every entry at once, so that one owner alone grants at any time.
	ownerChanges
	// lateLists reach each entry at another time.
	lateLists
	// brokenLinks are kills, pauses and cuts.
	brokenLinks
	allFaults
	faultKinds
)

// world is a fleet under faults, and the oracle over what one workspace is admitted.
type world struct {
	*quotafleet.Fleet
	list []waxwingpick.InstanceID
	// cut holds the entries whose answers are lost where true, whose asks are lost where false.
	cut map[*quotafleet.Entry]bool
	// greedy is a naive way: an owner grants to all who ask, whatever another one granted before.
	greedy bool
	// allowed integrates what may be admitted; least is the least difference to what was.
	allowed float64
	least   float64
}

func newWorld() *world {
	w := &world{
		Fleet: quotafleet.New(worldEntries, quota.NewLimit(8, 16)),
		cut:   make(map[*quotafleet.Entry]bool),
	}
	w.list = slices.Clone(w.Entries()[0].View())
	w.Lose(func(asker *quotafleet.Entry, answer bool) bool {
		lostAnswers, cut := w.cut[asker]
		return cut && lostAnswers == answer
	})
	return w
}

// drive takes rounds of requests, mails and faults, then lets the world become quiet.
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
		if kind >= brokenLinks && w.Mails() > 0 {
			w.Deliver(d(w.Mails()))
		}
		if kind < brokenLinks || d(3) > 0 {
			w.Settle()
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return w.quiet(d)
}

// pass lets time pass; the owners' rate, and what the entries give themselves, is allowed.
func (w *world) pass(d time.Duration) {
	w.Pass(d)
	perSecond := 0.0
	for _, e := range w.Entries() {
		if w.greedy {
			e.Owner().SetEntries(w.Now(), []waxwingpick.InstanceID{e.ID()})
		}
		even := w.Limit().PerSecond() / float64(len(e.View()))
		if !e.Alone() {
			even *= quota.SilentFraction
		}
		perSecond += even
		if e.Owns(studio, w.Limit()) {
			perSecond += w.Limit().PerSecond()
		}
	}
	w.allowed += perSecond * d.Seconds()
}

// check compares every window of time that ends now with the stated bound.
func (w *world) check() error {
	// What entries and owners hold at the start of a window: a base and one grant each, and a reserve.
	slack := worldEntries * (w.Limit().Base(1) + 2*w.Limit().Reserve())
	excess := float64(w.Admitted()) - w.allowed
	w.least = min(w.least, excess)
	if excess-w.least > slack {
		return fmt.Errorf("admitted %.0f more than allowed, %.0f are stated", excess-w.least, slack)
	}
	return nil
}

func (w *world) fault(d rapidtest.Draw, kind faults) {
	e := w.Entries()[d(worldEntries)]
	if kind == ownerChanges || kind == lateLists || kind == allFaults {
		w.changeList(d, e)
		if kind == ownerChanges {
			w.seeAll()
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
		w.Forget()
	}
}

// changeList takes an entry off the list, puts it back, or lets it take the list.
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
		w.See(e, w.list)
	}
}

func (w *world) seeAll() {
	for _, e := range w.Entries() {
		w.See(e, w.list)
	}
}

// quiet ends all faults, waits, and sends a little less than the rate, which has to be admitted.
func (w *world) quiet(d rapidtest.Draw) error {
	clear(w.cut)
	w.seeAll()
	w.settleFor(quietTime)
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
		w.Pass(quotafleet.Tick)
		w.Settle()
	}
}
