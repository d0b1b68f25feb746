package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/suspect"
	"waxwingpick/core/timer"
)

// reached counts the looks at targets, which fail with err.
type reached struct {
	waxwingpick.Dispatcher
	looks atomic.Int64
	err   error
}

// Reach counts a look.
func (r *reached) Reach(context.Context, waxwingpick.Target) error {
	r.looks.Add(1)
	return r.err
}

// crashesOf returns the crashes of a process that has just started, with its clock.
func crashesOf(t *testing.T, targets *reached) (*crashes, *timer.Manual) {
	t.Helper()
	p, clock := newProcess(t, targets)
	return p.crashes, clock
}

// TestLostAnswersOfASoundTargetCostFewConnections has a target that is there lose an answer each millisecond.
func TestLostAnswersOfASoundTargetCostFewConnections(t *testing.T) {
	targets := &reached{}
	c, clock := crashesOf(t, targets)
	for i := range 1000 {
		c.lost(waxwingpick.Target{
			ID: "a",
		}, suspect.Fingerprint(i))
		clock.Advance(time.Millisecond)
	}
	require.EqualValues(t, time.Second/reachPause, targets.looks.Load())
	require.Empty(t, c.reports(clock.Now()))
	require.Empty(t, c.set.Records(clock.Now()))
}

// TestCrashesAreTold has one gateway see two crashes, of which another one is told.
func TestCrashesAreTold(t *testing.T) {
	targets := &reached{
		err: waxwingpick.ErrEngineUnreachable,
	}
	one, clock := crashesOf(t, targets)
	two, _ := crashesOf(t, &reached{})
	now := clock.Now()
	one.lost(waxwingpick.Target{
		ID: "a",
	}, 1)
	one.lost(waxwingpick.Target{
		ID: "a",
	}, 2)
	one.lost(waxwingpick.Target{
		ID: "b",
	}, 1)
	for range crashTellings {
		reports := one.reports(now)
		require.Len(t, reports, 2)
		two.take(now, reports)
	}
	require.Empty(t, one.reports(now))
	for _, c := range []*crashes{one, two} {
		require.True(t, c.refuses(now, 1))
		require.False(t, c.refuses(now, 2))
		require.Equal(t, suspect.StatusSuspect, c.set.Status(now, 2))
		c.set.Absolve(now, 2)
		require.Equal(t, suspect.StatusClean, c.set.Status(now, 2))
		require.False(t, c.refuses(now.Add(suspicionKept), 1))
	}
}

// TestToldCrashesAreBounded takes a message that no gateway sends.
func TestToldCrashesAreBounded(t *testing.T) {
	c, clock := crashesOf(t, &reached{})
	report := crashReport{
		ID:        "a/1",
		AgeMillis: math.MinInt64,
		Requests:  make([]uint64, 100_000),
	}
	for i := range report.Requests {
		report.Requests[i] = uint64(i)
	}
	reports := make([]crashReport, 1000)
	for i := range reports {
		reports[i] = report
	}
	c.take(clock.Now(), reports)
	require.Len(t, c.set.Records(clock.Now()), mostSuspectsTold)
	report.AgeMillis = math.MaxInt64
	c.take(clock.Now(), []crashReport{report})
	require.False(t, c.refuses(clock.Now(), 1))
}
