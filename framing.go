package waxwingpick

// Framing is how a response states where its body ends.
type Framing uint8

// The framings of responses. FramingConnection means that the body ends with the connection.
const (
	FramingUnknown Framing = iota
	FramingLength
	FramingChunks
	FramingConnection
)

// String returns the name used in logs and metrics.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunks:
		return "chunks"
	case FramingConnection:
		return "connection"
	case FramingUnknown:
	}
	return "unknown"
}
