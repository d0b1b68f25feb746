package routing

import (
	"time"

	"waxwingpick"
)

// Leg is the part of a request that a target is chosen for.
type Leg uint8

// The legs of a request.
const (
	// LegWhole is prefill and decode on one engine, or a call of a plain service; it goes to targets in the
	// mixed role where there are any.
	LegWhole Leg = iota
	// LegPrefill computes the KV cache and exports it.
	LegPrefill
	// LegDecode starts from imported KV cache.
	LegDecode
	legs
)

// takes reports whether a target of the role may take the leg.
func (l Leg) takes(role waxwingpick.Role) bool {
	switch l {
	case LegWhole:
		return role == waxwingpick.RoleMixed
	case LegPrefill:
		return role != waxwingpick.RoleDecode
	case LegDecode:
		return role != waxwingpick.RolePrefill
	}
	return false
}

// TargetInfo is what the plan and the platform's list say of a target.
type TargetInfo struct {
	ID   waxwingpick.TargetID
	Zone waxwingpick.AvailabilityZone
	// Model and Adapter are what the target serves; both are empty for plain services.
	Model   string
	Adapter string
	Role    waxwingpick.Role
	// Leaving says that the target takes no new work.
	Leaving bool
}

// Request is what a choice depends on.
type Request struct {
	Class        waxwingpick.Class
	Model        string
	Adapter      string
	Leg          Leg
	PromptTokens int
	OutputTokens int
	// Prefix holds the hashes of the prompt's whole prefix blocks, shortest prefix first.
	Prefix []uint64
	// Deadline is when the answer is due; the zero time for none.
	Deadline time.Time
	// Exclude lists targets that were tried already.
	Exclude []waxwingpick.TargetID
}

// Choice is the target chosen for a request; it is passed to Sent and Done.
type Choice struct {
	Target waxwingpick.TargetID
	// Predicted is the time until the answer is whole.
	Predicted time.Duration
	// CachedTokens is the part of the prompt that the target is expected to hold.
	CachedTokens int
	// InTime says that the predicted completion is before the deadline.
	InTime bool
	// SameZone says that the target is in the entry's availability zone.
	SameZone bool

	prefill int
	quick   bool
	prefix  []uint64
	serial  uint64
}

// Report is a target's load as it reached the entry.
type Report struct {
	Target waxwingpick.TargetID
	Load   waxwingpick.TargetLoad
}

// Result says how an attempt ended, seen from the entry.
type Result uint8

// The results of an attempt.
const (
	// ResultAnswered means that the target answered.
	ResultAnswered Result = iota
	// ResultRefused means that the sidecar refused the attempt, which says nothing about the target's health.
	ResultRefused
	// ResultFailed means that the target could not be reached or broke the answer off.
	ResultFailed
	// ResultLeaving means that the sidecar refused the attempt because its target leaves.
	ResultLeaving
	// ResultCancelled means that the caller left.
	ResultCancelled
)

// String returns the result's name for logs.
func (r Result) String() string {
	switch r {
	case ResultAnswered:
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
