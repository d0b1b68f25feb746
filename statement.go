package waxwingpick

// Statement is what a target states about itself in a response.
type Statement struct {
	// RequestLimit is the number of requests per second that the target accepts from all instances together; none if the
	// response states no limit.
	RequestLimit Option[float64]
	// Malformed is the start of a field value that could not be decoded; empty if all fields were decoded.
	Malformed string
}
