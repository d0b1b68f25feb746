// Package background runs goroutines that their owner waits for when it shuts down.
package background
