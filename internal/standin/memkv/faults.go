package memkv

import (
	"fmt"
	"time"

	"waxwingpick"
)

// ErrTooManyCalls means that a call exceeded the rate limit of the service. It wraps ErrUnavailable.
var ErrTooManyCalls = fmt.Errorf("too many calls: %w", waxwingpick.ErrUnavailable)

// Fault is the fault that applies to a call.
type Fault uint8

// The faults of a call.
const (
	// FaultNone runs the call without a fault.
	FaultNone Fault = iota
	// FaultUnavailable rejects the call with ErrUnavailable. The call has no effect.
	FaultUnavailable
	// FaultLoseRequest loses the request before it takes effect. The client cannot distinguish it from a lost response.
	FaultLoseRequest
	// FaultLoseResponse runs the call and loses the response.
	FaultLoseResponse
	// FaultDefer loses the response. A write takes effect at ReleaseDeferred.
	FaultDefer
)

// Faults returns every Fault.
func Faults() []Fault {
	return []Fault{FaultNone, FaultUnavailable, FaultLoseRequest, FaultLoseResponse, FaultDefer}
}

// serviceFaults are the faults that apply to the calls of all clients.
type serviceFaults struct {
	down          bool
	delay         time.Duration
	lostResponses int
	dropEvents    bool
	rate          int
	second        time.Time
	callsInSecond int
}

// SetDown makes every call fail with ErrUnavailable, or ends that. Going down breaks all watches.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	s.faults.down = down
	s.mu.Unlock()
	if down {
		s.BreakWatches()
	}
}

// SetDelay delays the effect of every call. A call whose context ends first still takes effect.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// LoseResponses loses the responses of the next n compare-and-swaps and compare-and-deletes, which take effect.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lostResponses = n
}

// SetDropEvents drops all watch events, or ends that.
func (s *Store) SetDropEvents(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropEvents = drop
}

// SetRate makes calls beyond n in a second fail with ErrTooManyCalls. Zero ends that.
func (s *Store) SetRate(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.rate = n
}

// ExpireLease expires a lease at once, without notifying its holder.
func (s *Store) ExpireLease(id waxwingpick.LeaseID) bool {
	s.mu.Lock()
	defer s.unlock()
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.endLocked(id)
	return true
}

// ExpireKey expires the lease of a key at once, without notifying its holder.
func (s *Store) ExpireKey(key string) bool {
	s.mu.Lock()
	id := s.records[key].lease
	s.mu.Unlock()
	return id != 0 && s.ExpireLease(id)
}

// ReleaseDeferred runs the deferred writes, oldest first, and returns their number.
func (s *Store) ReleaseDeferred() int {
	s.mu.Lock()
	deferred := s.deferred
	s.deferred = nil
	s.mu.Unlock()
	for _, run := range deferred {
		run()
	}
	return len(deferred)
}

// admit counts a call and returns the fault that the service applies to it.
func (s *Store) admit(kind waxwingpick.KeyValueCall) (Fault, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	f := &s.faults
	if f.down {
		return FaultUnavailable, 0, waxwingpick.ErrUnavailable
	}
	if s.overRateLocked() {
		return FaultUnavailable, 0, ErrTooManyCalls
	}
	if f.lostResponses > 0 && (kind == waxwingpick.CallSwap || kind == waxwingpick.CallDelete) {
		f.lostResponses--
		return FaultLoseResponse, f.delay, nil
	}
	return FaultNone, f.delay, nil
}

func (s *Store) overRateLocked() bool {
	f := &s.faults
	if f.rate == 0 {
		return false
	}
	second := s.timers.Now().Truncate(time.Second)
	if !second.Equal(f.second) {
		f.second = second
		f.callsInSecond = 0
	}
	f.callsInSecond++
	return f.callsInSecond > f.rate
}

func (s *Store) deferCall(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferred = append(s.deferred, run)
}
