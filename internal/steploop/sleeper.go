package steploop

import (
	"context"
	"time"

	"waxwingpick"
)

// Sleeper is the sleep of one goroutine.
type Sleeper struct {
	timers waxwingpick.Timers
	wake   chan struct{}
}

// NewSleeper returns a sleeper on a timer service.
func NewSleeper(timers waxwingpick.Timers) *Sleeper {
	return &Sleeper{
		timers: timers,
		wake:   make(chan struct{}, 1),
	}
}

// Notify ends the current sleep, or the next one where none is under way.
func (s *Sleeper) Notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Until sleeps until a time, a notification, or the end of ctx, which it reports by false.
func (s *Sleeper) Until(ctx context.Context, until time.Time) bool {
	stop := s.timers.After(until.Sub(s.timers.Now()), func(time.Time) {
		s.Notify()
	})
	defer stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.wake:
		return ctx.Err() == nil
	}
}
