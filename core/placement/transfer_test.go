package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
)

// TestCopies sends an engine a prompt that other engines have received before.
func TestCopies(t *testing.T) {
	const shared = 12_000
	late := start.Add(minCopyAge)
	for _, tc := range []struct {
		name string
		// tokens is the length of the shared prefix, receivers the engines that received it earlier.
		tokens    int
		receivers []waxwingpick.TargetID
		now       time.Time
		change    func(f *Fleet, targets []waxwingpick.Target)
		from      waxwingpick.TargetID
		copies    bool
	}{
		{
			name:   "no engine caches it",
			tokens: shared,
			now:    late,
		},
		{
			name:      "another engine caches it",
			tokens:    shared,
			receivers: []waxwingpick.TargetID{"d2"},
			now:       late,
			from:      "d2",
			copies:    true,
		},
		{
			name:      "another engine is still computing it",
			tokens:    shared,
			receivers: []waxwingpick.TargetID{"d2"},
			now:       late.Add(-time.Millisecond),
		},
		{
			name:      "a short prefix is computed sooner",
			tokens:    minCopyTokens - 101,
			receivers: []waxwingpick.TargetID{"d2"},
			now:       late,
		},
		{
			name:      "the engine caches it too",
			tokens:    shared,
			receivers: []waxwingpick.TargetID{"d1", "d2"},
			now:       late,
			from:      "d2",
		},
		{
			name:      "one of the same zone is preferred",
			tokens:    shared,
			receivers: []waxwingpick.TargetID{"d2", "far", "p"},
			now:       late,
			change: func(f *Fleet, targets []waxwingpick.Target) {
				targets[1].Zone = "there"
				f.SetTargets(targets, traits())
			},
			from:   "p",
			copies: true,
		},
		{
			name:      "a leaving engine is no source",
			tokens:    shared,
			receivers: []waxwingpick.TargetID{"d2"},
			now:       late,
			change: func(f *Fleet, targets []waxwingpick.Target) {
				targets[1].Leaving = true
				f.SetTargets(targets, traits())
			},
		},
		{
			name:      "an unreachable engine is no source",
			tokens:    shared,
			receivers: []waxwingpick.TargetID{"d2"},
			now:       late,
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
			for _, id := range tc.receivers {
				stage := f.Begin(start, id, d, false)
				stage.PrefillDone(start)
				stage.End(start)
			}
			if tc.change != nil {
				tc.change(f, targets)
			}
			stage := f.Begin(tc.now, "d1", d, false)
			require.Equal(t, tc.from, stage.CopySource().OrElse(waxwingpick.Target{}).ID)
			full := prefillTime(tc.tokens+100, 0)
			if tc.copies {
				require.Less(t, stage.work, full/2)
			}
			if tc.from == "" {
				require.Equal(t, full, stage.work)
			}
		})
	}
}

// TestFetchedPromptsAreNotCopied fetches a prompt that another engine has computed for this one.
func TestFetchedPromptsAreNotCopied(t *testing.T) {
	f := fleetOf(engineTarget("d", waxwingpick.RoleDecode), engineTarget("p", waxwingpick.RolePrefill))
	d := demand("shared", 12_000)
	f.Begin(start, "p", d, false).End(start)
	_, copies := f.Begin(start.Add(minCopyAge), "d", d, true).CopySource().Get()
	require.False(t, copies)
}
