package ejection_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick/core/ejection"
)

var start = time.Unix(1000, 0)

func TestUnreachableTargetIsOutAtOnceAndLongerEachTime(t *testing.T) {
	var target ejection.Target
	now := start
	var spans []time.Duration
	for range 6 {
		require.False(t, target.Out(now))
		target.Begin(now)
		target.Unreachable(now)
		out := time.Duration(0)
		for target.Out(now.Add(out)) {
			out += 10 * time.Millisecond
		}
		spans = append(spans, out)
		now = now.Add(out)
	}
	require.Equal(t, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second}, spans)
}

func TestRequestsUnderWayTogetherCountOnce(t *testing.T) {
	var target ejection.Target
	for range 20 {
		target.Begin(start)
	}
	for i := range 20 {
		target.Unreachable(start.Add(time.Duration(i) * time.Millisecond))
	}
	require.False(t, target.Out(start.Add(250*time.Millisecond)))
}

func TestOneRequestProbes(t *testing.T) {
	var target ejection.Target
	target.Unreachable(start)
	now := start.Add(250 * time.Millisecond)
	require.False(t, target.Out(now))
	target.Begin(now)
	require.True(t, target.Out(now))
	target.Answered()
	require.False(t, target.Out(now))
}

func TestProbeWithoutAnEndDoesNotKeepTheTargetOut(t *testing.T) {
	var target ejection.Target
	target.Unreachable(start)
	now := start.Add(250 * time.Millisecond)
	target.Begin(now)
	require.True(t, target.Out(now.Add(499*time.Millisecond)))
	require.False(t, target.Out(now.Add(500*time.Millisecond)))
}

func TestSingleLostAnswersKeepATargetIn(t *testing.T) {
	var target ejection.Target
	for range 10 {
		target.Lost(start)
		require.False(t, target.Out(start))
		target.Answered()
	}
	target.Lost(start)
	target.Lost(start)
	require.True(t, target.Out(start))
}

// TestTargetThatAnswersComesBack draws failures, and checks that no target stays out for longer than the bound, and none
// after an answer.
func TestTargetThatAnswersComesBack(t *testing.T) {
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
				target.Answered()
				require.False(t, target.Out(now))
			}
			require.False(t, target.Out(now.Add(2*time.Second)))
		}
	})
}
