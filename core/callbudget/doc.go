// Package callbudget keeps a process within its share of the key-value service:
// a token bucket for each kind of call, a circuit breaker that stops calls during
// an outage, and a jittered backoff, so that processes do not come back in step.
//
// A call that it refuses was not sent: the error matches ErrUnavailable.
package callbudget
