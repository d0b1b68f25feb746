package routing

import (
	"time"

	"waxwingpick"
)

// Stage is the stage of a request for which a target is chosen.
type Stage uint8

// The stages of a request.
const (
	// StageFull is prefill and decode on one engine, or a call of a plain service. It goes to targets in the
	// mixed role if there are any.
	StageFull Stage = iota
	// StagePrefill computes the KV cache and exports it.
	StagePrefill
	// StageDecode starts from an imported KV cache.
	StageDecode
	stages
)

// takes reports whether a target in the role can run the stage.
func (l Stage) takes(role waxwingpick.Role) bool {
	switch l {
	case StageFull:
		return role == waxwingpick.RoleMixed
	case StagePrefill:
		return role != waxwingpick.RoleDecode
	case StageDecode:
		return role != waxwingpick.RolePrefill
	}
	return false
}

// TargetInfo describes a target as given by the plan and the platform's instance list.
type TargetInfo struct {
	ID   waxwingpick.TargetID
	Zone waxwingpick.AvailabilityZone
	// Model and Adapter are what the target serves; both are empty for plain services.
	Model   string
	Adapter string
	Role    waxwingpick.Role
	// Leaving is set when the target accepts no new work.
	Leaving bool
}

// Request describes the request for which a target is chosen.
type Request struct {
	Class        waxwingpick.Class
	Model        string
	Adapter      string
	Stage        Stage
	PromptTokens int
	OutputTokens int
	// Prefix holds the hashes of the prompt's complete prefix blocks, shortest prefix first.
	Prefix []uint64
	// Deadline is when the response is due; the zero time means none.
	Deadline time.Time
	// Exclude lists the targets that were already tried.
	Exclude []waxwingpick.TargetID
}

// Choice is the target chosen for a request. It is passed to Sent and Done.
type Choice struct {
	Target waxwingpick.TargetID
	// Predicted is the time until the response is complete.
	Predicted time.Duration
	// CachedTokens is the number of prompt tokens that the target is expected to have cached.
	CachedTokens int
	// InTime is set when the predicted completion meets the deadline.
	InTime bool
	// SameZone is set when the target is in the entry's availability zone.
	SameZone bool

	prefill int
	quick   bool
	prefix  []uint64
	serial  uint64
}

// Report is a target's load as received by the entry.
type Report struct {
	Target waxwingpick.TargetID
	Load   waxwingpick.TargetLoad
}

// Result is the outcome of an attempt as observed by the entry.
type Result uint8

// The results of an attempt.
const (
	// ResultResponded means that the target responded.
	ResultResponded Result = iota
	// ResultRefused means that the sidecar refused the attempt, which says nothing about the target's health.
	ResultRefused
	// ResultFailed means that the target could not be reached, that its response broke off or that it was a failure.
	ResultFailed
	// ResultLeaving means that the sidecar refused the attempt because its target is leaving.
	ResultLeaving
	// ResultCancelled means that the caller cancelled the request.
	ResultCancelled
)

// String returns the result's name for logs.
func (r Result) String() string {
	switch r {
	case ResultResponded:
		return "answered"
	case ResultRefused:
		return "refused"
	case ResultFailed:
		return "failed"
	case ResultLeaving:
		return "leaving"
	case ResultCancelled:
		return "cancelled"
	}
	return "unknown"
}
