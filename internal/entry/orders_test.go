package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
)

func TestFinalRefusalIsUnknownAfterPossibleRun(t *testing.T) {
	refusal := waxwingpick.NotRun(waxwingpick.ReasonOverload, time.Second, "full")
	require.Equal(t, refusal, finalRefusal(refusal, false))
	require.Equal(t, &waxwingpick.Refusal{
		Outcome:    waxwingpick.OutcomeUnknown,
		Reason:     waxwingpick.ReasonOverload,
		RetryAfter: time.Second,
		Detail:     "full",
	}, finalRefusal(refusal, true))
}
