package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/internal/rapidtest"
)

const (
	fairSlots      = 4
	fairService    = time.Second
	fairTicks      = 300
	fairDrainTicks = 60
	fairTick       = 100 * time.Millisecond
)

// running is an attempt that the simulated target ends at a set time.
type running struct {
	id  admission.AttemptID
	end time.Time
}

// lightRuns floods a target from one workspace while another one requests a quarter of its capacity. It returns how
// many requests of the light workspace ran, and how many were offered.
func lightRuns(heavyPerTick int, c *admission.Controller) (ran, offered int) {
	var active []running
	light := make(map[admission.AttemptID]bool)
	now := start
	take := func(d admission.Decision) {
		if d.Verdict != admission.VerdictRun {
			return
		}
		if light[d.ID] {
			ran++
		}
		active = append(active, running{
			id:  d.ID,
			end: now.Add(fairService),
		})
	}
	offer := func(name string, i int) {
		id := admission.AttemptID(fmt.Sprintf("%s-%d", name, i))
		light[id] = name == "light"
		take(c.Offer(now, admission.Request{
			ID:           id,
			Workspace:    waxwingpick.WorkspaceID(name),
			PromptTokens: 100,
			OutputTokens: 30,
			Deadline:     now.Add(5 * time.Second),
		}))
	}
	for tick := range fairTicks + fairDrainTicks {
		now = now.Add(fairTick)
		for len(active) > 0 && !active[0].end.After(now) {
			c.FirstToken(now, active[0].id)
			c.Done(now, active[0].id, 1)
			active = active[1:]
			next(c, now, take)
		}
		if tick >= fairTicks {
			next(c, now, take)
			continue
		}
		for i := range heavyPerTick {
			offer("heavy", tick*heavyPerTick+i)
		}
		if tick%10 == 0 {
			offered++
			offer("light", tick)
		}
		next(c, now, take)
	}
	return ran, offered
}

func next(c *admission.Controller, now time.Time, take func(admission.Decision)) {
	for {
		d, ok := c.Next(now)
		if !ok {
			return
		}
		take(d)
	}
}

func fairness(opts ...admission.Option) func(t *rapid.T) {
	return func(t *rapid.T) {
		c, err := admission.New(append([]admission.Option{
			admission.Slots(fairSlots),
			admission.Queue(64),
		}, opts...)...)
		require.NoError(t, err)
		ran, offered := lightRuns(rapid.IntRange(1, 20).Draw(t, "heavy"), c)
		require.Equal(t, offered, ran, "the light workspace's requests fit into its share")
	}
}

func TestHeavyWorkspaceCannotStarveOthers(t *testing.T) {
	rapid.Check(t, fairness())
	require.True(t, rapidtest.Fails(t, fairness(admission.Weights(func(string) float64 {
		return 1e9
	}))), "ordering by deadline alone starves the light workspace")
}

func TestWorkspaceRateIsBounded(t *testing.T) {
	c, err := admission.New(admission.WorkspaceRate(2, 3), admission.Slots(1000))
	require.NoError(t, err)
	verdicts := func(name string, now time.Time, n int) (ran int, last admission.Decision) {
		for i := range n {
			last = c.Offer(now, admission.Request{
				ID:        admission.AttemptID(fmt.Sprint(name, now.UnixNano(), i)),
				Workspace: waxwingpick.WorkspaceID(name),
				Deadline:  now.Add(time.Minute),
			})
			if last.Verdict == admission.VerdictRun {
				ran++
			}
		}
		return ran, last
	}
	ran, last := verdicts("a", start, 10)
	require.Equal(t, 3, ran)
	require.Equal(t, waxwingpick.ReasonRateLimit, last.Reason)
	require.Equal(t, 500*time.Millisecond, last.RetryAfter)
	ran, _ = verdicts("b", start, 10)
	require.Equal(t, 3, ran, "another workspace has its own rate")
	ran, _ = verdicts("a", start.Add(last.RetryAfter), 10)
	require.Equal(t, 1, ran, "one more request runs after RetryAfter")
	require.Error(t, c.Set(admission.WorkspaceRate(0, 1), admission.Slots(0)))
	ran, _ = verdicts("c", start, 10)
	require.Equal(t, 3, ran, "a rejected change has no effect")
	require.NoError(t, c.Set(admission.WorkspaceRate(0, 1)))
	ran, _ = verdicts("a", start.Add(time.Minute), 10)
	require.Equal(t, 10, ran)
}

// TestSharesFollowWeights keeps the queues of two workspaces full and compares how many requests of each run.
func TestSharesFollowWeights(t *testing.T) {
	c, err := admission.New(
		admission.Slots(fairSlots),
		admission.Weights(func(workspace string) float64 {
			if workspace == "paying" {
				return 3
			}
			return 1
		}),
	)
	require.NoError(t, err)
	ran := make(map[byte]int)
	var active []admission.AttemptID
	take := func(d admission.Decision) {
		if d.Verdict == admission.VerdictRun {
			ran[d.ID[0]]++
			active = append(active, d.ID)
		}
	}
	now := start
	for tick := range 200 {
		now = now.Add(fairService)
		ended := active
		active = nil
		for _, id := range ended {
			c.Done(now, id, 1)
			next(c, now, take)
		}
		for i := range 2 * fairSlots {
			for _, name := range []string{"paying", "other"} {
				take(c.Offer(now, admission.Request{
					ID:           admission.AttemptID(fmt.Sprint(name, tick, "-", i)),
					Workspace:    waxwingpick.WorkspaceID(name),
					OutputTokens: 30,
					Deadline:     now.Add(10 * time.Second),
				}))
			}
		}
		next(c, now, take)
	}
	share := float64(ran['p']) / float64(ran['o'])
	require.InDelta(t, 3, share, 0.75, "shares are within a quarter of the weights: %v", ran)
}
