package main

import (
	"sync"
	"time"

	"waxwingpick/core/timer"
)

// stopwatch is the timer service of an engine stand-in. It measures the time that the stand-in takes for the first
// token of a request, so that it can be subtracted from the latency of the path.
type stopwatch struct {
	*timer.System
	mu      sync.Mutex
	started time.Time
	fired   time.Time
}

func newStopwatch() *stopwatch {
	return &stopwatch{
		System: timer.NewSystem(),
	}
}

// After implements waxwingpick.Timers, and records start and end of the first timer since reset.
func (s *stopwatch) After(delay time.Duration, fn func(now time.Time)) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started.IsZero() {
		return s.System.After(delay, fn)
	}
	s.started = time.Now()
	return s.System.After(delay, func(now time.Time) {
		s.fire()
		fn(now)
	})
}

func (s *stopwatch) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fired = time.Now()
}

func (s *stopwatch) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Time{}
	s.fired = time.Time{}
}

// elapsed returns the time from start to end of the first timer since reset.
func (s *stopwatch) elapsed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fired.Sub(s.started)
}
