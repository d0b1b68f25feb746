package stages

import "waxwingpick"

// CallID is the number of a call that a machine has requested. The response has the same number.
type CallID int

// Action is an operation that the machine's host has to perform.
type Action interface {
	action()
}

// Prefill is the call that computes and exports the request's KV cache.
type Prefill struct {
	Call     CallID
	Target   waxwingpick.TargetID
	StreamID string
}

// Import is the call that imports the KV cache on the decode engine.
type Import struct {
	Call   CallID
	Target waxwingpick.TargetID
	Export waxwingpick.KVExport
	// Source holds the cache under the name Held until the response to the import. Both are empty if the export holds the
	// data.
	Source   waxwingpick.TargetID
	HeldName string
}

// Generate is the call that starts the generation, from imported KV cache if Handle is set.
type Generate struct {
	Call     CallID
	Target   waxwingpick.TargetID
	StreamID string
	Handle   string
}

// Resume is the call that requests the stream of a generation, from its first event, after the response to Generate was
// lost.
type Resume struct {
	Call     CallID
	Target   waxwingpick.TargetID
	StreamID string
	Handle   string
}

// Free is the call that cancels a stream or handle, so that its memory is freed. It has no response.
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

// Event is an input of the machine.
type Event interface {
	event()
}

// Prefilled is the response to Prefill, with the exported KV cache.
type Prefilled struct {
	Call   CallID
	Export waxwingpick.KVExport
}

// Imported is the response to Import, with the handle.
type Imported struct {
	Call   CallID
	Handle string
}

// Opened is the response to Generate or Resume: the engine has accepted the request.
type Opened struct {
	Call CallID
}

// Failed reports the failure of any call.
type Failed struct {
	Call    CallID
	Failure Failure
}

// Tick reports that time has passed.
type Tick struct{}

// Abandoned reports that the caller has disconnected or that the request was given up.
type Abandoned struct{}

func (Prefilled) event() {}
func (Imported) event()  {}
func (Opened) event()    {}
func (Failed) event()    {}
func (Tick) event()      {}
func (Abandoned) event() {}

// Failure is the kind of a call's failure.
type Failure uint8

// The failures of a call.
const (
	// NotRun means that the engine was not reached or refused the call.
	NotRun Failure = iota
	// Lost means that the call may have taken effect, as after a crash.
	Lost
)
