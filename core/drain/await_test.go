package drain

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
)

// stopping returns a gate that is stopped while one piece of work, with ID a, is running.
func stopping(t *testing.T) (*Gate, *timer.System) {
	timers := timer.NewSystem()
	t.Cleanup(timers.Close)
	g, err := New()
	require.NoError(t, err)
	require.NoError(t, g.Enter(timers.Now(), "a", false))
	g.Stop(timers.Now())
	return g, timers
}

func TestAwaitEndsOnceNothingRuns(t *testing.T) {
	g, timers := stopping(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Await(t.Context(), timers)
	}()
	select {
	case <-ended:
		t.Fatal("ended while work was running")
	case <-time.After(4 * awaitPollInterval):
	}
	g.Done("a")
	<-ended
}

func TestAwaitEndsWithItsContext(t *testing.T) {
	g, timers := stopping(t)
	ctx, cancel := context.WithTimeout(t.Context(), awaitPollInterval)
	defer cancel()
	g.Await(ctx, timers)
	require.Equal(t, 1, g.Running())
}
