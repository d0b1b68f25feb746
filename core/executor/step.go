package executor

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/kvcall"
)

// Kind is the kind of a Step.
type Kind uint8

// The kinds of steps.
const (
	// Wait requests nothing until Step.Until.
	Wait Kind = iota
	// KeyValue requests Step.Call.
	KeyValue
	// ReadEngine requests the engine's state.
	ReadEngine
	// Submit requests that Step.Order be sent to the engine within Step.Timeout.
	Submit
	// Drain requests that no more work be admitted. Its result states whether none is left.
	Drain
	// Undrain requests that work be admitted again.
	Undrain
)

// Step is the next operation that the executor's host has to perform.
type Step struct {
	Kind    Kind
	Until   time.Time
	Call    kvcall.Call
	Order   waxwingpick.EngineOrder
	Timeout time.Duration
	// SendBy is the latest time at which an order may be sent. A host that was paused until after it must not send the order.
	SendBy time.Time
}

// Result is the result of a Step. Only the fields of its kind are set.
type Result struct {
	KeyValue kvcall.Result
	Engine   waxwingpick.EngineState
	Drained  bool
	Err      error
}

// Status is the executor's view of its target.
type Status struct {
	// PlanRevision is the key's revision of the plan that was read, zero if none was.
	PlanRevision int64
	Desired      waxwingpick.EngineOrder
	Engine       waxwingpick.EngineState
	// EngineKnown means that the engine's state has been read at least once.
	EngineKnown bool
	// Settled means that the engine has executed the desired order, or that there is none.
	Settled  bool
	Draining bool
	Failure  error
}
