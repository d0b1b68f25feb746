// Package background runs functions in goroutines that their owner waits for when it closes.
package background
