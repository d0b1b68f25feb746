package waxwingpick

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a failed request ran.
type Outcome string

// The outcomes of a failed request.
const (
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// PromisesNotRun reports whether an HTTP status tells a caller that its request has not run and will not run. It is no statement of
// the target that sends it.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Reason is the cause of a refusal.
type Reason string

// The causes of refusals.
const (
	ReasonOverload          Reason = "overload"
	ReasonLeaving           Reason = "leaving"
	ReasonDeadline          Reason = "deadline"
	ReasonRateLimit         Reason = "rateLimit"
	ReasonCrashSuspect      Reason = "crashSuspect"
	ReasonKeyValue          Reason = "keyValueUnavailable"
	ReasonStaleIncarnation  Reason = "staleIncarnation"
	ReasonFenced            Reason = "barred"
	ReasonWrongModel        Reason = "wrongModel"
	ReasonNoTarget          Reason = "noTarget"
	ReasonTargetUnreachable Reason = "targetUnreachable"
	ReasonTargetLost        Reason = "targetLost"
	ReasonUnstatedRefusal   Reason = "unstatedRefusal"
	ReasonKeyReuse          Reason = "idempotencyKeyReuse"
	ReasonKeyExpired        Reason = "idempotencyKeyExpired"
	ReasonStopping          Reason = "stopping"
	ReasonNotReady          Reason = "notReady"
	ReasonHeaders           Reason = "headersTooLarge"
	ReasonUnauthorized      Reason = "unauthorized"
	ReasonStaleConfig       Reason = "staleConfiguration"
)

// Refusal is the error returned for a request that was rejected or abandoned.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	// RetryAfter is the delay after which a retry is useful; zero if it is not.
	RetryAfter time.Duration `json:"retryAfter"`
	Detail     string        `json:"detail,omitempty"`
}

// Error returns the outcome, the reason and the detail, if any.
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
