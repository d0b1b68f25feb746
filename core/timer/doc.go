// Package timer provides the timer service of a process, in two implementations:
// System uses the system clock, Manual a virtual time for tests and simulations.
package timer
