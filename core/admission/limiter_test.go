package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick/core/admission"
)

// TestLimiterFindsThePlaceWhereLatencyRises simulates a service that runs a number of calls concurrently and queues the
// rest.
func TestLimiterFindsThePlaceWhereLatencyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 20 * time.Millisecond
		capacity := rapid.IntRange(4, 64).Draw(t, "capacity")
		l, err := admission.NewLimiter(2, 256)
		require.NoError(t, err)
		full, calls := 0, 4000
		for i := range calls {
			running := l.Limit()
			latency := base * time.Duration(max(capacity, running)) / time.Duration(capacity)
			l.Observe(latency, running)
			if i < calls/2 {
				continue
			}
			if running >= capacity {
				full++
			}
			require.LessOrEqual(t, running, 3*capacity, "latency stays within three times its minimum")
		}
		require.GreaterOrEqual(t, full, calls/2*9/10, "the service is fully used except while measuring")
	})
}

func TestAdaptiveControllerRefusesWhatPlainServiceCannotAnswerInTime(t *testing.T) {
	l, err := admission.NewLimiter(1, 1)
	require.NoError(t, err)
	c, err := admission.New(admission.Adaptive(l), admission.Rates(1000, time.Second))
	require.NoError(t, err)
	offer := func(id admission.AttemptID, deadline time.Duration) admission.Decision {
		return c.Offer(start, admission.Request{
			ID:           id,
			OutputTokens: 1,
			Deadline:     start.Add(deadline),
		})
	}
	require.Equal(t, admission.VerdictRun, offer("runs", 2*time.Second).Verdict)
	require.Equal(t, admission.VerdictQueued, offer("waits", 3*time.Second).Verdict)
	d := offer("late", time.Second)
	require.Equal(t, admission.VerdictRefused, d.Verdict)
	require.Positive(t, d.RetryAfter)
}

// TestPlainServiceMarginCoversTypicalCalls lets a controller measure calls of about 400 ms. It then checks when a
// queued call is refused, and that a call that can start immediately does so at any deadline.
func TestPlainServiceMarginCoversTypicalCalls(t *testing.T) {
	l, err := admission.NewLimiter(1, 1)
	require.NoError(t, err)
	c, err := admission.New(admission.Adaptive(l))
	require.NoError(t, err)
	now := start
	offer := func(id admission.AttemptID, deadline time.Duration) admission.Decision {
		return c.Offer(now, admission.Request{
			ID:       id,
			Deadline: now.Add(deadline),
		})
	}
	for i := range 200 {
		require.Equal(t, admission.VerdictRun, offer("learned", 10*time.Second).Verdict)
		now = now.Add(time.Duration(200+400*(i%2)) * time.Millisecond)
		c.Done(now, "learned", 1)
	}
	require.Equal(t, admission.VerdictRun, offer("runs", 10*time.Second).Verdict)
	require.Equal(t, admission.VerdictQueued, offer("waits", 5*time.Second).Verdict)
	wake, waiting := c.Wake()
	require.True(t, waiting)
	// The longest measured call took 600 ms.
	require.LessOrEqual(t, wake.Sub(now), 5*time.Second-600*time.Millisecond)
	require.GreaterOrEqual(t, wake.Sub(now), 5*time.Second/2)
	c.Cancel("waits")
	c.Done(now, "runs", 1)
	for _, deadline := range []time.Duration{time.Second, 300 * time.Millisecond, time.Millisecond} {
		require.Equal(t, admission.VerdictRun, offer("alone", deadline).Verdict, "an idle slow service still receives calls")
		c.Done(now, "alone", 0)
	}
}
