package legs_test

import (
	"time"

	"waxwingpick/core/legs"
)

// stepper is what the oracle checks: the machine or a naive variant.
type stepper interface {
	Start(now time.Time) []legs.Action
	Step(now time.Time, event legs.Event) []legs.Action
	Serving() bool
	Ended() bool
	WakeAt() time.Time
}

// retriesLostStart starts another generation when the start of one is lost.
type retriesLostStart struct {
	*legs.Machine
}

func (r retriesLostStart) Step(now time.Time, event legs.Event) []legs.Action {
	if failed, ok := event.(legs.Failed); ok {
		failed.Failure = legs.NotRun
		event = failed
	}
	return r.Machine.Step(now, event)
}

// ignoresLateResponses ignores responses that arrive after the request has continued without them.
type ignoresLateResponses struct {
	*legs.Machine
	newest legs.CallID
}

func (f *ignoresLateResponses) Start(now time.Time) []legs.Action {
	return f.note(f.Machine.Start(now))
}

func (f *ignoresLateResponses) Step(now time.Time, event legs.Event) []legs.Action {
	if imported, ok := event.(legs.Imported); ok && imported.Call != f.newest {
		return nil
	}
	return f.note(f.Machine.Step(now, event))
}

func (f *ignoresLateResponses) note(actions []legs.Action) []legs.Action {
	for _, a := range actions {
		if c, ok := pendingOf(a); ok {
			f.newest = c.id
		}
	}
	return actions
}

// freesEarly frees the cache on the prefill engine with its response, even if the decode engine still has to fetch it.
type freesEarly struct {
	*legs.Machine
}

func (e freesEarly) Step(now time.Time, event legs.Event) []legs.Action {
	actions := e.Machine.Step(now, event)
	for _, a := range actions {
		if c, ok := a.(legs.Import); ok {
			actions = append(actions, legs.Free{Target: "p", Name: c.HeldName})
		}
	}
	return actions
}
