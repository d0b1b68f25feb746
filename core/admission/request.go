package admission

import (
	"time"

	"waxwingpick"
)

// AttemptID names one attempt of a request.
type AttemptID string

// Request is one attempt offered to a target.
type Request struct {
	ID        AttemptID
	Workspace waxwingpick.WorkspaceID
	Class     waxwingpick.Class
	// PromptTokens is the whole prompt, CachedTokens the part that the engine is expected to hold.
	PromptTokens int
	CachedTokens int
	// OutputTokens is the estimated number of output tokens.
	OutputTokens int
	Deadline     time.Time
	// Begun says that the caller has a part of the answer, which goes on here: it is neither refused because its end is
	// predicted too late, nor counted again against its workspace's rate.
	Begun bool
}

// Verdict says what happens to an attempt.
type Verdict uint8

// The verdicts on an attempt.
const (
	// VerdictRun means that the attempt is to be handed to the target now.
	VerdictRun Verdict = iota
	// VerdictQueued means that Next will yield the attempt later, to run or refused.
	VerdictQueued
	// VerdictRefused means that the attempt did not run and never will.
	VerdictRefused
)

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictRun:
		return "run"
	case VerdictQueued:
		return "queued"
	case VerdictRefused:
		return "refused"
	}
	return "unknown"
}

// Decision is the verdict on one attempt.
type Decision struct {
	ID      AttemptID
	Verdict Verdict
	// Reason and RetryAfter are set for a refusal.
	Reason     waxwingpick.Reason
	RetryAfter time.Duration
}

// Refusal returns the typed error of a refused attempt and nil for any other.
func (d Decision) Refusal() *waxwingpick.Refusal {
	if d.Verdict != VerdictRefused {
		return nil
	}
	return waxwingpick.NotRun(d.Reason, d.RetryAfter, "")
}

func run(id AttemptID) Decision {
	return Decision{
		ID:      id,
		Verdict: VerdictRun,
	}
}

func refused(id AttemptID, reason waxwingpick.Reason, retryAfter time.Duration) Decision {
	return Decision{
		ID:         id,
		Verdict:    VerdictRefused,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
