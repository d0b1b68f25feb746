package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/feed"
)

// probes advances a schedule in steps and returns how many probes were due. None may be due before UntilProbe.
func probes(c *feed.Calls, from time.Time, d time.Duration) int {
	n := 0
	next := from
	for at := from; at.Before(from.Add(d)); at = at.Add(10 * time.Millisecond) {
		due := c.ProbeDue(at)
		if due {
			n++
		}
		if due && at.Before(next) {
			return -1
		}
		next = at.Add(c.UntilProbe(at))
	}
	return n
}

func newCalls() *feed.Calls {
	return feed.NewCalls(time.Second, func(n int64) int64 { return n - 1 })
}

func TestServiceThatRespondsIsNotProbed(t *testing.T) {
	c := newCalls()
	now := start
	for range 20 {
		require.Positive(t, c.Begin(now))
		require.Zero(t, probes(c, now, time.Second))
		c.Succeeded(now.Add(time.Second))
		now = now.Add(time.Second + c.Pause(now.Add(time.Second)))
	}
	for range 20 {
		c.Begin(now)
		c.Failed(now.Add(time.Millisecond))
		require.Zero(t, probes(c, now, time.Second), "refused calls")
		now = now.Add(time.Second)
	}
}

func TestProbeEndsTheCallThatIsLost(t *testing.T) {
	c := newCalls()
	c.Begin(start)
	require.Zero(t, probes(c, start, time.Second+feed.ProbeInterval))
	late := start.Add(time.Second + feed.ProbeInterval)
	require.True(t, c.ProbeDue(late))
	require.True(t, c.ProbeAnswered(late.Add(time.Millisecond), late))
	c.Abandoned()
	require.Zero(t, c.Pause(late))
	// A slow service answers probes sooner than calls, which would be given up again and again.
	c.Begin(late)
	require.Zero(t, probes(c, late, time.Minute))
	require.False(t, c.ProbeAnswered(late.Add(time.Minute), late.Add(time.Second)))
}

func TestProbeEndsThePauseAfterACallThatWasNotAnswered(t *testing.T) {
	c := newCalls()
	now := start
	for range 10 {
		c.Begin(now)
		now = now.Add(2 * time.Second)
		c.Failed(now)
	}
	require.Positive(t, c.Pause(now))
	require.Equal(t, 4, probes(c, now, 4*feed.ProbeInterval))
	require.True(t, c.ProbeAnswered(now, now.Add(-time.Millisecond)))
	require.Zero(t, c.Pause(now))
	require.False(t, c.ProbeAnswered(now, now), "second answer")
}

func TestAnswerToAnEarlierProbeDoesNotEndACall(t *testing.T) {
	c := newCalls()
	c.Begin(start)
	c.Failed(start.Add(2 * time.Second))
	sent := start.Add(2 * time.Second)
	c.Begin(sent.Add(time.Millisecond))
	require.False(t, c.ProbeAnswered(sent.Add(time.Second/10), sent))
}

func TestAllKeysAreReadAtOnceAfterACompaction(t *testing.T) {
	c := newCalls()
	for range 5 {
		c.Begin(start)
		c.Failed(start)
	}
	c.Begin(start)
	c.Reset()
	require.Zero(t, c.Pause(start))
}
