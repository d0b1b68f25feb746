package timer

import (
	"context"
	"time"

	"waxwingpick"
)

// Sleep waits for the duration on the timer service and reports whether ctx still lives.
func Sleep(ctx context.Context, timers waxwingpick.Timers, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	over := make(chan struct{})
	stop := timers.After(d, func(time.Time) {
		close(over)
	})
	defer stop()
	select {
	case <-over:
		return true
	case <-ctx.Done():
		return false
	}
}
