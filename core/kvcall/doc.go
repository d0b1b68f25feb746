// Package kvcall describes one call of the key-value service and its result as
// values, so that a state machine can ask for a call without making it.
package kvcall
