package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/bodyend"
)

// identifier answers as an incarnation of a target once it is released, and counts the questions.
type identifier struct {
	waxwingpick.Dispatcher
	asked   atomic.Int64
	begun   chan struct{}
	release chan struct{}
	answer  func(n int64) waxwingpick.Identity
}

func (i *identifier) Identify(context.Context, waxwingpick.Target, string) (waxwingpick.Identity, error) {
	n := i.asked.Add(1)
	i.begun <- struct{}{}
	<-i.release
	return i.answer(n), nil
}

// TestEndsOfOneCrashShareACheck ends 1000 responses of a target at once, and one more when the target has been asked. That one may
// be due to a second crash, so that it needs a check of its own.
func TestEndsOfOneCrashShareACheck(t *testing.T) {
	const ends = 1000
	targets := &identifier{
		begun:   make(chan struct{}),
		release: make(chan struct{}),
		answer: func(n int64) waxwingpick.Identity {
			return waxwingpick.Identity{
				StartUnixMillis: waxwingpick.Some(n),
			}
		},
	}
	p, clock := newProcess(t, targets)
	sender := waxwingpick.Target{
		ID:              "one",
		StartUnixMillis: 1,
	}
	askNext := func() {
		for {
			select {
			case <-targets.begun:
				return
			case <-time.After(time.Millisecond):
				clock.Advance(endCheckDelay)
			}
		}
	}
	shared, first := p.endChecker.join(sender)
	require.True(t, first)
	for range ends {
		joined, first := p.endChecker.join(sender)
		require.False(t, first)
		require.Same(t, shared, joined)
	}
	p.loops.Go(func() { p.endChecker.run(shared, sender, "") })
	askNext()
	late, first := p.endChecker.join(sender)
	require.True(t, first)
	p.loops.Go(func() { p.endChecker.run(late, sender, "") })
	askNext()
	require.EqualValues(t, 2, targets.asked.Load())
	close(targets.release)
	p.loops.Wait()
	require.Equal(t, bodyend.VerdictComplete, shared.verdict)
	require.Equal(t, bodyend.VerdictBroken, late.verdict)
	require.Empty(t, p.endChecker.pending)
}

// TestCheckEndsWithItsRequest has a caller disconnect while its target is asked.
func TestCheckEndsWithItsRequest(t *testing.T) {
	p, _ := newProcess(t, &identifier{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	verdict, err := p.endChecker.check(ctx, waxwingpick.Target{
		ID: "one",
	}, "")
	require.Equal(t, bodyend.VerdictUnknown, verdict)
	require.ErrorIs(t, err, context.Canceled)
	p.cancel()
}

// TestExitOfALeavingTargetIsNoCrash ends a response with its connection, after which its target is gone. No request may be blamed
// for the exit of a target that leaves in order.
func TestExitOfALeavingTargetIsNoCrash(t *testing.T) {
	one := waxwingpick.Target{
		ID:              "one",
		StartUnixMillis: 1,
	}
	entry := func(leaving bool, start int64) []waxwingpick.Target {
		return []waxwingpick.Target{{
			ID:              "one",
			StartUnixMillis: start,
			Leaving:         leaving,
		}}
	}
	for name, tc := range map[string]struct {
		listed []waxwingpick.Target
		states bool
		crash  bool
	}{
		"listed as ready":              {listed: entry(false, 1), crash: true},
		"listed as leaving":            {listed: entry(true, 1)},
		"later incarnation is leaving": {listed: entry(true, 2), crash: true},
		"entry removed":                {},
		"states that it leaves":        {listed: entry(false, 1), states: true},
	} {
		t.Run(name, func(t *testing.T) {
			p, clock := newProcess(t, unused{})
			p.list.Replace(clock.Now(), tc.listed)
			p.statements.setTargets(clock.Now(), tc.listed)
			p.statements.observe(clock.Now(), clock.Now(), one, waxwingpick.Statement{
				Leaving: tc.states,
			}, true)
			x := &exchange{
				process: p,
				in: &waxwingpick.Inbound{
					ID: "id",
				},
			}
			x.checkCrash(selection{
				target: one,
			}, sendResult{
				err:     fmt.Errorf("%w: %w: %w", waxwingpick.ErrEngineLost, waxwingpick.ErrEndUnproven, errTargetEnded),
				sentAt:  clock.Now(),
				beganAt: waxwingpick.Some(clock.Now()),
			})
			suspected, _ := p.crashTracker.blame.Counts(clock.Now())
			require.Equal(t, tc.crash, suspected > 0)
		})
	}
}
