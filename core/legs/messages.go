package legs

import "waxwingpick"

// CallID numbers the calls that a machine has asked for; an answer carries its call's.
type CallID int

// Action is one thing that the machine's host has to do.
type Action interface {
	action()
}

// Prefill asks to compute and export the request's KV cache.
type Prefill struct {
	Call     CallID
	Target   waxwingpick.TargetID
	StreamID string
}

// Import asks to import the KV cache on the decode engine.
type Import struct {
	Call   CallID
	Target waxwingpick.TargetID
	Export waxwingpick.KVExport
	// Source still holds the cache under the name Held until the import is answered; both are empty where the export holds
	// the data.
	Source waxwingpick.TargetID
	Held   string
}

// Generate asks to start the generation, from imported KV cache where Handle is set.
type Generate struct {
	Call     CallID
	Target   waxwingpick.TargetID
	StreamID string
	Handle   string
}

// Resume asks for the stream of a generation whose start was lost, from its first event.
type Resume struct {
	Call     CallID
	Target   waxwingpick.TargetID
	StreamID string
	Handle   string
}

// Free asks to cancel a stream or handle, so that its memory is freed; it has no answer.
type Free struct {
	Target waxwingpick.TargetID
	Name   string
}

// Finish ends the request without a running generation.
type Finish struct {
	Refusal *waxwingpick.Refusal
}

func (Prefill) action()  {}
func (Import) action()   {}
func (Generate) action() {}
func (Resume) action()   {}
func (Free) action()     {}
func (Finish) action()   {}

// Event is one thing that happened.
type Event interface {
	event()
}

// Prefilled answers Prefill with the exported KV cache.
type Prefilled struct {
	Call   CallID
	Export waxwingpick.KVExport
}

// Imported answers Import with the handle.
type Imported struct {
	Call   CallID
	Handle string
}

// Opened answers Generate or Resume: the engine has taken the request.
type Opened struct {
	Call CallID
}

// Failed answers any call.
type Failed struct {
	Call    CallID
	Failure Failure
}

// Tick says that time has passed.
type Tick struct{}

// Abandoned says that the caller has left or that the request was given up.
type Abandoned struct{}

func (Prefilled) event() {}
func (Imported) event()  {}
func (Opened) event()    {}
func (Failed) event()    {}
func (Tick) event()      {}
func (Abandoned) event() {}

// Failure tells what is known about a failed call.
type Failure uint8

// The failures of a call.
const (
	// NotRun means that the engine was not reached or refused the call.
	NotRun Failure = iota
	// Lost means that the call may have taken effect, as after a crash.
	Lost
)
