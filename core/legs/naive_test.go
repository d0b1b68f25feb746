package legs_test

import (
	"time"

	"waxwingpick/core/legs"
)

// stepper is what the oracle watches: the machine or a naive way.
type stepper interface {
	Start(now time.Time) []legs.Action
	Step(now time.Time, event legs.Event) []legs.Action
	Serving() bool
	Ended() bool
	WakeAt() time.Time
}

// retrying starts another generation when the start of one is lost.
type retrying struct {
	*legs.Machine
}

func (r retrying) Step(now time.Time, event legs.Event) []legs.Action {
	if failed, ok := event.(legs.Failed); ok {
		failed.Failure = legs.NotRun
		event = failed
	}
	return r.Machine.Step(now, event)
}

// forgetful takes no care of answers that come after the request moved on.
type forgetful struct {
	*legs.Machine
	newest legs.CallID
}

func (f *forgetful) Start(now time.Time) []legs.Action {
	return f.note(f.Machine.Start(now))
}

func (f *forgetful) Step(now time.Time, event legs.Event) []legs.Action {
	if imported, ok := event.(legs.Imported); ok && imported.Call != f.newest {
		return nil
	}
	return f.note(f.Machine.Step(now, event))
}

func (f *forgetful) note(actions []legs.Action) []legs.Action {
	for _, a := range actions {
		if c, ok := pendingOf(a); ok {
			f.newest = c.id
		}
	}
	return actions
}

// eager frees the first engine with its answer, even where the second has still to fetch.
type eager struct {
	*legs.Machine
}

func (e eager) Step(now time.Time, event legs.Event) []legs.Action {
	actions := e.Machine.Step(now, event)
	for _, a := range actions {
		if c, ok := a.(legs.Import); ok {
			actions = append(actions, legs.Free{Target: "p", Name: c.Held})
		}
	}
	return actions
}
