package main

import (
	"sync"
	"time"

	"waxwingpick/core/timer"
)

// stopwatch is the timer service of an engine stand-in; it measures how long the stand-in holds a request back before
// its first token, so that this can be told from what the way to it and back takes.
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

// After calls fn once after the delay and notes the times of the first call since reset.
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

// elapsed returns the time between the first timer's start since reset and its end.
func (s *stopwatch) elapsed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fired.Sub(s.started)
}
