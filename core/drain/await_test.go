package drain

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
)

func TestAwaitEndsOnceNothingRuns(t *testing.T) {
	timers := timer.NewSystem()
	defer timers.Close()
	g, err := New()
	require.NoError(t, err)
	require.NoError(t, g.Enter(timers.Now(), "a", false))
	g.Stop(timers.Now())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Await(t.Context(), timers)
	}()
	select {
	case <-ended:
		t.Fatal("ended beside running work")
	case <-time.After(4 * awaitPoll):
	}
	g.Leave("a")
	<-ended
}

func TestAwaitEndsWithItsContext(t *testing.T) {
	timers := timer.NewSystem()
	defer timers.Close()
	g, err := New()
	require.NoError(t, err)
	require.NoError(t, g.Enter(timers.Now(), "a", false))
	g.Stop(timers.Now())
	ctx, cancel := context.WithTimeout(t.Context(), awaitPoll)
	defer cancel()
	g.Await(ctx, timers)
	require.Equal(t, 1, g.Running())
}
