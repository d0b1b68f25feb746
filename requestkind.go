package waxwingpick

// RequestKind states how often a request may run.
type RequestKind uint8

// The kinds of requests.
const (
	// RequestOnce may run at most once.
	RequestOnce RequestKind = iota
	// RequestIdempotent may run more than once.
	RequestIdempotent
	// RequestStream has an event stream as its response and may run at most once, unless its route allows resuming
	// streams.
	RequestStream
)

// String returns the name used in logs and metrics.
func (k RequestKind) String() string {
	switch k {
	case RequestOnce:
		return "once"
	case RequestIdempotent:
		return "idempotent"
	case RequestStream:
		return "stream"
	}
	return "unknown"
}
