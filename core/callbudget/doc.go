// Package callbudget limits a process to its share of the key-value service's
// capacity. It uses a token bucket for each kind of call, a circuit breaker that
// stops calls during an outage, and a jittered backoff, so that processes do not
// retry in step.
//
// A rejected call was not sent. Its error matches ErrUnavailable.
package callbudget
