package stages

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

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	choice           Choice
	name             string
	deadline         time.Time
	fallbackDeadline time.Time
	stage            stage
	call             CallID
	calls            map[CallID]Action
	single           bool
}

// New returns a machine for the request of the named attempt with its deadline.
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
	if !m.choice.TwoStages() {
		return m.startSingle(now)
	}
	m.fallbackDeadline = m.choice.fallbackDeadline(now, m.deadline)
	m.stage = stagePrefill
	return []Action{m.issue(Prefill{
		Call:     m.nextCall(),
		Target:   m.choice.Prefill.Target,
		StreamID: m.streamID("prefill"),
	})}
}

// Serving reports whether an engine has accepted the generation. The host handles its stream from then on.
func (m *Machine) Serving() bool {
	return m.stage == stageServing
}

// Ended reports whether the request ended without a running generation.
func (m *Machine) Ended() bool {
	return m.stage == stageEnded
}

// WakeAt returns when the next Tick is due, or the zero time if none is.
func (m *Machine) WakeAt() time.Time {
	switch m.stage {
	case stagePrefill, stageImport:
		return m.fallbackDeadline
	case stageOpen:
		return m.deadline
	case stageNew, stageServing, stageEnded:
		return time.Time{}
	}
	return time.Time{}
}

// Step handles an event and returns the actions to perform.
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
		return m.giveUp(waxwingpick.ReasonDeadline, "the request was abandoned")
	}
	panic(fmt.Sprintf("unknown event %T", event))
}

func (m *Machine) prefilled(e Prefilled) []Action {
	call, ok := m.takeCall(e.Call).(Prefill)
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
		// The export holds the data, so the prefill engine need not keep the cache.
		return []Action{free, m.issue(next)}
	}
	next.Source = call.Target
	next.HeldName = call.StreamID
	return []Action{m.issue(next)}
}

func (m *Machine) imported(e Imported) []Action {
	call, ok := m.takeCall(e.Call).(Import)
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
	call := m.takeCall(e.Call)
	if call == nil {
		return nil
	}
	if !m.current(e.Call) {
		return cleanUp(call, Lost)
	}
	m.stage = stageServing
	return nil
}

func (m *Machine) failed(now time.Time, e Failed) []Action {
	call := m.takeCall(e.Call)
	if call == nil {
		return nil
	}
	if !m.current(e.Call) {
		return cleanUp(call, e.Failure)
	}
	switch c := call.(type) {
	case Generate:
		if e.Failure == Lost {
			// The generation may have run, so its stream is requested from the engine and no other generation is started.
			return []Action{m.issue(Resume{
				Call:     m.nextCall(),
				Target:   c.Target,
				StreamID: c.StreamID,
				Handle:   c.Handle,
			})}
		}
	case Resume:
		m.stage = stageEnded
		return append(cleanUp(call, Lost), finish(waxwingpick.Unknown(waxwingpick.ReasonTargetLost, "the generation was lost")))
	case Prefill, Import, Free, Finish:
	}
	actions := cleanUp(call, e.Failure)
	if m.single {
		m.stage = stageEnded
		return append(actions, finish(waxwingpick.NotRun(waxwingpick.ReasonTargetUnreachable, 0, "no engine accepted the request")))
	}
	return append(actions, m.startSingle(now)...)
}

func (m *Machine) tick(now time.Time) []Action {
	switch m.stage {
	case stagePrefill, stageImport:
		if now.Before(m.fallbackDeadline) {
			return nil
		}
		return append(m.abandon(), m.startSingle(now)...)
	case stageOpen:
		if now.Before(m.deadline) {
			return nil
		}
		return m.giveUp(waxwingpick.ReasonDeadline, "no engine accepted the request in time")
	case stageNew, stageServing, stageEnded:
	}
	return nil
}

// startSingle starts the request on one engine, or refuses it when the deadline has passed.
func (m *Machine) startSingle(now time.Time) []Action {
	m.single = true
	if !now.Before(m.deadline) {
		m.stage = stageEnded
		return []Action{finish(waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, "deadline reached before the request fell back to one engine"))}
	}
	return []Action{m.generate(m.choice.Single.Target, "")}
}

// giveUp ends the request. After a generation was requested, the outcome is unknown.
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

// abandon frees what the pending call may hold. Its late response frees the rest.
func (m *Machine) abandon() []Action {
	call := m.calls[m.call]
	// A response to the call is treated as late from now on.
	m.call++
	return cleanUp(call, Lost)
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

// takeCall removes and returns the call that a response belongs to, or nil if it was responded to before.
func (m *Machine) takeCall(id CallID) Action {
	call := m.calls[id]
	delete(m.calls, id)
	return call
}

// current reports whether the machine still waits for a response to the call.
func (m *Machine) current(id CallID) bool {
	return id == m.call && m.stage != stageEnded
}

func (m *Machine) streamID(part string) string {
	return m.name + "/" + part
}

// cleanUp frees what a failed call may have left on its engine.
func cleanUp(call Action, failure Failure) []Action {
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
		// The handle of a lost import is unknown here. The adapter frees it by the name that it has given the handle.
		return c.freeSource()
	case Free, Finish:
	}
	return nil
}

// freeSource frees the cache that the prefill engine holds for the decode engine to fetch.
func (c Import) freeSource() []Action {
	if c.HeldName == "" {
		return nil
	}
	return []Action{Free{
		Target: c.Source,
		Name:   c.HeldName,
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
