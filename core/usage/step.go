package usage

import (
	"maps"
	"slices"
)

// The reasons for which windows are given up.
const (
	reasonStart       = "ended before this process started or the store's era began"
	reasonEra         = "the store's era changed"
	reasonNoCounts    = "no counts were received"
	reasonNotSettled  = "not settled by the due time"
	reasonNotAccepted = "not accepted by the due time"
	reasonConflict    = "two bodies are settled"
)

// StepKind is what to do next.
type StepKind uint8

// The kinds of steps.
const (
	// StepSettle writes the body to the settled record.
	StepSettle StepKind = iota
	// StepSend sends the body.
	StepSend
	// StepGiveUp only reports that the window is missed.
	StepGiveUp
)

// String returns the name used in logs.
func (k StepKind) String() string {
	switch k {
	case StepSettle:
		return "settle"
	case StepSend:
		return "send"
	case StepGiveUp:
		return "give up"
	}
	return "unknown"
}

// Step is what the holder does next.
type Step struct {
	Kind   StepKind
	Window Window
	// Body is the report to settle or send.
	Body []byte
	// Reason is why the window is given up.
	Reason string
}

// SendOutcome is the outcome of a call.
type SendOutcome uint8

// The outcomes of a call.
const (
	SendAccepted SendOutcome = iota
	// SendRefused means that a higher token was seen.
	SendRefused
	SendThrottled
	// SendUnknown means that there was no response. The call may still be executed.
	SendUnknown
)

// String returns the name used in logs and metrics.
func (o SendOutcome) String() string {
	switch o {
	case SendAccepted:
		return "accepted"
	case SendRefused:
		return "refused"
	case SendThrottled:
		return "throttled"
	case SendUnknown:
		return "unknown"
	}
	return "invalid"
}

// State is the state of a window.
type State uint8

// The states of a window.
const (
	StateOpen State = iota
	StateSettled
	StateAccepted
	StateGivenUp
)

// String returns the name used in logs and metrics.
func (s State) String() string {
	switch s {
	case StateOpen:
		return "open"
	case StateSettled:
		return "settled"
	case StateAccepted:
		return "accepted"
	case StateGivenUp:
		return "given up"
	}
	return "unknown"
}

// WindowStatus describes a window for logs and metrics.
type WindowStatus struct {
	Window Window
	State  State
	// Reason is why the window was given up.
	Reason     string
	Total      int64
	Workspaces int
	Zones      int
	// Gateways is the number of complete instances.
	Gateways int
}

// Status returns the windows that are known, oldest first.
func (r *Reports) Status() []WindowStatus {
	var statuses []WindowStatus
	for _, n := range slices.Sorted(maps.Keys(r.windows)) {
		w := r.windows[n]
		counts := w.counts()
		statuses = append(statuses, WindowStatus{
			Window:     n,
			State:      w.state,
			Reason:     w.reason,
			Total:      counts.Total(),
			Workspaces: len(counts),
			Zones:      len(w.zones),
			Gateways:   w.gateways(),
		})
	}
	return statuses
}
