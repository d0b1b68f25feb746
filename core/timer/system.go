package timer

import (
	"sync"
	"time"

	"waxwingpick"
)

var _ waxwingpick.Timers = (*System)(nil)

// System is a timer service on the system clock.
type System struct {
	mu      sync.Mutex
	stopped bool
	stops   map[int]func()
	nextID  int
}

// NewSystem returns a timer service on the system clock. Close ends all its subscriptions.
func NewSystem() *System {
	return &System{
		stops: make(map[int]func()),
	}
}

// Now returns the current time with its monotonic reading.
func (s *System) Now() time.Time {
	return time.Now()
}

// Every calls fn once per period until stop is called.
func (s *System) Every(period time.Duration, fn func(now time.Time)) (stop func()) {
	return s.start(func(int) func() {
		done := make(chan struct{})
		go s.tick(period, fn, done)
		return sync.OnceFunc(func() {
			close(done)
		})
	})
}

// After calls fn once after the delay, unless stop is called first.
func (s *System) After(delay time.Duration, fn func(now time.Time)) (stop func()) {
	return s.start(func(id int) func() {
		t := time.AfterFunc(delay, func() {
			s.remove(id)
			fn(time.Now())
		})
		return func() {
			t.Stop()
		}
	})
}

// Close ends every subscription.
func (s *System) Close() {
	s.mu.Lock()
	s.stopped = true
	stops := s.stops
	s.stops = make(map[int]func())
	s.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
}

func (s *System) tick(period time.Duration, fn func(now time.Time), done <-chan struct{}) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-t.C:
			fn(now)
		}
	}
}

// start starts a subscription, unless the service is closed, and returns its stop function.
func (s *System) start(begin func(id int) (stop func())) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return func() {}
	}
	id := s.nextID
	s.nextID++
	stop := begin(id)
	s.stops[id] = stop
	return func() {
		s.remove(id)
		stop()
	}
}

// remove removes an ended subscription, so that a long-lived service does not retain it.
func (s *System) remove(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stops, id)
}

// Subscriptions returns the number of subscriptions that have not ended.
func (s *System) Subscriptions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stops)
}
