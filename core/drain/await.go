package drain

import (
	"context"
	"time"

	"waxwingpick"
	"waxwingpick/core/timer"
)

// awaitPoll is the time between two looks whether work still runs: short beside the seconds that a stop may take.
const awaitPoll = 50 * time.Millisecond

// Await returns once a stopping process is drained, or ctx ends.
func (g *Gate) Await(ctx context.Context, timers waxwingpick.Timers) {
	for g.Phase(timers.Now()) != PhaseDrained {
		if !timer.Sleep(ctx, timers, awaitPoll) {
			return
		}
	}
}
