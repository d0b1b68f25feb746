package suspect_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick/core/suspect"
	"waxwingpick/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 3000)
}

const crashLimit = 2

func crashAt(id string, at time.Time) suspect.Crash {
	return suspect.Crash{
		ID: id,
		At: at,
	}
}

// sequential simulates a caller that sends its request again, through any entry, after each failure.
func sequential(m mode) rapidtest.Episode {
	return func(d rapidtest.Draw) error {
		return newSimulation(m).drive(d)
	}
}

// concurrent simulates a caller that sends many copies through all entries concurrently, after all entries have received
// the record of the first crash. That of the second arrives late or never.
func concurrent(m mode) rapidtest.Episode {
	return func(d rapidtest.Draw) error {
		sim := newSimulation(m)
		sim.mode.pushed = true
		sim.send(poison, 0, d(simulatedTargets))
		sim.crash(0)
		sim.mode.pushed = false
		return sim.drive(d)
	}
}

// sequentialMode is the mode of a caller that waits for each failure, which arrives after the records of the crash.
func sequentialMode() mode {
	return mode{
		oneCopy: true,
		pushed:  true,
	}
}

func TestOneRequestCrashesAtMostTwoTargetsWhenSentAgainAfterFailures(t *testing.T) {
	rapidtest.Check(t, sequential(sequentialMode()))
	withProgress := sequentialMode()
	withProgress.showsProgress = true
	rapidtest.Check(t, sequential(withProgress))
}

func TestConcurrentCopiesOfASuspectCrashOneMoreTargetHoweverLateTheSpreading(t *testing.T) {
	rapidtest.Check(t, concurrent(mode{}))
}

func TestNaiveVariantsAreCaught(t *testing.T) {
	noSharing, unpushed, noIsolation := sequentialMode(), sequentialMode(), sequentialMode()
	noSharing.noSharing = true
	unpushed.pushed = false
	noIsolation.noIsolation = true
	require.Error(t, rapidtest.FirstViolation(sequential(noSharing)), "only the crashed target's sidecar counts the crash")
	require.Error(t, rapidtest.FirstViolation(sequential(unpushed)), "records arrive after the caller's failure")
	require.Error(t, rapidtest.FirstViolation(sequential(noIsolation)), "suspects run concurrently on one target")
	noOwner := mode{
		noOwner: true,
	}
	require.Error(t, rapidtest.FirstViolation(concurrent(noOwner)), "suspects run on any target")
}

func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Unix(1_000_000, 0)
		records := make([]suspect.Record, rapid.IntRange(1, 12).Draw(t, "records"))
		for i := range records {
			at := base.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "at")) * time.Second)
			records[i] = suspect.Record{
				Fingerprint: suspect.Fingerprint(rapid.IntRange(1, 2).Draw(t, "fingerprint")),
			}
			if rapid.Bool().Draw(t, "lift") {
				records[i].Lifted = at
				continue
			}
			records[i].Crashes = []suspect.Crash{
				crashAt(fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "crash")), at),
			}
		}
		now := base.Add(time.Minute)
		a, b, c := newSet(), newSet(), newSet()
		a.Merge(now, records)
		shuffled := rapid.Permutation(records).Draw(t, "order")
		half := len(shuffled) / 2
		b.Merge(now, shuffled[:half])
		c.Merge(now, shuffled[half:])
		c.Merge(now, b.Records(now))
		c.Merge(now, slices.Clone(shuffled))
		require.Equal(t, a.Records(now), c.Records(now))
	})
}

func TestSuspicionExpiresAndIsLifted(t *testing.T) {
	s, err := suspect.NewSet(suspect.WithExpiry(time.Hour))
	require.NoError(t, err)
	now := time.Unix(1_000_000, 0)
	for i := range crashLimit {
		now = now.Add(time.Minute)
		s.Crashed(now, crashAt(fmt.Sprint(i), now), []suspect.Fingerprint{poison})
	}
	require.Equal(t, suspect.StatusRefused, s.Status(now, poison))
	require.Equal(t, suspect.StatusSuspect, s.Status(now.Add(time.Hour-time.Second), poison))
	require.Equal(t, suspect.StatusClean, s.Status(now.Add(time.Hour), poison))
	s.Clear(now, poison)
	require.Equal(t, suspect.StatusClean, s.Status(now, poison))
}

func TestSetStaysBoundedAndKeepsRefusals(t *testing.T) {
	const size = 64
	s, err := suspect.NewSet(suspect.WithSize(size))
	require.NoError(t, err)
	now := time.Unix(1_000_000, 0)
	for i := range crashLimit {
		s.Crashed(now, crashAt(fmt.Sprint(i), now), []suspect.Fingerprint{poison})
	}
	for i := range 10 * size {
		now = now.Add(time.Second)
		s.Crashed(now, crashAt(fmt.Sprint("later", i), now), []suspect.Fingerprint{suspect.Fingerprint(1000 + i)})
	}
	require.LessOrEqual(t, len(s.Records(now)), size)
	require.Equal(t, suspect.StatusRefused, s.Status(now, poison))
	require.Positive(t, s.Evicted())
}

func TestFingerprintIgnoresLayoutOnly(t *testing.T) {
	want := suspect.Of("tanzplan", "/v1/completions", []byte(`{"model":"m","prompt":"p","stream":true}`))
	require.Equal(t, want, suspect.Of("tanzplan", "/v1/completions", []byte("{ \"prompt\": \"p\",\n\"model\": \"m\" }")))
	for _, body := range []string{`{"model":"m","prompt":"q"}`, `{"model":"m","prompt":"p"}{}`, `not json`} {
		require.NotEqual(t, want, suspect.Of("tanzplan", "/v1/completions", []byte(body)))
	}
	require.NotEqual(t, want, suspect.Of("cacaotera", "/v1/completions", []byte(`{"model":"m","prompt":"p"}`)))
}

func BenchmarkStatus(b *testing.B) {
	s := newSet()
	now := time.Unix(1_000_000, 0)
	s.Crashed(now, crashAt("1", now), []suspect.Fingerprint{poison})
	b.ReportAllocs()
	for b.Loop() {
		s.Status(now, poison)
	}
}

func TestSumIsEqualForEqualRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	a, err := suspect.NewSet()
	require.NoError(t, err)
	b, err := suspect.NewSet()
	require.NoError(t, err)
	require.Zero(t, a.Sum(now))
	a.Crashed(now, suspect.Crash{ID: "x", At: now}, []suspect.Fingerprint{1, 2})
	require.NotEqual(t, a.Sum(now), b.Sum(now))
	records := a.Records(now)
	b.Merge(now, []suspect.Record{records[1]})
	b.Merge(now, []suspect.Record{records[0]})
	require.Equal(t, a.Sum(now), b.Sum(now))
	b.Clear(now, 1)
	require.NotEqual(t, a.Sum(now), b.Sum(now))
}
