package steploop

import (
	"context"
	"time"

	"waxwingpick"
)

// Sleeper lets one goroutine sleep. Other goroutines may wake it by Notify.
type Sleeper struct {
	timers waxwingpick.Timers
	wake   chan struct{}
}

// NewSleeper returns a sleeper that uses the given timers.
func NewSleeper(timers waxwingpick.Timers) *Sleeper {
	return &Sleeper{
		timers: timers,
		wake:   make(chan struct{}, 1),
	}
}

// Notify ends the current sleep. If the goroutine does not sleep, it ends the next one.
func (s *Sleeper) Notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Until sleeps until the given time, a notification, or the end of ctx. It returns false if ctx has ended.
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
