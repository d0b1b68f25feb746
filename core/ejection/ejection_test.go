package ejection_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick/core/ejection"
)

var start = time.Unix(1000, 0)

func TestUnreachableTargetIsEjectedWithBackoff(t *testing.T) {
	var target ejection.Target
	now := start
	var spans []time.Duration
	for range 6 {
		require.False(t, target.Ejected(now))
		target.Begin(now)
		target.Unreachable(now)
		out := time.Duration(0)
		for target.Ejected(now.Add(out)) {
			out += 10 * time.Millisecond
		}
		spans = append(spans, out)
		now = now.Add(out)
	}
	require.Equal(t, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second}, spans)
}

func TestConcurrentFailuresCountOnce(t *testing.T) {
	var target ejection.Target
	for range 20 {
		target.Begin(start)
	}
	for i := range 20 {
		target.Unreachable(start.Add(time.Duration(i) * time.Millisecond))
	}
	require.False(t, target.Ejected(start.Add(250*time.Millisecond)))
}

func TestOnlyOneRequestProbes(t *testing.T) {
	var target ejection.Target
	target.Unreachable(start)
	now := start.Add(250 * time.Millisecond)
	require.False(t, target.Ejected(now))
	target.Begin(now)
	require.True(t, target.Ejected(now))
	target.Responded()
	require.False(t, target.Ejected(now))
}

func TestUnfinishedProbeTimesOut(t *testing.T) {
	var target ejection.Target
	target.Unreachable(start)
	now := start.Add(250 * time.Millisecond)
	target.Begin(now)
	require.True(t, target.Ejected(now.Add(499*time.Millisecond)))
	require.False(t, target.Ejected(now.Add(500*time.Millisecond)))
}

func TestSingleLostResponsesDoNotEjectATarget(t *testing.T) {
	var target ejection.Target
	for range 10 {
		target.Lost(start)
		require.False(t, target.Ejected(start))
		target.Responded()
	}
	target.Lost(start)
	target.Lost(start)
	require.True(t, target.Ejected(start))
}

// TestRespondingTargetIsRestored draws events and checks that no target stays ejected beyond the maximum duration, nor
// after a response.
func TestRespondingTargetIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var target ejection.Target
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "millis")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"unreachable", "lost", "begin", "answered"}).Draw(t, "event") {
			case "unreachable":
				target.Unreachable(now)
			case "lost":
				target.Lost(now)
			case "begin":
				target.Begin(now)
			case "answered":
				target.Responded()
				require.False(t, target.Ejected(now))
			}
			require.False(t, target.Ejected(now.Add(2*time.Second)))
		}
	})
}
