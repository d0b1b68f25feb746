// Package kvcall represents calls to the key-value service and their results as
// values, so that a state machine can request a call without performing it.
package kvcall
