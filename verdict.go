package waxwingpick

// Verdict is the outcome of a choice of targets.
type Verdict uint8

// The verdicts on a request.
const (
	// VerdictPlaced says that targets were chosen.
	VerdictPlaced Verdict = iota
	// VerdictNone says that no target may take the request.
	VerdictNone
	// VerdictLate says that no target would answer in time.
	VerdictLate
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
	}
	return "unknown"
}
