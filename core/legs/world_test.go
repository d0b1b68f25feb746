package legs_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/legs"
	"waxwingpick/internal/rapidtest"
)

// pending is a call between the machine and an engine.
type pending struct {
	id     legs.CallID
	target waxwingpick.TargetID
	action legs.Action
	// done says that the engine has carried the call out.
	done   bool
	handle string
}

func pendingOf(a legs.Action) (pending, bool) {
	switch c := a.(type) {
	case legs.Prefill:
		return pending{id: c.Call, target: c.Target, action: a}, true
	case legs.Import:
		return pending{id: c.Call, target: c.Target, action: a}, true
	case legs.Generate:
		return pending{id: c.Call, target: c.Target, action: a}, true
	case legs.Resume:
		return pending{id: c.Call, target: c.Target, action: a}, true
	}
	return pending{}, false
}

// world holds the engines' memory and is the oracle.
type world struct {
	now     time.Time
	by      time.Time
	within  time.Duration
	m       stepper
	last    legs.Event
	open    []pending
	held    map[waxwingpick.TargetID]map[string]bool
	taken   int
	handles int
	refused bool
	// direct says that the first engine keeps the cache for the second to fetch.
	direct bool
	// moved says that the request is past its legs.
	moved  bool
	left   bool
	faults int
	finish *legs.Finish
}

// What the oracle can find wrong.
var (
	errGeneratedTwice = eris.New("the answer is generated twice")
	errMemoryHeld     = eris.New("memory is still held")
	errFinishedTwice  = eris.New("finished twice")
	errNoEnd          = eris.New("neither served nor refused, or both")
	errRan            = eris.New("refused as not run, but it ran")
	errNoReason       = eris.New("refused without a reason")
	errLegsTooLong    = eris.New("legs take longer than one engine would")
	errNobodyAsked    = eris.New("refused without asking one engine")
	errFreedEarly     = eris.New("freed while the other engine fetches it")
)

func (w *world) do(actions []legs.Action) error {
	for _, a := range actions {
		if call, ok := pendingOf(a); ok {
			w.open = append(w.open, call)
			_, generation := a.(legs.Generate)
			w.moved = w.moved || generation
			continue
		}
		switch c := a.(type) {
		case legs.Free:
			delete(w.held[c.Target], c.Name)
		case legs.Finish:
			if w.finish != nil {
				return errFinishedTwice
			}
			w.finish = &c
			w.moved = true
		}
	}
	if w.fetching() && !w.moved && w.faults == 0 && len(w.held["p"]) == 0 {
		return errFreedEarly
	}
	return nil
}

// fetching reports whether the second engine is to fetch the cache.
func (w *world) fetching() bool {
	return slices.ContainsFunc(w.open, func(call pending) bool {
		return !call.done && referenceOf(call.action) != nil
	})
}

func referenceOf(a legs.Action) *waxwingpick.KVReference {
	call, _ := a.(legs.Import)
	return call.Export.Reference
}

// carryOut lets the engine take a call; accepted is false when it refuses.
func (w *world) carryOut(i int, accepted bool) error {
	call := &w.open[i]
	if call.done {
		return nil
	}
	if g, ok := call.action.(legs.Generate); ok && g.Handle != "" && !w.held[g.Target][g.Handle] {
		accepted = false
	}
	if r, ok := call.action.(legs.Resume); ok && !w.held[r.Target][r.StreamID] {
		accepted = false
	}
	if ref := referenceOf(call.action); ref != nil && !w.held["p"][ref.Name] {
		accepted = false
	}
	if !accepted {
		w.faults++
		return w.fail(i, legs.NotRun)
	}
	call.done = true
	switch a := call.action.(type) {
	case legs.Prefill:
		w.held[a.Target][a.StreamID] = true
	case legs.Import:
		w.handles++
		call.handle = fmt.Sprintf("h%d", w.handles)
		w.held[a.Target][call.handle] = true
	case legs.Generate:
		delete(w.held[a.Target], a.Handle)
		w.held[a.Target][a.StreamID] = true
		w.taken++
	}
	if w.taken > 1 {
		return errGeneratedTwice
	}
	return nil
}

func (w *world) answer(i int) error {
	call := w.open[i]
	if !call.done {
		return nil
	}
	var event legs.Event
	switch a := call.action.(type) {
	case legs.Prefill:
		event = legs.Prefilled{Call: call.id, Export: w.export(a.StreamID)}
	case legs.Import:
		event = legs.Imported{Call: call.id, Handle: call.handle}
	default:
		event = legs.Opened{Call: call.id}
	}
	w.drop(i)
	w.last = event
	return w.do(w.m.Step(w.now, event))
}

func (w *world) export(name string) waxwingpick.KVExport {
	if !w.direct {
		return waxwingpick.KVExport{}
	}
	return waxwingpick.KVExport{Reference: &waxwingpick.KVReference{Name: name}}
}

func (w *world) fail(i int, failure legs.Failure) error {
	call := w.open[i]
	if failure == legs.Lost {
		w.faults++
		// The adapter names the handle of an import and frees it by itself.
		delete(w.held[call.target], call.handle)
	}
	if _, ok := call.action.(legs.Generate); ok && failure == legs.NotRun {
		w.refused = true
	}
	w.drop(i)
	return w.do(w.m.Step(w.now, legs.Failed{Call: call.id, Failure: failure}))
}

func (w *world) drop(i int) {
	w.open = append(w.open[:i:i], w.open[i+1:]...)
}

// crash empties an engine; what was under way there is lost.
func (w *world) crash(target waxwingpick.TargetID) error {
	w.faults++
	w.held[target] = make(map[string]bool)
	for i := 0; i < len(w.open); {
		if w.open[i].target != target {
			i++
			continue
		}
		if err := w.fail(i, legs.Lost); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) pass(d time.Duration) error {
	w.now = w.now.Add(d)
	before := w.moved
	if err := w.do(w.m.Step(w.now, legs.Tick{})); err != nil {
		return err
	}
	if w.within > 0 && !w.moved && !w.now.Before(start.Add(w.within)) {
		return errLegsTooLong
	}
	// What the first engine does after the free is freed with its late answer.
	if len(w.held["p"]) > 0 && w.moved && !before {
		return fmt.Errorf("%w by a leg that took too long: %v", errMemoryHeld, w.held)
	}
	return nil
}

// settle answers or loses everything that is still open, and lets the time run out.
func (w *world) settle(draw rapidtest.Draw) error {
	for len(w.open) > 0 {
		i := draw(len(w.open))
		var err error
		switch {
		case w.open[i].done && draw(2) == 0:
			err = w.fail(i, legs.Lost)
		case w.open[i].done:
			err = w.answer(i)
		case w.m.WakeAt().After(w.now) && draw(4) == 0:
			err = w.pass(w.m.WakeAt().Sub(w.now))
		default:
			err = w.carryOut(i, true)
		}
		if err != nil {
			return err
		}
	}
	return w.check()
}

func (w *world) check() error {
	if w.m.Serving() == w.m.Ended() {
		return errNoEnd
	}
	if w.m.Ended() != (w.finish != nil) {
		return errNoEnd
	}
	held := 0
	for _, names := range w.held {
		held += len(names)
	}
	if held > 1 || held == 1 && !w.m.Serving() {
		return fmt.Errorf("%w: %v", errMemoryHeld, w.held)
	}
	if w.finish == nil {
		return nil
	}
	notRun := w.finish.Refusal.Outcome == waxwingpick.OutcomeNotRun
	if notRun && w.taken > 0 {
		return errRan
	}
	if w.faults == 0 && !w.left && w.now.Before(w.by) {
		return errNoReason
	}
	if notRun && !w.refused && !w.left && w.now.Before(w.by) {
		return errNobodyAsked
	}
	return nil
}

func (w *world) event(draw rapidtest.Draw) error {
	kind := draw(12)
	if kind == 0 {
		return w.crash([]waxwingpick.TargetID{"p", "d"}[draw(2)])
	}
	if kind == 1 && draw(4) == 0 {
		w.left = true
		return w.do(w.m.Step(w.now, legs.Abandoned{}))
	}
	if kind == 2 {
		return w.pass(time.Duration(draw(40)) * time.Second)
	}
	if kind == 3 && w.last != nil {
		// An answer that comes twice changes nothing.
		return w.do(w.m.Step(w.now, w.last))
	}
	if len(w.open) == 0 {
		return nil
	}
	i := draw(len(w.open))
	switch {
	case kind == 4:
		return w.fail(i, legs.Lost)
	case w.open[i].done:
		return w.answer(i)
	default:
		return w.carryOut(i, kind > 5)
	}
}
