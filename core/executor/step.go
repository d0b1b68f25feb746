package executor

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/kvcall"
)

// Kind tells what a Step asks for.
type Kind uint8

// The kinds of steps.
const (
	// Wait asks for nothing until Step.Until.
	Wait Kind = iota
	// KeyValue asks for Step.Call.
	KeyValue
	// ReadEngine asks for the engine's state.
	ReadEngine
	// Submit asks to give Step.Order to the engine, within Step.Timeout.
	Submit
	// Drain asks to admit no more work, and whether none is left.
	Drain
	// Undrain asks to admit work again.
	Undrain
)

// Step is what the executor asks its host to do next.
type Step struct {
	Kind    Kind
	Until   time.Time
	Call    kvcall.Call
	Order   waxwingpick.EngineOrder
	Timeout time.Duration
	// SendBy is when an order may be sent at the latest; a host that was paused until after it must not send it.
	SendBy time.Time
}

// Result is what came of a Step; only the fields of its kind are set.
type Result struct {
	KeyValue kvcall.Result
	Engine   waxwingpick.EngineState
	Drained  bool
	Err      error
}

// Status is what the executor knows about its target.
type Status struct {
	// PlanRevision is the key's revision of the plan that was read back; zero where none was.
	PlanRevision int64
	Wanted       waxwingpick.EngineOrder
	Engine       waxwingpick.EngineState
	// EngineKnown says that the engine's state was read at least once.
	EngineKnown bool
	// Settled says that the engine has done the wanted order, or that none is wanted.
	Settled  bool
	Draining bool
	Failure  error
}
