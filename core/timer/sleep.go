package timer

import (
	"context"
	"time"

	"waxwingpick"
)

// Sleep waits for the duration on the timer service and reports whether ctx has not ended.
func Sleep(ctx context.Context, timers waxwingpick.Timers, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	elapsed := make(chan struct{})
	stop := timers.After(d, func(time.Time) {
		close(elapsed)
	})
	defer stop()
	select {
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}
