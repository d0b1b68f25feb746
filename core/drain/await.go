package drain

import (
	"context"
	"time"

	"waxwingpick"
	"waxwingpick/core/timer"
)

// awaitPollInterval is the interval at which Await checks for running work. It is short compared with the seconds that a
// stop may take.
const awaitPollInterval = 50 * time.Millisecond

// Await returns when a stopping process is drained or ctx ends.
func (g *Gate) Await(ctx context.Context, timers waxwingpick.Timers) {
	for g.Phase(timers.Now()) != PhaseDrained {
		if !timer.Sleep(ctx, timers, awaitPollInterval) {
			return
		}
	}
}
