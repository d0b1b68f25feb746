package background_test

import (
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick/core/background"
)

// TestStartRacesClose starts functions while the group closes. Each one either ends before Close returns or is not
// started. With a bare wait group, the race detector reports this use.
func TestStartRacesClose(t *testing.T) {
	for range 200 {
		var group background.Group
		var running, started, ended atomic.Int64
		var starters conc.WaitGroup
		for range 4 {
			starters.Go(func() {
				for range 8 {
					if group.Start(func() {
						running.Add(1)
						running.Add(-1)
						ended.Add(1)
					}) {
						started.Add(1)
					}
				}
			})
		}
		group.Close()
		require.Zero(t, running.Load())
		starters.Wait()
		require.Equal(t, started.Load(), ended.Load())
		require.False(t, group.Start(func() {}))
	}
}

func TestFunctionsMayCallStartDuringClose(t *testing.T) {
	var group background.Group
	release := make(chan struct{})
	inner := make(chan bool, 1)
	group.Start(func() {
		<-release
		inner <- group.Start(func() {})
	})
	closed := make(chan struct{})
	go func() {
		group.Close()
		close(closed)
	}()
	for group.Start(func() {}) {
	}
	close(release)
	<-closed
	require.False(t, <-inner)
}
