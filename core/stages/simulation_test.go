package stages_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/stages"
	"waxwingpick/internal/rapidtest"
)

// pendingCall is a call between the machine and an engine.
type pendingCall struct {
	id     stages.CallID
	target waxwingpick.TargetID
	action stages.Action
	// done means that the engine has executed the call.
	done   bool
	handle string
}

func pendingOf(a stages.Action) (pendingCall, bool) {
	switch c := a.(type) {
	case stages.Prefill:
		return pendingCall{id: c.Call, target: c.Target, action: a}, true
	case stages.Import:
		return pendingCall{id: c.Call, target: c.Target, action: a}, true
	case stages.Generate:
		return pendingCall{id: c.Call, target: c.Target, action: a}, true
	case stages.Resume:
		return pendingCall{id: c.Call, target: c.Target, action: a}, true
	}
	return pendingCall{}, false
}

// simulation holds the engines' memory and is the oracle.
type simulation struct {
	now          time.Time
	deadline     time.Time
	stageTimeout time.Duration
	m            stepper
	last         stages.Event
	pending      []pendingCall
	held         map[waxwingpick.TargetID]map[string]bool
	generations  int
	handles      int
	refused      bool
	// byReference means that the prefill engine keeps the cache for the decode engine to fetch.
	byReference bool
	// pastStages means that the request has left the prefill and transfer stages.
	pastStages bool
	abandoned  bool
	faults     int
	finish     *stages.Finish
}

// The violations that the oracle can find.
var (
	errGeneratedTwice = eris.New("the answer is generated twice")
	errMemoryHeld     = eris.New("memory is still held")
	errFinishedTwice  = eris.New("finished twice")
	errNoOutcome      = eris.New("neither served nor refused, or both")
	errRan            = eris.New("refused as not run, but it ran")
	errNoReason       = eris.New("refused without a reason")
	errStagesTooLong  = eris.New("stages take longer than one engine would")
	errNoEngineTried  = eris.New("refused without trying one engine")
	errFreedEarly     = eris.New("freed while the decode engine fetches it")
)

func (sim *simulation) do(actions []stages.Action) error {
	for _, a := range actions {
		if call, ok := pendingOf(a); ok {
			sim.pending = append(sim.pending, call)
			_, generation := a.(stages.Generate)
			sim.pastStages = sim.pastStages || generation
			continue
		}
		switch c := a.(type) {
		case stages.Free:
			delete(sim.held[c.Target], c.Name)
		case stages.Finish:
			if sim.finish != nil {
				return errFinishedTwice
			}
			sim.finish = &c
			sim.pastStages = true
		}
	}
	if sim.fetching() && !sim.pastStages && sim.faults == 0 && len(sim.held["p"]) == 0 {
		return errFreedEarly
	}
	return nil
}

// fetching reports whether the decode engine has to fetch the cache.
func (sim *simulation) fetching() bool {
	return slices.ContainsFunc(sim.pending, func(call pendingCall) bool {
		return !call.done && referenceOf(call.action) != nil
	})
}

func referenceOf(a stages.Action) *waxwingpick.KVReference {
	call, _ := a.(stages.Import)
	return call.Export.Reference
}

// execute makes the engine execute a call. accepted is false when the engine refuses it.
func (sim *simulation) execute(i int, accepted bool) error {
	call := &sim.pending[i]
	if call.done {
		return nil
	}
	if g, ok := call.action.(stages.Generate); ok && g.Handle != "" && !sim.held[g.Target][g.Handle] {
		accepted = false
	}
	if r, ok := call.action.(stages.Resume); ok && !sim.held[r.Target][r.StreamID] {
		accepted = false
	}
	if ref := referenceOf(call.action); ref != nil && !sim.held["p"][ref.Name] {
		accepted = false
	}
	if !accepted {
		sim.faults++
		return sim.fail(i, stages.NotRun)
	}
	call.done = true
	switch a := call.action.(type) {
	case stages.Prefill:
		sim.held[a.Target][a.StreamID] = true
	case stages.Import:
		sim.handles++
		call.handle = fmt.Sprintf("h%d", sim.handles)
		sim.held[a.Target][call.handle] = true
	case stages.Generate:
		delete(sim.held[a.Target], a.Handle)
		sim.held[a.Target][a.StreamID] = true
		sim.generations++
	}
	if sim.generations > 1 {
		return errGeneratedTwice
	}
	return nil
}

func (sim *simulation) answer(i int) error {
	call := sim.pending[i]
	if !call.done {
		return nil
	}
	var event stages.Event
	switch a := call.action.(type) {
	case stages.Prefill:
		event = stages.Prefilled{Call: call.id, Export: sim.export(a.StreamID)}
	case stages.Import:
		event = stages.Imported{Call: call.id, Handle: call.handle}
	default:
		event = stages.Opened{Call: call.id}
	}
	sim.drop(i)
	sim.last = event
	return sim.do(sim.m.Step(sim.now, event))
}

func (sim *simulation) export(name string) waxwingpick.KVExport {
	if !sim.byReference {
		return waxwingpick.KVExport{}
	}
	return waxwingpick.KVExport{Reference: &waxwingpick.KVReference{Name: name}}
}

func (sim *simulation) fail(i int, failure stages.Failure) error {
	call := sim.pending[i]
	if failure == stages.Lost {
		sim.faults++
		// The adapter knows the handle of an import and frees it.
		delete(sim.held[call.target], call.handle)
	}
	if _, ok := call.action.(stages.Generate); ok && failure == stages.NotRun {
		sim.refused = true
	}
	sim.drop(i)
	return sim.do(sim.m.Step(sim.now, stages.Failed{Call: call.id, Failure: failure}))
}

func (sim *simulation) drop(i int) {
	sim.pending = append(sim.pending[:i:i], sim.pending[i+1:]...)
}

// crash clears an engine's memory. Its pending calls are lost.
func (sim *simulation) crash(target waxwingpick.TargetID) error {
	sim.faults++
	sim.held[target] = make(map[string]bool)
	for i := 0; i < len(sim.pending); {
		if sim.pending[i].target != target {
			i++
			continue
		}
		if err := sim.fail(i, stages.Lost); err != nil {
			return err
		}
	}
	return nil
}

func (sim *simulation) pass(d time.Duration) error {
	sim.now = sim.now.Add(d)
	before := sim.pastStages
	if err := sim.do(sim.m.Step(sim.now, stages.Tick{})); err != nil {
		return err
	}
	if sim.stageTimeout > 0 && !sim.pastStages && !sim.now.Before(start.Add(sim.stageTimeout)) {
		return errStagesTooLong
	}
	// What the prefill engine does after the free is freed with its late response.
	if len(sim.held["p"]) > 0 && sim.pastStages && !before {
		return fmt.Errorf("%w by a stage that took too long: %v", errMemoryHeld, sim.held)
	}
	return nil
}

// settle responds to or loses every pending call, and lets the time pass.
func (sim *simulation) settle(draw rapidtest.Draw) error {
	for len(sim.pending) > 0 {
		i := draw(len(sim.pending))
		var err error
		switch {
		case sim.pending[i].done && draw(2) == 0:
			err = sim.fail(i, stages.Lost)
		case sim.pending[i].done:
			err = sim.answer(i)
		case sim.m.WakeAt().After(sim.now) && draw(4) == 0:
			err = sim.pass(sim.m.WakeAt().Sub(sim.now))
		default:
			err = sim.execute(i, true)
		}
		if err != nil {
			return err
		}
	}
	return sim.check()
}

func (sim *simulation) check() error {
	if sim.m.Serving() == sim.m.Ended() {
		return errNoOutcome
	}
	if sim.m.Ended() != (sim.finish != nil) {
		return errNoOutcome
	}
	held := 0
	for _, names := range sim.held {
		held += len(names)
	}
	if held > 1 || held == 1 && !sim.m.Serving() {
		return fmt.Errorf("%w: %v", errMemoryHeld, sim.held)
	}
	if sim.finish == nil {
		return nil
	}
	notRun := sim.finish.Refusal.Outcome == waxwingpick.OutcomeNotRun
	if notRun && sim.generations > 0 {
		return errRan
	}
	if sim.faults == 0 && !sim.abandoned && sim.now.Before(sim.deadline) {
		return errNoReason
	}
	if notRun && !sim.refused && !sim.abandoned && sim.now.Before(sim.deadline) {
		return errNoEngineTried
	}
	return nil
}

func (sim *simulation) event(draw rapidtest.Draw) error {
	kind := draw(12)
	if kind == 0 {
		return sim.crash([]waxwingpick.TargetID{"p", "d"}[draw(2)])
	}
	if kind == 1 && draw(4) == 0 {
		sim.abandoned = true
		return sim.do(sim.m.Step(sim.now, stages.Abandoned{}))
	}
	if kind == 2 {
		return sim.pass(time.Duration(draw(40)) * time.Second)
	}
	if kind == 3 && sim.last != nil {
		// A duplicate response changes nothing.
		return sim.do(sim.m.Step(sim.now, sim.last))
	}
	if len(sim.pending) == 0 {
		return nil
	}
	i := draw(len(sim.pending))
	switch {
	case kind == 4:
		return sim.fail(i, stages.Lost)
	case sim.pending[i].done:
		return sim.answer(i)
	default:
		return sim.execute(i, kind > 5)
	}
}
