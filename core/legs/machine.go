package legs

import (
	"fmt"
	"time"

	"waxwingpick"
)

type stage uint8

const (
	stageNew stage = iota
	stagePrefill
	stageImport
	stageOpen
	stageServing
	stageEnded
)

// Machine runs one request; it is not safe for concurrent use.
type Machine struct {
	choice     Choice
	name       string
	deadline   time.Time
	fallBackBy time.Time
	stage      stage
	call       CallID
	calls      map[CallID]Action
	single     bool
}

// New returns a machine for the request with the attempt's name and its deadline.
func New(choice Choice, name string, deadline time.Time) *Machine {
	return &Machine{
		choice:   choice,
		name:     name,
		deadline: deadline,
		calls:    make(map[CallID]Action),
	}
}

// Start returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	if m.stage != stageNew {
		return nil
	}
	if !m.choice.TwoLegs() {
		return m.one(now)
	}
	m.fallBackBy = m.choice.fallBackBy(now, m.deadline)
	m.stage = stagePrefill
	return []Action{m.issue(Prefill{
		Call:     m.nextCall(),
		Target:   m.choice.Prefill.Target,
		StreamID: m.streamID("prefill"),
	})}
}

// Serving reports whether the generation has been taken by an engine; its stream is the host's from then on.
func (m *Machine) Serving() bool {
	return m.stage == stageServing
}

// Ended reports whether the request ended without a running generation.
func (m *Machine) Ended() bool {
	return m.stage == stageEnded
}

// WakeAt returns when the next Tick is due; zero when none is.
func (m *Machine) WakeAt() time.Time {
	switch m.stage {
	case stagePrefill, stageImport:
		return m.fallBackBy
	case stageOpen:
		return m.deadline
	case stageNew, stageServing, stageEnded:
		return time.Time{}
	}
	return time.Time{}
}

// Step takes an event and returns what has to be done.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Prefilled:
		return m.prefilled(e)
	case Imported:
		return m.imported(e)
	case Opened:
		return m.opened(e)
	case Failed:
		return m.failed(now, e)
	case Tick:
		return m.tick(now)
	case Abandoned:
		return m.giveUp(waxwingpick.ReasonDeadline, "the request was given up")
	}
	panic(fmt.Sprintf("unknown event %T", event))
}

func (m *Machine) prefilled(e Prefilled) []Action {
	call, ok := m.answered(e.Call).(Prefill)
	if !ok {
		return nil
	}
	free := Free{
		Target: call.Target,
		Name:   call.StreamID,
	}
	if !m.current(e.Call) {
		return []Action{free}
	}
	m.stage = stageImport
	next := Import{
		Call:   m.nextCall(),
		Target: m.choice.Decode.Target,
		Export: e.Export,
	}
	if e.Export.Reference == nil {
		// The data is in hand, so the first engine needs to hold nothing.
		return []Action{free, m.issue(next)}
	}
	next.Source = call.Target
	next.Held = call.StreamID
	return []Action{m.issue(next)}
}

func (m *Machine) imported(e Imported) []Action {
	call, ok := m.answered(e.Call).(Import)
	if !ok {
		return nil
	}
	if !m.current(e.Call) {
		return append(call.freeSource(), Free{
			Target: call.Target,
			Name:   e.Handle,
		})
	}
	return append(call.freeSource(), m.generate(call.Target, e.Handle))
}

func (m *Machine) opened(e Opened) []Action {
	call := m.answered(e.Call)
	if call == nil {
		return nil
	}
	if !m.current(e.Call) {
		return remains(call, Lost)
	}
	m.stage = stageServing
	return nil
}

func (m *Machine) failed(now time.Time, e Failed) []Action {
	call := m.answered(e.Call)
	if call == nil {
		return nil
	}
	if !m.current(e.Call) {
		return remains(call, e.Failure)
	}
	switch c := call.(type) {
	case Generate:
		if e.Failure == Lost {
			// The generation may have run, so the engine is asked for its stream and no other is started.
			return []Action{m.issue(Resume{
				Call:     m.nextCall(),
				Target:   c.Target,
				StreamID: c.StreamID,
				Handle:   c.Handle,
			})}
		}
	case Resume:
		m.stage = stageEnded
		return append(remains(call, Lost), finish(waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "the generation was lost")))
	case Prefill, Import, Free, Finish:
	}
	actions := remains(call, e.Failure)
	if m.single {
		m.stage = stageEnded
		return append(actions, finish(waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, 0, "no engine took the request")))
	}
	return append(actions, m.one(now)...)
}

func (m *Machine) tick(now time.Time) []Action {
	switch m.stage {
	case stagePrefill, stageImport:
		if now.Before(m.fallBackBy) {
			return nil
		}
		return append(m.abandon(), m.one(now)...)
	case stageOpen:
		if now.Before(m.deadline) {
			return nil
		}
		return m.giveUp(waxwingpick.ReasonDeadline, "no engine took the request in time")
	case stageNew, stageServing, stageEnded:
	}
	return nil
}

// one starts the request on one engine, or refuses it when there is no time left.
func (m *Machine) one(now time.Time) []Action {
	m.single = true
	if !now.Before(m.deadline) {
		m.stage = stageEnded
		return []Action{finish(waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, "no time is left for one engine"))}
	}
	return []Action{m.generate(m.choice.Single.Target, "")}
}

// giveUp ends the request; whether it ran is open once a generation was asked for.
func (m *Machine) giveUp(reason waxwingpick.Reason, detail string) []Action {
	switch m.stage {
	case stageServing, stageEnded:
		return nil
	case stageOpen:
		actions := m.abandon()
		m.stage = stageEnded
		return append(actions, finish(waxwingpick.Unknown(reason, detail)))
	case stageNew, stagePrefill, stageImport:
	}
	actions := m.abandon()
	m.stage = stageEnded
	return append(actions, finish(waxwingpick.NotRun(reason, 0, detail)))
}

// abandon frees what the open call may hold; its late answer frees the rest.
func (m *Machine) abandon() []Action {
	call := m.calls[m.call]
	// No answer to the call is current from now on.
	m.call++
	return remains(call, Lost)
}

func (m *Machine) generate(target waxwingpick.TargetID, handle string) Action {
	m.stage = stageOpen
	call := m.nextCall()
	return m.issue(Generate{
		Call:     call,
		Target:   target,
		StreamID: m.name,
		Handle:   handle,
	})
}

func (m *Machine) nextCall() CallID {
	m.call++
	return m.call
}

func (m *Machine) issue(a Action) Action {
	m.calls[m.call] = a
	return a
}

// answered takes the call that an answer belongs to; nil when it was answered before.
func (m *Machine) answered(id CallID) Action {
	call := m.calls[id]
	delete(m.calls, id)
	return call
}

// current reports whether the machine still waits for the call.
func (m *Machine) current(id CallID) bool {
	return id == m.call && m.stage != stageEnded
}

func (m *Machine) streamID(part string) string {
	return m.name + "/" + part
}

// remains frees what a failed call can have left on its engine.
func remains(call Action, failure Failure) []Action {
	switch c := call.(type) {
	case Prefill:
		if failure == Lost {
			return []Action{Free{
				Target: c.Target,
				Name:   c.StreamID,
			}}
		}
	case Generate:
		if failure == Lost {
			return freeGeneration(c.Target, c.StreamID, c.Handle)
		}
		if c.Handle != "" {
			return []Action{Free{
				Target: c.Target,
				Name:   c.Handle,
			}}
		}
	case Resume:
		return freeGeneration(c.Target, c.StreamID, c.Handle)
	case Import:
		// The handle of a lost import is not known; the adapter frees it by its own name for it.
		return c.freeSource()
	case Free, Finish:
	}
	return nil
}

// freeSource frees what the first engine holds for the second to fetch.
func (c Import) freeSource() []Action {
	if c.Held == "" {
		return nil
	}
	return []Action{Free{
		Target: c.Source,
		Name:   c.Held,
	}}
}

func freeGeneration(target waxwingpick.TargetID, streamID, handle string) []Action {
	actions := []Action{Free{
		Target: target,
		Name:   streamID,
	}}
	if handle == "" {
		return actions
	}
	return append(actions, Free{
		Target: target,
		Name:   handle,
	})
}

func finish(refusal *waxwingpick.Refusal) Action {
	return Finish{
		Refusal: refusal,
	}
}
