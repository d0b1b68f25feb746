package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/admission"
)

// TestBegunAnswerGoesOn offers a response in progress that is predicted to be late, and one of a workspace over its
// rate.
func TestBegunAnswerGoesOn(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		prompt int
		want   waxwingpick.Reason
	}{
		"predicted too late": {prompt: 1_000_000, want: waxwingpick.ReasonDeadline},
		"rate used up":       {prompt: 1, want: waxwingpick.ReasonRateLimit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := admission.New(admission.WorkspaceRate(0.1, 1))
			require.NoError(t, err)
			offer := func(id admission.AttemptID, prompt int, begun bool) admission.Decision {
				return c.Offer(now, admission.Request{
					ID:           id,
					Workspace:    "a",
					Class:        waxwingpick.ClassLong,
					PromptTokens: prompt,
					OutputTokens: 1,
					Deadline:     now.Add(time.Second),
					Continuation: begun,
				})
			}
			require.Equal(t, admission.VerdictRun, offer("first", 1, false).Verdict)
			c.Done(now, "first", 1)
			require.Equal(t, test.want, offer("new", test.prompt, false).Reason)
			require.Equal(t, admission.VerdictRun, offer("begun", test.prompt, true).Verdict)
		})
	}
}
