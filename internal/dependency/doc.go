// Package dependency logs a line when a service that the process needs becomes unavailable, and one when it is
// available again.
package dependency
