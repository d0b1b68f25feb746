package waxwingpick

import "time"

// Timers is the clock and timer service that the components of a process share.
type Timers interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// Every calls fn once per period until stop is called. Calls of one subscription never overlap.
	Every(period time.Duration, fn func(now time.Time)) (stop func())
	// After calls fn once after the delay unless stop is called first.
	After(delay time.Duration, fn func(now time.Time)) (stop func())
}
