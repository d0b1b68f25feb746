package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/admission"
)

var start = time.Unix(1_000_000, 0)

func BenchmarkAdmission(b *testing.B) {
	for _, waiting := range []int{0, 64, 256} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			benchmarkAdmission(b, waiting)
		})
	}
}

// benchmarkAdmission keeps a number of attempts queued behind full slots. Each iteration offers one attempt, ends one
// and handles the resulting decisions.
func benchmarkAdmission(b *testing.B, waiting int) {
	const slots = 32
	c, err := admission.New(admission.Slots(slots), admission.Queue(waiting+1))
	require.NoError(b, err)
	ids := make([]admission.AttemptID, 4*(slots+waiting+1))
	workspaces := make([]waxwingpick.WorkspaceID, 5800)
	for i := range ids {
		ids[i] = admission.AttemptID(fmt.Sprintf("attempt-%d", i))
	}
	for i := range workspaces {
		workspaces[i] = waxwingpick.WorkspaceID(fmt.Sprintf("workspace-%d", i))
	}
	now := start
	running := make([]admission.AttemptID, 0, 2*slots)
	take := func(d admission.Decision) {
		if d.Verdict == admission.VerdictRun {
			running = append(running, d.ID)
		}
	}
	i := 0
	offer := func() {
		i++
		take(c.Offer(now, admission.Request{
			ID:           ids[i%len(ids)],
			Workspace:    workspaces[(i*7919)%len(workspaces)],
			PromptTokens: 1000,
			OutputTokens: 40,
			Deadline:     now.Add(time.Hour),
		}))
	}
	for range slots + waiting {
		offer()
	}
	require.Equal(b, waiting, c.Load(now).Queued)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(30 * time.Millisecond)
		offer()
		c.FirstToken(now, running[0])
		c.Done(now, running[0], 40)
		running = append(running[:0], running[1:]...)
		next(c, now, take)
	}
	require.Equal(b, waiting, c.Load(now).Queued)
}
