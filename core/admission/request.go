package admission

import (
	"time"

	"waxwingpick"
)

// AttemptID identifies one attempt of a request.
type AttemptID string

// Request is one attempt offered to a target.
type Request struct {
	ID        AttemptID
	Workspace waxwingpick.WorkspaceID
	Class     waxwingpick.Class
	// PromptTokens is the length of the entire prompt, CachedTokens the part that the engine is expected to cache.
	PromptTokens int
	CachedTokens int
	// OutputTokens is the estimated number of output tokens.
	OutputTokens int
	Deadline     time.Time
	// Continuation means that the caller has already received part of the response, which this attempt continues. Such an
	// attempt is neither refused for a predicted end after the deadline nor counted again in its workspace's rate.
	Continuation bool
}

// Verdict is the outcome of a decision on an attempt.
type Verdict uint8

// The outcomes for an attempt.
const (
	// VerdictRun means that the attempt is to be forwarded to the target now.
	VerdictRun Verdict = iota
	// VerdictQueued means that Next will return the attempt later, to run or refused.
	VerdictQueued
	// VerdictRefused means that the attempt did not run and will not run.
	VerdictRefused
)

// String returns the name used in logs and metrics.
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

// Decision is the decision on one attempt.
type Decision struct {
	ID      AttemptID
	Verdict Verdict
	// Reason and RetryAfter are set for a refusal.
	Reason     waxwingpick.Reason
	RetryAfter time.Duration
}

// Refusal returns the error of a refused attempt, and nil for any other.
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
