package stream_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/stream"
)

// TestFailTellsNotRunOnlyWhereNothingRan fails an answer as not run at different stages of an attempt.
func TestFailTellsNotRunOnlyWhereNothingRan(t *testing.T) {
	cases := []struct {
		name  string
		begin func(a *stream.Assembly)
		want  waxwingpick.Outcome
	}{
		{"nothing was sent", func(*stream.Assembly) {}, waxwingpick.OutcomeNotRun},
		{"the only attempt was refused", func(a *stream.Assembly) {
			a.HandleBreak("a", waxwingpick.NotRun(waxwingpick.ReasonOverload, 0, ""))
		}, waxwingpick.OutcomeNotRun},
		{"an attempt was lost before its first event", func(a *stream.Assembly) {
			a.HandleBreak("a", waxwingpick.ErrStreamNotFound)
		}, waxwingpick.OutcomeUnknown},
		{"an event was accepted", func(a *stream.Assembly) {
			a.Accept("a", 0, []byte("x"), false)
		}, waxwingpick.OutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a, err := stream.New("a", stream.WithRepeatable())
			require.NoError(t, err)
			tc.begin(a)
			a.Fail(waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "no target"))
			a.Take()
			ended, refusal := a.Finished()
			require.True(t, ended)
			require.Equal(t, tc.want, refusal.Outcome)
		})
	}
}

// TestMovesAreNoFailedTries moves an answer more often than it may fail. The naive variant handles a move as a break.
func TestMovesAreNoFailedTries(t *testing.T) {
	variants := map[stream.StepKind]func(a *stream.Assembly, attempt string) stream.Step{
		stream.StepContinue: (*stream.Assembly).HandleMove,
		stream.StepFail: func(a *stream.Assembly, attempt string) stream.Step {
			return a.HandleBreak(attempt, waxwingpick.ErrStreamNotFound)
		},
	}
	for want, move := range variants {
		a, err := stream.New("0", stream.WithRepeatable(), stream.WithLimits(1, 4))
		require.NoError(t, err)
		var step stream.Step
		for i := range 6 {
			a.Accept(fmt.Sprint(i), 0, []byte("x"), false)
			step = move(a, fmt.Sprint(i))
			if step.Kind == stream.StepFail {
				break
			}
			a.Restart(fmt.Sprint(i + 1))
		}
		require.Equal(t, want, step.Kind)
	}
}
