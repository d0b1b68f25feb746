package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/suspect"
)

// flight returns a request in flight with a fingerprint.
func flight(f suspect.Fingerprint) suspect.Flight {
	return suspect.Flight{
		Fingerprint: f,
	}
}

// fingerprints returns the fingerprints of the requests in flight at a crash.
func fingerprints(d suspect.DetectedCrash) []suspect.Fingerprint {
	var all []suspect.Fingerprint
	for _, f := range d.InFlight {
		all = append(all, f.Fingerprint)
	}
	return all
}

func TestLosses(t *testing.T) {
	one := waxwingpick.Target{
		ID:              "one",
		StartUnixMillis: 1,
	}
	again := one
	again.StartUnixMillis = 2
	two := one
	two.ID = "two"
	// event is what the process observes of a target after a time.
	type event func(l *suspect.Losses, start time.Time) waxwingpick.Option[suspect.DetectedCrash]
	lost := func(target waxwingpick.Target, f suspect.Fingerprint, after time.Duration) event {
		return func(l *suspect.Losses, start time.Time) waxwingpick.Option[suspect.DetectedCrash] {
			return l.ResponseLost(start.Add(after), target, flight(f))
		}
	}
	down := func(target waxwingpick.Target, after time.Duration) event {
		return func(l *suspect.Losses, start time.Time) waxwingpick.Option[suspect.DetectedCrash] {
			return l.TargetDown(start.Add(after), target)
		}
	}
	tests := map[string]struct {
		events []event
		crash  string
		want   []suspect.Fingerprint
	}{
		"answers of a target that is up": {
			events: []event{lost(one, 1, 0), lost(one, 2, 0)},
		},
		"answers lost before the crash was detected": {
			events: []event{lost(one, 1, 0), lost(one, 2, 0), down(one, time.Second)},
			crash:  "one/1",
			want:   []suspect.Fingerprint{1, 2},
		},
		"answer lost after the crash was detected": {
			events: []event{down(one, 0), lost(one, 3, time.Second)},
			crash:  "one/1",
			want:   []suspect.Fingerprint{3},
		},
		"long before the crash": {
			events: []event{lost(one, 1, 0), down(one, 3*time.Second)},
		},
		"long after the crash": {
			events: []event{down(one, 0), lost(one, 1, 3*time.Second)},
		},
		"crash of another incarnation": {
			events: []event{lost(one, 1, 0), down(again, 0)},
		},
		"crash that was reported before": {
			events: []event{down(one, 0), down(one, time.Second)},
		},
		"crash of another target": {
			events: []event{lost(one, 1, 0), down(two, 0)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			losses := suspect.NewLosses()
			var last waxwingpick.Option[suspect.DetectedCrash]
			for _, e := range test.events {
				last = e(losses, start)
			}
			got, _ := last.Get()
			require.Equal(t, test.crash, got.Crash.ID)
			require.Equal(t, test.want, fingerprints(got))
		})
	}
}

// TestCrashesUnderOneIDAreCounted crashes a target that starts again under the same ID, before its new start is known.
// Crashes that count as one would never convict what causes them.
func TestCrashesUnderOneIDAreCounted(t *testing.T) {
	one := waxwingpick.Target{
		ID: "one",
	}
	now := time.Unix(1000, 0)
	losses := suspect.NewLosses()
	blame := suspect.NewBlame("gateway")
	fatal := []suspect.Candidate{suspect.PartCandidate("fatal")}
	for n := range 3 {
		require.Equal(t, suspect.StatusClean, blame.Decide(now, fatal, 0).Status)
		f := flight(suspect.Fingerprint(n))
		f.SentAt = now.Add(10 * time.Millisecond)
		f.Candidates = fatal
		now = now.Add(20 * time.Millisecond)
		_, early := losses.ResponseLost(now, one, f).Get()
		require.False(t, early, "the target had started again")
		crash, ok := losses.TargetDown(now, one).Get()
		require.True(t, ok)
		require.Equal(t, n, crash.Crash.Number)
		blame.Crashed(now, crash)
	}
	require.Equal(t, suspect.StatusRefused, blame.Decide(now, fatal, 0).Status)
}

// TestLossesConvictOnlyWhatWasInFlight draws responses that break off and crashes of targets. A refused request was in
// flight at two crashes, and a request that crashes each target that runs it is refused after the second one.
func TestLossesConvictOnlyWhatWasInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const culprit = suspect.Fingerprint(1)
		now := time.Unix(1000, 0)
		losses := suspect.NewLosses()
		set, err := suspect.NewSet()
		require.NoError(t, err)
		record := func(s waxwingpick.Option[suspect.DetectedCrash]) {
			if one, ok := s.Get(); ok {
				set.Crashed(now, one.Crash, fingerprints(one))
			}
		}
		crashed := make(map[suspect.Fingerprint]int)
		born := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			born++
			target := waxwingpick.Target{
				ID:              waxwingpick.TargetID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "target"))),
				StartUnixMillis: born,
			}
			crash := rapid.Bool().Draw(t, "crash")
			inFlight := make(map[suspect.Fingerprint]bool)
			for range rapid.IntRange(0, 4).Draw(t, "in flight") {
				inFlight[suspect.Fingerprint(rapid.IntRange(2, 40).Draw(t, "request"))] = true
			}
			if crash && set.Status(now, culprit) != suspect.StatusRefused {
				inFlight[culprit] = true
			}
			downFirst := crash && rapid.Bool().Draw(t, "crash detected first")
			if downFirst {
				record(losses.TargetDown(now, target))
			}
			for f := range inFlight {
				record(losses.ResponseLost(now, target, flight(f)))
				if crash {
					crashed[f]++
				}
			}
			if crash && !downFirst {
				record(losses.TargetDown(now, target))
			}
			for f, times := range crashed {
				refused := set.Status(now, f) == suspect.StatusRefused
				require.Equal(t, times >= 2, refused, "%s was in flight at %d crashes", f, times)
			}
		}
		require.LessOrEqual(t, crashed[culprit], 2)
	})
}
