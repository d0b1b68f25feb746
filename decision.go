package waxwingpick

import "time"

// RequestID names one request of a caller through all its attempts.
type RequestID string

// Action says what was decided about a request.
type Action string

// The decisions that touch a request.
const (
	// ActionAccept classifies a request and sets its deadline, or refuses it before a target is chosen.
	ActionAccept Action = "accept"
	// ActionChoose picks a target for an attempt.
	ActionChoose Action = "choose"
	// ActionAttempt takes the end of an attempt.
	ActionAttempt Action = "attempt"
	// ActionRetry decides on a new attempt.
	ActionRetry Action = "retry"
	// ActionResume goes on with a stream after a broken connection.
	ActionResume Action = "resume"
	// ActionAdmit lets an attempt run at a target, or refuses it.
	ActionAdmit Action = "admit"
	// ActionRun takes the end of what ran at a target.
	ActionRun Action = "run"
	// ActionAnswer ends the request towards its caller.
	ActionAnswer Action = "answer"
)

// Decision is one decision that touches a request, with what it rests on.
type Decision struct {
	// At is when it was made.
	At      time.Time
	Action  Action
	Outcome string
	Inputs  []Input
}

// Input is one named value that a decision rests on; ages, versions and durations are values of their own.
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

// RefusalInputs returns what a refusal says as inputs; none for nil.
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

// Lane is a class of log lines; under pressure the routine ones are dropped first.
type Lane uint8

// The lanes of log lines.
const (
	// LaneKept holds failures and changes of what a process believes.
	LaneKept Lane = iota
	// LaneRoutine holds the decisions on requests that went well.
	LaneRoutine
)

// String returns the lane's name for logs and metrics.
func (l Lane) String() string {
	switch l {
	case LaneKept:
		return "kept"
	case LaneRoutine:
		return "routine"
	}
	return "unknown"
}

// Decisions are the decisions of one process on one request, in their order.
type Decisions struct {
	Lane     Lane
	Instance InstanceID
	Request  RequestID
	List     []Decision
	// Omitted counts the decisions that were too many to keep.
	Omitted int
}

// DecisionLog keeps decisions for operators; Write never blocks.
type DecisionLog interface {
	Write(d Decisions)
}
