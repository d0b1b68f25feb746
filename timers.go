package waxwingpick

import "time"

// Timers is the port to the timer service that the parts of a process subscribe to.
type Timers interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// Every calls fn each period until the returned function is called; calls of one subscription never overlap.
	Every(period time.Duration, fn func(now time.Time)) (stop func())
	// After calls fn once after the delay unless the returned function is called first.
	After(delay time.Duration, fn func(now time.Time)) (stop func())
}
