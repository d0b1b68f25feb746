// Package timer is the timer service that the parts of a process subscribe to:
// one on the system's clock and a manual one for tests and virtual time.
package timer
