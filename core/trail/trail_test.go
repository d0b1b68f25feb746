package trail

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
)

// written keeps what trails write.
type written struct {
	all []waxwingpick.Decisions
}

func (w *written) Write(d waxwingpick.Decisions) {
	w.all = append(w.all, d)
}

func start() time.Time {
	return time.Unix(1_800_000_000, 0)
}

func TestTrailsAreWrittenAtTheirEnd(t *testing.T) {
	tests := []struct {
		name    string
		notable bool
		late    bool
		lanes   []waxwingpick.Lane
	}{
		{
			name:  "went well",
			lanes: []waxwingpick.Lane{waxwingpick.LaneRoutine},
		},
		{
			name:    "refused",
			notable: true,
			lanes:   []waxwingpick.Lane{waxwingpick.LaneKept},
		},
		{
			name:  "decision after the end",
			late:  true,
			lanes: []waxwingpick.Lane{waxwingpick.LaneRoutine, waxwingpick.LaneKept},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out := &written{}
			trail := New(out, "entry-0").Begin("a")
			trail.Add(waxwingpick.ActionAccept.Of(start(), "quick"))
			if test.notable {
				trail.Note(waxwingpick.ActionRetry.Of(start(), "refused"))
			}
			require.Empty(t, out.all)
			trail.End(start())
			trail.End(start())
			if test.late {
				trail.Add(waxwingpick.ActionAttempt.Of(start(), "lost"))
			}
			var lanes []waxwingpick.Lane
			for _, d := range out.all {
				lanes = append(lanes, d.Lane)
				require.Equal(t, waxwingpick.RequestID("a"), d.Request)
				require.Equal(t, waxwingpick.InstanceID("entry-0"), d.Instance)
			}
			require.Equal(t, test.lanes, lanes)
			require.Equal(t, waxwingpick.ActionAccept, out.all[0].List[0].Action)
		})
	}
}

func TestLongTrailsAreBounded(t *testing.T) {
	out := &written{}
	trail := New(out, "entry-0").Begin("a")
	for range maxDecisions + 5 {
		trail.Note(waxwingpick.ActionRetry.Of(start(), "retried"))
	}
	trail.End(start())
	require.Len(t, out.all[0].List, maxDecisions)
	require.Equal(t, 5, out.all[0].Omitted)
}

func TestNothingIsGatheredWithoutALog(t *testing.T) {
	trail := New(nil, "entry-0").Begin("a")
	trail.Note(waxwingpick.ActionRetry.Of(start(), "retried"))
	trail.End(start())
	require.Empty(t, trail.list)
}

// TestFailuresAreKeptUnderAnyLoad ends requests at drawn rates: each notable one is written whole, and of the others a
// second has at most mostPerSecond, and all where the load is small.
func TestFailuresAreKeptUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		out := &written{}
		log := New(out, "entry-0")
		seconds := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 8).Draw(t, "perSecond")
		failures := 0
		for second, n := range seconds {
			before := len(out.all)
			failed := 0
			for i := range n {
				now := start().Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(n))
				trail := log.Begin(waxwingpick.RequestID(fmt.Sprintf("%d-%d", second, i)))
				if i%17 == 0 {
					failed++
					trail.Note(waxwingpick.ActionAnswer.Of(now, "refused"))
				}
				trail.End(now)
			}
			failures += failed
			routine := len(out.all) - before - failed
			quiet := n <= wholePerSecond && (second == 0 || seconds[second-1] <= wholePerSecond)
			if quiet && routine != n-failed {
				t.Fatalf("%d of %d kept in a quiet second", routine, n-failed)
			}
			if routine > mostPerSecond {
				t.Fatalf("%d of %d kept in a second", routine, n)
			}
		}
		kept := 0
		for _, d := range out.all {
			if d.Lane == waxwingpick.LaneKept {
				kept++
			}
		}
		if kept != failures {
			t.Fatalf("%d of %d failures kept", kept, failures)
		}
	})
}

// TestBusyProcessesKeepWhatQuietOnesDo samples the same requests at two processes of which one has eight times the load.
func TestBusyProcessesKeepWhatQuietOnesDo(t *testing.T) {
	busy, quiet := &written{}, &written{}
	logs := [2]*Log{New(busy, "entry-0"), New(quiet, "sidecar-0")}
	const seconds, perSecond = 20, 800
	for i := range seconds * perSecond {
		now := start().Add(time.Duration(i) * time.Second / perSecond)
		id := waxwingpick.RequestID(fmt.Sprintf("request-%d", i))
		logs[0].Begin(id).End(now)
		if i%8 == 0 {
			logs[1].Begin(id).End(now)
		}
	}
	at := make(map[waxwingpick.RequestID]bool)
	for _, d := range quiet.all {
		at[d.Request] = true
	}
	shared := 0
	for _, d := range busy.all {
		if at[d.Request] {
			shared++
		}
	}
	// The busy process keeps one in sixteen, of which an eighth came through the quiet one.
	require.Greater(t, shared, len(busy.all)/16)
	require.Greater(t, len(quiet.all), seconds*wholePerSecond/4)
}
