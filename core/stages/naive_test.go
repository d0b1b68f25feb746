package stages_test

import (
	"time"

	"waxwingpick/core/stages"
)

// stepper is what the oracle checks: the machine or a naive variant.
type stepper interface {
	Start(now time.Time) []stages.Action
	Step(now time.Time, event stages.Event) []stages.Action
	Serving() bool
	Ended() bool
	WakeAt() time.Time
}

// retriesLostStart starts another generation when the start of one is lost.
type retriesLostStart struct {
	*stages.Machine
}

func (r retriesLostStart) Step(now time.Time, event stages.Event) []stages.Action {
	if failed, ok := event.(stages.Failed); ok {
		failed.Failure = stages.NotRun
		event = failed
	}
	return r.Machine.Step(now, event)
}

// ignoresLateResponses ignores responses that arrive after the request has continued without them.
type ignoresLateResponses struct {
	*stages.Machine
	newest stages.CallID
}

func (f *ignoresLateResponses) Start(now time.Time) []stages.Action {
	return f.note(f.Machine.Start(now))
}

func (f *ignoresLateResponses) Step(now time.Time, event stages.Event) []stages.Action {
	if imported, ok := event.(stages.Imported); ok && imported.Call != f.newest {
		return nil
	}
	return f.note(f.Machine.Step(now, event))
}

func (f *ignoresLateResponses) note(actions []stages.Action) []stages.Action {
	for _, a := range actions {
		if c, ok := pendingOf(a); ok {
			f.newest = c.id
		}
	}
	return actions
}

// freesEarly frees the cache on the prefill engine with its response, even if the decode engine still has to fetch it.
type freesEarly struct {
	*stages.Machine
}

func (e freesEarly) Step(now time.Time, event stages.Event) []stages.Action {
	actions := e.Machine.Step(now, event)
	for _, a := range actions {
		if c, ok := a.(stages.Import); ok {
			actions = append(actions, stages.Free{Target: "p", Name: c.HeldName})
		}
	}
	return actions
}
