package burn_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/burn"
	"waxwingpick/core/config"
	"waxwingpick/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 500)
}

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newRecorder(t require.TestingT) *burn.Recorder {
	r, err := burn.New()
	require.NoError(t, err)
	return r
}

type response struct {
	at   time.Time
	good bool
}

// countOf is the oracle: the responses in the complete buckets of the window that ends now.
func countOf(responses []response, now time.Time, window, width time.Duration) burn.Counts {
	var counts burn.Counts
	oldest := now.Truncate(width).Add(width - window)
	for _, a := range responses {
		if a.at.Before(oldest) {
			continue
		}
		if a.good {
			counts.Good++
			continue
		}
		counts.Bad++
	}
	return counts
}

func TestMergedWindowsContainAllResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := []*burn.Recorder{newRecorder(t), newRecorder(t), newRecorder(t)}
		var responses []response
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "seconds")) * time.Second)
			a := response{
				at:   now,
				good: rapid.Bool().Draw(t, "good"),
			}
			responses = append(responses, a)
			entries[rapid.IntRange(0, 2).Draw(t, "entry")].Record(now, burn.Event{
				Class:  waxwingpick.ClassOrder,
				Preset: "peak",
				Good:   a.good,
			})
		}
		merged := burn.Merge(entries[0].Snapshot(now), burn.Merge(entries[1].Snapshot(now), entries[2].Snapshot(now)))
		require.Len(t, merged.Series, 2)
		for _, s := range merged.Series {
			require.Equal(t, countOf(responses, now, 5*time.Minute, time.Minute), s.Windows.FiveMinutes)
			require.Equal(t, countOf(responses, now, 30*time.Minute, time.Minute), s.Windows.ThirtyMinutes)
			require.Equal(t, countOf(responses, now, time.Hour, time.Minute), s.Windows.OneHour)
			require.Equal(t, countOf(responses, now, 6*time.Hour, 5*time.Minute), s.Windows.SixHours)
		}
	})
}

func TestWorstWorkspacesAreKeptInBoundedMemory(t *testing.T) {
	const bound, workspaces = 32, 5800
	r, err := burn.New(burn.WithBound(burn.DimensionWorkspace, bound))
	require.NoError(t, err)
	for i := range 3 * workspaces {
		e := burn.Event{
			Class:     waxwingpick.ClassQuick,
			Workspace: waxwingpick.WorkspaceID(fmt.Sprint(i % workspaces)),
		}
		if i%10 == 0 {
			e.Workspace = "worst"
		}
		r.Record(start, e)
	}
	snapshot := r.Snapshot(start)
	require.LessOrEqual(t, len(snapshot.Series), 1+bound*len(waxwingpick.Classes()))
	evaluation := burn.Evaluate(snapshot, nil)
	require.Equal(t, "worst", evaluation.Burners[0].Key.Name)
}

// TestWorstGivesSameReport compares the evaluations of several entries' counts with and without the reduction
// by Worst.
func TestWorstGivesSameReport(t *testing.T) {
	const names = 20
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var complete, reduced []burn.Snapshot
		for entry := range 3 {
			r := newRecorder(t)
			for range rapid.IntRange(0, 60).Draw(t, fmt.Sprintf("answers of entry %d", entry)) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
				r.Record(now, burn.Event{
					Class:     waxwingpick.ClassQuick,
					Preset:    "peak",
					Workspace: waxwingpick.WorkspaceID(fmt.Sprint(rapid.IntRange(1, names).Draw(t, "workspace"))),
					Good:      rapid.Bool().Draw(t, "good"),
				})
			}
			complete = append(complete, r.Snapshot(now))
			reduced = append(reduced, r.Snapshot(now).Worst(names))
		}
		want, got := burn.Evaluate(burn.Merge(complete...), nil), burn.Evaluate(burn.Merge(reduced...), nil)
		require.Equal(t, badOnly(want), badOnly(got))
	})
}

// badOnly clears the good counts of names, because an entry does not report names without bad responses.
func badOnly(e burn.Evaluation) burn.Evaluation {
	for i := range e.Burners {
		e.Burners[i].OneHour.Good = 0
	}
	return e
}

// alertInputs holds on each line the bad responses, the good responses, and their age in minutes.
const alertInputs = `1 99 0
20 80 0
10 90 0
20 80 40
20 80 20
2 0 0
3 0 0
0 0 0
`

func TestAlerts(t *testing.T) {
	policy := config.ClassPolicy{
		Class:     waxwingpick.ClassLong,
		Objective: 0.99,
	}
	var out strings.Builder
	for line := range strings.Lines(alertInputs) {
		var bad, good, age int
		_, err := fmt.Sscan(line, &bad, &good, &age)
		require.NoError(t, err)
		r := newRecorder(t)
		for i := range bad + good {
			r.Record(start, burn.Event{
				Class: waxwingpick.ClassLong,
				Good:  i >= bad,
			})
		}
		now := start.Add(time.Duration(age) * time.Minute)
		evaluation := burn.Evaluate(r.Snapshot(now), []config.ClassPolicy{policy})
		fmt.Fprintf(&out, "%2d bad, %2d good, %2d minutes ago: %s\n", bad, good, age, evaluation.Alert)
	}
	goldie.New(t).Assert(t, "alerts", []byte(out.String()))
}

func BenchmarkRecord(b *testing.B) {
	r := newRecorder(b)
	e := burn.Event{
		Class:     waxwingpick.ClassQuick,
		Preset:    "ordinary",
		Target:    "maestro-1",
		Workspace: "tanzplan",
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(start, e)
	}
}
