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

// probeCounter counts the probes of targets, each of which returns err.
type probeCounter struct {
	waxwingpick.Dispatcher
	probes atomic.Int64
	err    error
}

// Reach counts a probe.
func (r *probeCounter) CheckReachable(context.Context, waxwingpick.Target) error {
	r.probes.Add(1)
	return r.err
}

// crashesOf returns the crash tracker of a process that has not started, with its clock.
func crashesOf(t *testing.T, targets *probeCounter) (*crashTracker, *timer.Manual) {
	t.Helper()
	p, clock := newProcess(t, targets)
	return p.crashTracker, clock
}

// flight returns a request in flight with a fingerprint.
func flight(f suspect.Fingerprint) suspect.Flight {
	return suspect.Flight{
		Fingerprint: f,
	}
}

// TestLostResponsesOfAHealthyTargetCostFewConnections loses a response of a reachable target each millisecond. Without
// the minimum interval each loss would open a connection.
func TestLostResponsesOfAHealthyTargetCostFewConnections(t *testing.T) {
	targets := &probeCounter{}
	c, clock := crashesOf(t, targets)
	for i := range 1000 {
		c.responseLost(waxwingpick.Target{
			ID: "a",
		}, flight(suspect.Fingerprint(i)))
		clock.Advance(time.Millisecond)
	}
	require.EqualValues(t, time.Second/probeInterval, targets.probes.Load())
	require.Empty(t, c.reports(clock.Now()))
	require.Empty(t, c.set.Records(clock.Now()))
}

// TestCrashesAreTold has one gateway detect two crashes and report them to another one. Both have to quarantine the
// request that was in flight at both crashes.
func TestCrashesAreTold(t *testing.T) {
	targets := &probeCounter{
		err: waxwingpick.ErrEngineUnreachable,
	}
	one, clock := crashesOf(t, targets)
	two, _ := crashesOf(t, &probeCounter{})
	now := clock.Now()
	one.responseLost(waxwingpick.Target{
		ID: "a",
	}, flight(1))
	one.responseLost(waxwingpick.Target{
		ID: "a",
	}, flight(2))
	one.responseLost(waxwingpick.Target{
		ID: "b",
	}, flight(1))
	for range crashReportSends {
		reports := one.reports(now)
		require.Len(t, reports, 2)
		two.apply(now, reports)
	}
	require.Empty(t, one.reports(now))
	for _, c := range []*crashTracker{one, two} {
		require.True(t, c.quarantines(now, 1))
		require.False(t, c.quarantines(now, 2))
		require.Equal(t, suspect.StatusSuspect, c.set.Status(now, 2))
		c.set.ClearSuspect(now, 2)
		require.Equal(t, suspect.StatusClean, c.set.Status(now, 2))
		require.False(t, c.quarantines(now.Add(suspicionTTL), 1))
	}
}

// TestToldCrashesAreBounded applies a message larger than any that a gateway sends.
func TestToldCrashesAreBounded(t *testing.T) {
	c, clock := crashesOf(t, &probeCounter{})
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
	c.apply(clock.Now(), reports)
	require.Len(t, c.set.Records(clock.Now()), maxRequestsPerCrash)
	report.AgeMillis = math.MaxInt64
	c.apply(clock.Now(), []crashReport{report})
	require.False(t, c.quarantines(clock.Now(), 1))
}
