package waxwingpick

import "time"

// Statement is what a target states about itself in a response.
type Statement struct {
	// RequestLimit is the number of requests per second that the target accepts from all instances together; none if the
	// response states no limit.
	RequestLimit Option[float64]
	// Leaving means that the target leaves and wants no new requests.
	Leaving bool
	// RetryAfter is the time for which the target wants no requests of this instance; none if it states none.
	RetryAfter Option[time.Duration]
	// Malformed holds the fields that could not be decoded, with the starts of their values.
	Malformed []Header
}
