package waxwingpick

import "time"

// RequestID identifies a caller's request across all its attempts.
type RequestID string

// Action is the kind of a decision on a request.
type Action string

// The kinds of decisions on a request.
const (
	// ActionAccept classifies a request and sets its deadline, or rejects it before a target is chosen.
	ActionAccept Action = "accept"
	// ActionChoose selects a target for an attempt.
	ActionChoose Action = "choose"
	// ActionAttempt records the end of an attempt.
	ActionAttempt Action = "attempt"
	// ActionRetry decides whether to make another attempt.
	ActionRetry Action = "retry"
	// ActionResume continues a stream after a broken connection.
	ActionResume Action = "resume"
	// ActionAdmit admits an attempt at a target or rejects it.
	ActionAdmit Action = "admit"
	// ActionRun records the end of an execution at a target.
	ActionRun Action = "run"
	// ActionRespond records the response to the caller.
	ActionRespond Action = "answer"
)

// Decision is one decision on a request, with the inputs that led to it.
type Decision struct {
	// At is the time of the decision.
	At      time.Time
	Action  Action
	Outcome string
	Inputs  []Input
}

// Input is a named value that a decision depends on, such as an age, a version or a duration.
type Input struct {
	Name  string
	Value any
}

// Of returns a decision without inputs.
func (a Action) Of(at time.Time, outcome string, inputs ...Input) Decision {
	return Decision{
		At:      at,
		Action:  a,
		Outcome: outcome,
		Inputs:  inputs,
	}
}

// In returns an input.
func In(name string, value any) Input {
	return Input{
		Name:  name,
		Value: value,
	}
}

// InMillis returns a duration or an age as an input, in milliseconds.
func InMillis(name string, d time.Duration) Input {
	return In(name+"Millis", d.Milliseconds())
}

// RefusalInputs returns the fields of a refusal as inputs, and nil if r is nil.
func RefusalInputs(r *Refusal) []Input {
	if r == nil {
		return nil
	}
	inputs := []Input{In("outcome", r.Outcome), In("reason", r.Reason)}
	if r.RetryAfter > 0 {
		inputs = append(inputs, InMillis("retryAfter", r.RetryAfter))
	}
	if r.Detail != "" {
		inputs = append(inputs, In("detail", r.Detail))
	}
	return inputs
}

// LogClass is a class of log lines. Under load, routine lines are dropped first.
type LogClass uint8

// The classes of log lines.
const (
	// LogClassKept holds failures and changes of the process's state.
	LogClassKept LogClass = iota
	// LogClassRoutine holds the decisions on successful requests.
	LogClassRoutine
)

// String returns the name used in logs and metrics.
func (l LogClass) String() string {
	switch l {
	case LogClassKept:
		return "kept"
	case LogClassRoutine:
		return "routine"
	}
	return "unknown"
}

// Decisions lists the decisions of one process on one request in chronological order.
type Decisions struct {
	LogClass LogClass
	Instance InstanceID
	Request  RequestID
	List     []Decision
	// Omitted is the number of decisions dropped because the list was full.
	Omitted int
}

// DecisionLog records decisions for operators. Write never blocks.
type DecisionLog interface {
	Write(d Decisions)
}
