package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
)

func TestManualRunsDueTimersInOrder(t *testing.T) {
	m := timer.NewManual(time.Unix(0, 0))
	var got []string
	stop := m.Every(2*time.Second, func(time.Time) {
		got = append(got, "every")
	})
	m.After(3*time.Second, func(time.Time) {
		got = append(got, "after")
	})
	m.After(time.Second, func(time.Time) {
		got = append(got, "stopped")
	})()
	m.Advance(4 * time.Second)
	stop()
	m.Advance(4 * time.Second)
	require.Equal(t, []string{"every", "after", "every"}, got)
	require.Equal(t, time.Unix(8, 0), m.Now())
}

func TestSystemStopsItsSubscriptions(t *testing.T) {
	s := timer.NewSystem()
	ticked := make(chan struct{}, 1)
	s.Every(time.Millisecond, func(time.Time) {
		select {
		case ticked <- struct{}{}:
		default:
		}
	})
	<-ticked
	s.Close()
	s.After(0, func(time.Time) {
		t.Error("a closed service ran a timer")
	})
}

func TestSystemRemovesTimersThatHaveRun(t *testing.T) {
	s := timer.NewSystem()
	defer s.Close()
	ran := make(chan struct{})
	s.After(0, func(time.Time) {
		close(ran)
	})
	<-ran
	require.Zero(t, s.Subscriptions())
}

func TestSleepEndsWithItsContext(t *testing.T) {
	m := timer.NewManual(time.Unix(0, 0))
	ctx, cancel := context.WithCancel(t.Context())
	require.True(t, timer.Sleep(ctx, m, 0))
	cancel()
	require.False(t, timer.Sleep(ctx, m, 0))
	require.False(t, timer.Sleep(ctx, m, time.Hour))
}
