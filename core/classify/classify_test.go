package classify_test

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/classify"
	"waxwingpick/core/config"
	"waxwingpick/internal/rapidtest"
)

var start = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 200)
}

func preset() config.Preset {
	return config.Preset{
		Classes: []config.ClassPolicy{
			{
				Class:      waxwingpick.ClassQuick,
				Deadline:   config.Duration(8 * time.Second),
				FirstToken: config.Duration(time.Second),
			},
			{
				Class:    waxwingpick.ClassLong,
				Deadline: config.Duration(2 * time.Minute),
			},
			{
				Class:    waxwingpick.ClassOrder,
				Deadline: config.Duration(5 * time.Second),
			},
		},
	}
}

func TestClassAndDeadline(t *testing.T) {
	c, err := classify.New(classify.WaitBounds(time.Second, time.Hour))
	require.NoError(t, err)
	for _, tc := range []struct {
		name     string
		req      classify.Request
		class    waxwingpick.Class
		deadline time.Duration
		urgency  int
	}{
		{"small prompt", classify.Request{BodyBytes: 400}, waxwingpick.ClassQuick, 8 * time.Second, 1},
		{"large prompt", classify.Request{BodyBytes: 40_000}, waxwingpick.ClassLong, 2 * time.Minute, 5},
		{"large output", classify.Request{MaxTokens: 4000}, waxwingpick.ClassLong, 2 * time.Minute, 5},
		{"not repeatable", classify.Request{NotRepeatable: true, BodyBytes: 40_000}, waxwingpick.ClassOrder, 5 * time.Second, 0},
		{"low priority", classify.Request{Priority: "u=6, i"}, waxwingpick.ClassLong, 2 * time.Minute, 6},
		{"high priority", classify.Request{Priority: "i, u=0"}, waxwingpick.ClassQuick, 8 * time.Second, 0},
		{"invalid priority", classify.Request{Priority: "u=9"}, waxwingpick.ClassQuick, 8 * time.Second, 1},
		{"wait", classify.Request{Prefer: "respond-async, wait=20"}, waxwingpick.ClassQuick, 20 * time.Second, 1},
		{"wait under the bound", classify.Request{Prefer: "wait=0"}, waxwingpick.ClassQuick, time.Second, 1},
		{"wait over the bound", classify.Request{Prefer: "wait=99999"}, waxwingpick.ClassQuick, time.Hour, 1},
		{"invalid wait", classify.Request{Prefer: "wait=-4"}, waxwingpick.ClassQuick, 8 * time.Second, 1},
		{"forced", classify.Request{Class: waxwingpick.Some(waxwingpick.ClassLong)}, waxwingpick.ClassLong, 2 * time.Minute, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := c.Classify(start, preset(), tc.req)
			require.Equal(t, tc.class, r.Class)
			require.Equal(t, start.Add(tc.deadline), r.Deadline)
			require.Equal(t, tc.urgency, r.Urgency)
			require.Equal(t, tc.deadline, classify.Remaining(start, r.Deadline))
			require.Zero(t, classify.Remaining(r.Deadline.Add(1), r.Deadline))
		})
	}
}

// TestEstimateFollowsTheWorkspace compares the estimate with the exact quantile of the recorded token counts.
func TestEstimateFollowsTheWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, err := classify.New(classify.Quantile(0.7))
		require.NoError(t, err)
		tokens := rapid.SliceOfN(rapid.IntRange(1, 8000), 20, 200).Draw(t, "tokens")
		for _, n := range tokens {
			c.Observe("a", waxwingpick.ClassQuick, 900, 300, n)
		}
		r := c.Classify(start, preset(), classify.Request{
			Workspace: "a",
			BodyBytes: 600,
		})
		slices.Sort(tokens)
		exact := float64(tokens[int(math.Ceil(0.7*float64(len(tokens))))-1])
		// A bucket spans half an octave.
		require.GreaterOrEqual(t, float64(r.OutputTokens)+1, exact)
		require.LessOrEqual(t, float64(r.OutputTokens), exact*math.Sqrt2*math.Sqrt2)
		require.Equal(t, 200, r.PromptTokens, "the recorded ratio is three bytes per token")
	})
}

func TestEstimateFollowsAShiftOfTheMix(t *testing.T) {
	c, err := classify.New()
	require.NoError(t, err)
	estimate := func() int {
		return c.Classify(start, preset(), classify.Request{Workspace: "a"}).OutputTokens
	}
	for range 5000 {
		c.Observe("a", waxwingpick.ClassQuick, 400, 100, 50)
	}
	require.Less(t, estimate(), 100)
	for range 500 {
		c.Observe("a", waxwingpick.ClassQuick, 400, 100, 700)
	}
	require.Greater(t, estimate(), 500)
}

func TestMemoryIsBounded(t *testing.T) {
	const bound = 1600
	c, err := classify.New(classify.Workspaces(bound))
	require.NoError(t, err)
	for i := range 10 * bound {
		c.Observe(waxwingpick.WorkspaceID(fmt.Sprint(i)), waxwingpick.ClassQuick, 400, 100, 50)
	}
	require.LessOrEqual(t, c.Workspaces(), bound)
}

func TestEqualPrefixesHaveEqualBlocks(t *testing.T) {
	prompt := make([]byte, 30_000)
	blocks := classify.PrefixBlocks(nil, "m", prompt, 8)
	require.Len(t, blocks, 3)
	longer := classify.PrefixBlocks(nil, "m", append(slices.Clone(prompt), prompt...), 8)
	require.Equal(t, blocks, longer[:3])
	require.NotEqual(t, blocks, classify.PrefixBlocks(nil, "n", prompt, 8), "another model shares no cache")
	prompt[0] = 1
	changed := classify.PrefixBlocks(nil, "m", prompt, 8)
	for i := range blocks {
		require.NotEqual(t, blocks[i], changed[i])
	}
}

func BenchmarkClassify(b *testing.B) {
	c, err := classify.New()
	require.NoError(b, err)
	names := make([]waxwingpick.WorkspaceID, 5800)
	for i := range names {
		names[i] = waxwingpick.WorkspaceID(fmt.Sprint("workspace-", i))
		for range 10 {
			c.Observe(names[i], waxwingpick.ClassQuick, 400, 100, 50)
		}
	}
	p := preset()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		c.Classify(start, p, classify.Request{
			Workspace: names[i%len(names)],
			BodyBytes: 1000,
			Prefer:    "wait=10",
			Priority:  "u=1",
		})
	}
}

// BenchmarkWorkspaceMemory reports the heap size of the history of one workspace.
func BenchmarkWorkspaceMemory(b *testing.B) {
	const workspaces = 5800
	for b.Loop() {
		before := heap()
		c, err := classify.New()
		require.NoError(b, err)
		for i := range workspaces {
			for _, class := range waxwingpick.Classes() {
				c.Observe(waxwingpick.WorkspaceID(fmt.Sprint("workspace-", i)), class, 400, 100, 50)
			}
		}
		b.ReportMetric(float64(heap()-before)/workspaces, "B/workspace")
		require.Equal(b, workspaces, c.Workspaces())
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
