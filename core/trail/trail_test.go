package trail

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
)

// recorder records the trails that are written.
type recorder struct {
	records []waxwingpick.Decisions
}

func (w *recorder) Write(d waxwingpick.Decisions) {
	w.records = append(w.records, d)
}

func start() time.Time {
	return time.Unix(1_800_000_000, 0)
}

func TestTrailsAreWrittenAtTheirEnd(t *testing.T) {
	tests := []struct {
		name    string
		notable bool
		late    bool
		lanes   []waxwingpick.LogClass
	}{
		{
			name:  "request succeeded",
			lanes: []waxwingpick.LogClass{waxwingpick.LogClassRoutine},
		},
		{
			name:    "refused",
			notable: true,
			lanes:   []waxwingpick.LogClass{waxwingpick.LogClassKept},
		},
		{
			name:  "decision after the end",
			late:  true,
			lanes: []waxwingpick.LogClass{waxwingpick.LogClassRoutine, waxwingpick.LogClassKept},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out := &recorder{}
			trail := New(out, "entry-0").Begin("a")
			trail.Add(waxwingpick.ActionAccept.Of(start(), "quick"))
			if test.notable {
				trail.AddNotable(waxwingpick.ActionRetry.Of(start(), "refused"))
			}
			require.Empty(t, out.records)
			trail.End(start())
			trail.End(start())
			if test.late {
				trail.Add(waxwingpick.ActionAttempt.Of(start(), "lost"))
			}
			var lanes []waxwingpick.LogClass
			for _, d := range out.records {
				lanes = append(lanes, d.LogClass)
				require.Equal(t, waxwingpick.RequestID("a"), d.Request)
				require.Equal(t, waxwingpick.InstanceID("entry-0"), d.Instance)
			}
			require.Equal(t, test.lanes, lanes)
			require.Equal(t, waxwingpick.ActionAccept, out.records[0].List[0].Action)
		})
	}
}

func TestTrailLengthIsLimited(t *testing.T) {
	out := &recorder{}
	trail := New(out, "entry-0").Begin("a")
	for range maxDecisions + 5 {
		trail.AddNotable(waxwingpick.ActionRetry.Of(start(), "retried"))
	}
	trail.End(start())
	require.Len(t, out.records[0].List, maxDecisions)
	require.Equal(t, 5, out.records[0].Omitted)
}

func TestNothingIsCollectedWithoutLog(t *testing.T) {
	trail := New(nil, "entry-0").Begin("a")
	trail.AddNotable(waxwingpick.ActionRetry.Of(start(), "retried"))
	trail.End(start())
	require.Empty(t, trail.list)
}

// TestFailuresAreKeptUnderAnyLoad ends requests at drawn rates. Each notable one is written. Of the others at most
// maxPerSecond are written per second, and all at low load.
func TestFailuresAreKeptUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		out := &recorder{}
		log := New(out, "entry-0")
		seconds := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 8).Draw(t, "perSecond")
		failures := 0
		for second, n := range seconds {
			before := len(out.records)
			failed := 0
			for i := range n {
				now := start().Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(n))
				trail := log.Begin(waxwingpick.RequestID(fmt.Sprintf("%d-%d", second, i)))
				if i%17 == 0 {
					failed++
					trail.AddNotable(waxwingpick.ActionRespond.Of(now, "refused"))
				}
				trail.End(now)
			}
			failures += failed
			routine := len(out.records) - before - failed
			idle := n <= unsampledPerSecond && (second == 0 || seconds[second-1] <= unsampledPerSecond)
			if idle && routine != n-failed {
				t.Fatalf("%d of %d kept in a second with low load", routine, n-failed)
			}
			if routine > maxPerSecond {
				t.Fatalf("%d of %d kept in a second", routine, n)
			}
		}
		kept := 0
		for _, d := range out.records {
			if d.LogClass == waxwingpick.LogClassKept {
				kept++
			}
		}
		if kept != failures {
			t.Fatalf("%d of %d failures kept", kept, failures)
		}
	})
}

// TestBusyAndIdleProcessesSampleTheSameRequests samples the same requests in two processes, one of which has eight times
// the load.
func TestBusyAndIdleProcessesSampleTheSameRequests(t *testing.T) {
	busy, idle := &recorder{}, &recorder{}
	logs := [2]*Log{New(busy, "entry-0"), New(idle, "sidecar-0")}
	const seconds, perSecond = 20, 800
	for i := range seconds * perSecond {
		now := start().Add(time.Duration(i) * time.Second / perSecond)
		id := waxwingpick.RequestID(fmt.Sprintf("request-%d", i))
		logs[0].Begin(id).End(now)
		if i%8 == 0 {
			logs[1].Begin(id).End(now)
		}
	}
	sampled := make(map[waxwingpick.RequestID]bool)
	for _, d := range idle.records {
		sampled[d.Request] = true
	}
	shared := 0
	for _, d := range busy.records {
		if sampled[d.Request] {
			shared++
		}
	}
	// The busy process keeps one request in sixteen, and an eighth of these are also handled by the idle one.
	require.Greater(t, shared, len(busy.records)/16)
	require.Greater(t, len(idle.records), seconds*unsampledPerSecond/4)
}
