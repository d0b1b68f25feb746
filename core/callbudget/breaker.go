package callbudget

import "time"

// State is the state of a circuit breaker.
type State uint8

// The states of a circuit breaker.
const (
	// StateClosed admits calls.
	StateClosed State = iota
	// StateOpen rejects calls until the backoff's delay is over.
	StateOpen
	// StateHalfOpen has admitted one call, the probe, and waits for its outcome.
	StateHalfOpen
)

// States lists every state.
func States() []State {
	return []State{StateClosed, StateOpen, StateHalfOpen}
}

// String returns the name used in metrics.
func (s State) String() string {
	switch s {
	case StateClosed:
		return "closed"
	case StateOpen:
		return "open"
	case StateHalfOpen:
		return "halfOpen"
	}
	return "unknown"
}

// Breaker is a circuit breaker. It is not safe for concurrent use.
type Breaker struct {
	threshold int
	backoff   *Backoff
	state     State
	failures  int
	until     time.Time
}

// NewBreaker returns a closed breaker that opens after threshold consecutive failures.
func NewBreaker(threshold int, backoff *Backoff) *Breaker {
	return &Breaker{
		threshold: threshold,
		backoff:   backoff,
	}
}

// State returns the breaker's state.
func (b *Breaker) State() State { return b.state }

// Until returns when an open breaker next admits a call.
func (b *Breaker) Until() time.Time { return b.until }

// Ready reports whether a call may be sent.
func (b *Breaker) Ready(now time.Time) bool {
	switch b.state {
	case StateClosed:
		return true
	case StateOpen:
		return !now.Before(b.until)
	case StateHalfOpen:
		return false
	}
	return false
}

// Sent records that an admitted call is sent. On an open breaker this call is the probe.
func (b *Breaker) Sent() {
	if b.state == StateOpen {
		b.state = StateHalfOpen
	}
}

// Succeeded records that the service responded. Only the probe closes an open breaker.
func (b *Breaker) Succeeded() {
	if b.state == StateOpen {
		return
	}
	b.state = StateClosed
	b.failures = 0
	b.backoff.Reset()
}

// Failed records that the service was unavailable or that a response was lost.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	switch b.state {
	case StateOpen:
		return
	case StateClosed:
		if b.failures < b.threshold {
			return
		}
	case StateHalfOpen:
	}
	b.state = StateOpen
	b.until = now.Add(b.backoff.Next())
}

// Abandoned records that a call ended without a result that shows the state of the service.
func (b *Breaker) Abandoned(now time.Time) {
	if b.state == StateHalfOpen {
		b.state = StateOpen
		b.until = now.Add(b.backoff.Next())
	}
}
