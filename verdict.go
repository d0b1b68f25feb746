package waxwingpick

// Verdict is the result of selecting targets for a request.
type Verdict uint8

// The results of selecting targets.
const (
	// VerdictPlaced means that targets were selected.
	VerdictPlaced Verdict = iota
	// VerdictNone means that no target is eligible.
	VerdictNone
	// VerdictLate means that no target is predicted to respond before the deadline.
	VerdictLate
	// VerdictBlocked means that no eligible target accepts requests now, according to what the targets state.
	VerdictBlocked
)

// String returns the name used in logs.
func (v Verdict) String() string {
	switch v {
	case VerdictPlaced:
		return "placed"
	case VerdictNone:
		return "noTarget"
	case VerdictLate:
		return "late"
	case VerdictBlocked:
		return "blocked"
	}
	return "unknown"
}
