package waxwingpick

import (
	"fmt"
	"time"
)

// Outcome tells a caller whether a failed request ran.
type Outcome string

// The outcomes of a failed request.
const (
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonOverload          Reason = "overload"
	ReasonLeaving           Reason = "leaving"
	ReasonDeadline          Reason = "deadline"
	ReasonRateLimit         Reason = "rateLimit"
	ReasonCrashSuspect      Reason = "crashSuspect"
	ReasonKeyValue          Reason = "keyValueUnavailable"
	ReasonStaleIncarnation  Reason = "staleIncarnation"
	ReasonBarred            Reason = "barred"
	ReasonWrongModel        Reason = "wrongModel"
	ReasonNoTarget          Reason = "noTarget"
	ReasonTargetUnreachable Reason = "targetUnreachable"
	ReasonTargetLost        Reason = "targetLost"
	ReasonKeyReuse          Reason = "idempotencyKeyReuse"
	ReasonKeyExpired        Reason = "idempotencyKeyExpired"
	ReasonStopping          Reason = "stopping"
	ReasonNotReady          Reason = "notReady"
	ReasonHeaders           Reason = "headersTooLarge"
)

// Refusal is the typed error of a request that was given up.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	// RetryAfter is when a new try makes sense; zero where none does.
	RetryAfter time.Duration `json:"retryAfter"`
	Detail     string        `json:"detail,omitempty"`
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// NotRun returns a refusal of a request that did not run.
func NotRun(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{
		Outcome:    OutcomeNotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
		Detail:     detail,
	}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{
		Outcome: OutcomeUnknown,
		Reason:  reason,
		Detail:  detail,
	}
}
