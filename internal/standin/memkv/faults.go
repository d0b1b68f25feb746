package memkv

import (
	"fmt"
	"time"

	"waxwingpick"
)

// ErrTooManyCalls is the ErrUnavailable of a call above the service's rate.
var ErrTooManyCalls = fmt.Errorf("too many calls: %w", waxwingpick.ErrUnavailable)

// Fate is what becomes of one call.
type Fate uint8

// The fates of a call.
const (
	// FateDeliver runs the call and answers.
	FateDeliver Fate = iota
	// FateRefuse answers that the service is unavailable; the call has no effect.
	FateRefuse
	// FateLoseRequest loses the call before it takes effect; the client can't tell.
	FateLoseRequest
	// FateLoseAnswer lets the call take effect and loses the answer.
	FateLoseAnswer
	// FateDefer loses the answer and lets a write take effect at ReleaseDeferred.
	FateDefer
)

// Fates lists every fate.
func Fates() []Fate {
	return []Fate{FateDeliver, FateRefuse, FateLoseRequest, FateLoseAnswer, FateDefer}
}

// serviceFaults are the faults that all clients meet.
type serviceFaults struct {
	down       bool
	delay      time.Duration
	loseNext   int
	dropEvents bool
	rate       int
	second     time.Time
	inSecond   int
}

// SetDown makes the service refuse every call, or ends that; going down breaks all watches.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	s.faults.down = down
	s.mu.Unlock()
	if down {
		s.BreakWatches()
	}
}

// SetDelay makes every call take effect only after the delay; a call whose context ends first still takes effect.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// LoseAnswers loses the answers of the next n compare-and-swaps and compare-and-deletes after they took effect.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseNext = n
}

// SetDropEvents makes watches miss the events of all changes, or ends that.
func (s *Store) SetDropEvents(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropEvents = drop
}

// SetRate makes the service refuse calls beyond n in one second; zero ends that.
func (s *Store) SetRate(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.rate = n
}

// LapseLease ends a lease at once; its holder is not told.
func (s *Store) LapseLease(id waxwingpick.LeaseID) bool {
	s.mu.Lock()
	defer s.unlock()
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.endLocked(id)
	return true
}

// LapseKey ends the lease that a key is bound to; its holder is not told.
func (s *Store) LapseKey(key string) bool {
	s.mu.Lock()
	id := s.records[key].lease
	s.mu.Unlock()
	return id != 0 && s.LapseLease(id)
}

// ReleaseDeferred lets the deferred writes take effect, oldest first, and returns their number.
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

// admit counts a call and returns the fate that the service's faults give it.
func (s *Store) admit(kind waxwingpick.KeyValueCall) (Fate, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	f := &s.faults
	if f.down {
		return FateRefuse, 0, waxwingpick.ErrUnavailable
	}
	if s.overRateLocked() {
		return FateRefuse, 0, ErrTooManyCalls
	}
	if f.loseNext > 0 && (kind == waxwingpick.CallSwap || kind == waxwingpick.CallDelete) {
		f.loseNext--
		return FateLoseAnswer, f.delay, nil
	}
	return FateDeliver, f.delay, nil
}

func (s *Store) overRateLocked() bool {
	f := &s.faults
	if f.rate == 0 {
		return false
	}
	second := s.timers.Now().Truncate(time.Second)
	if !second.Equal(f.second) {
		f.second = second
		f.inSecond = 0
	}
	f.inSecond++
	return f.inSecond > f.rate
}

func (s *Store) deferCall(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferred = append(s.deferred, run)
}
