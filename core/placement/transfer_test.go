package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
)

// TestCopies has an engine asked for a prompt that others were asked for before.
func TestCopies(t *testing.T) {
	const shared = 12_000
	late := start.Add(copyAge)
	for _, tc := range []struct {
		name string
		// tokens is the length of the shared beginning, asked are the engines that were asked for it before the given time.
		tokens int
		asked  []waxwingpick.TargetID
		now    time.Time
		change func(f *Fleet, targets []waxwingpick.Target)
		from   waxwingpick.TargetID
		copies bool
	}{
		{
			name:   "nobody keeps it",
			tokens: shared,
			now:    late,
		},
		{
			name:   "another engine keeps it",
			tokens: shared,
			asked:  []waxwingpick.TargetID{"d2"},
			now:    late,
			from:   "d2",
			copies: true,
		},
		{
			name:   "another engine reads it still",
			tokens: shared,
			asked:  []waxwingpick.TargetID{"d2"},
			now:    late.Add(-time.Millisecond),
		},
		{
			name:   "a short beginning is read sooner",
			tokens: leastCopied - 101,
			asked:  []waxwingpick.TargetID{"d2"},
			now:    late,
		},
		{
			name:   "the engine keeps it too",
			tokens: shared,
			asked:  []waxwingpick.TargetID{"d1", "d2"},
			now:    late,
			from:   "d2",
		},
		{
			name:   "the near one of two",
			tokens: shared,
			asked:  []waxwingpick.TargetID{"d2", "far", "p"},
			now:    late,
			change: func(f *Fleet, targets []waxwingpick.Target) {
				targets[1].Zone = "there"
				f.SetTargets(targets, traits())
			},
			from:   "p",
			copies: true,
		},
		{
			name:   "one that leaves may go at any time",
			tokens: shared,
			asked:  []waxwingpick.TargetID{"d2"},
			now:    late,
			change: func(f *Fleet, targets []waxwingpick.Target) {
				targets[1].Leaving = true
				f.SetTargets(targets, traits())
			},
		},
		{
			name:   "one that takes no connection has nothing to give",
			tokens: shared,
			asked:  []waxwingpick.TargetID{"d2"},
			now:    late,
			change: func(f *Fleet, _ []waxwingpick.Target) {
				f.Begin(late, "d2", demand("other", 10), false).Unreachable(late)
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			far := engineTarget("far", waxwingpick.RoleDecode)
			far.Zone = "there"
			targets := []waxwingpick.Target{
				engineTarget("d1", waxwingpick.RoleDecode),
				engineTarget("d2", waxwingpick.RoleDecode),
				engineTarget("p", waxwingpick.RolePrefill),
				far,
			}
			f := fleetOf(targets...)
			d := demand("shared", tc.tokens)
			for _, id := range tc.asked {
				leg := f.Begin(start, id, d, false)
				leg.Read(start)
				leg.End(start)
			}
			if tc.change != nil {
				tc.change(f, targets)
			}
			leg := f.Begin(tc.now, "d1", d, false)
			require.Equal(t, tc.from, leg.From().OrElse(waxwingpick.Target{}).ID)
			whole := readTime(tc.tokens+100, 0)
			if tc.copies {
				require.Less(t, leg.work, whole/2)
			}
			if tc.from == "" {
				require.Equal(t, whole, leg.work)
			}
		})
	}
}

// TestFetchedPromptsAreNotCopied has an engine fetch what another one has read for it.
func TestFetchedPromptsAreNotCopied(t *testing.T) {
	f := fleetOf(engineTarget("d", waxwingpick.RoleDecode), engineTarget("p", waxwingpick.RolePrefill))
	d := demand("shared", 12_000)
	f.Begin(start, "p", d, false).End(start)
	_, copies := f.Begin(start.Add(copyAge), "d", d, true).From().Get()
	require.False(t, copies)
}
