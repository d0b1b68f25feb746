package report_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/burn"
	"waxwingpick/core/config"
	"waxwingpick/internal/report"
)

// evaluation returns the evaluation of an hour on two entries. In the last half hour all quick requests of workspace s3
// are bad.
func evaluation(t *testing.T) burn.Evaluation {
	start := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	end := start.Add(time.Hour)
	var snapshots []burn.Snapshot
	for range 2 {
		r, err := burn.New()
		require.NoError(t, err)
		i := 0
		for at := start; at.Before(end); at = at.Add(20 * time.Second) {
			i++
			r.Record(at, burn.Event{
				Class:     waxwingpick.Classes()[i%3],
				Preset:    "ordinary",
				Target:    waxwingpick.TargetID(fmt.Sprint("maestro-", i%4)),
				Workspace: waxwingpick.WorkspaceID(fmt.Sprint("s", i%6)),
				Good:      i%3 != 0 || i%6 != 3 || end.Sub(at) > 30*time.Minute,
			})
		}
		snapshots = append(snapshots, r.Snapshot(end))
	}
	var policies []config.ClassPolicy
	for _, class := range waxwingpick.Classes() {
		policies = append(policies, config.ClassPolicy{
			Class:     class,
			Objective: 0.99,
		})
	}
	return burn.Evaluate(burn.Merge(snapshots...), policies)
}

func TestBurnReports(t *testing.T) {
	e := evaluation(t)
	for _, format := range []report.Format{report.FormatTable, report.FormatJSON, report.FormatHTML} {
		var out bytes.Buffer
		require.NoError(t, report.WriteBurn(&out, format, e))
		goldie.New(t).Assert(t, "burn."+string(format), out.Bytes())
	}
	require.Equal(t, report.ExitPage, report.BurnExitCode(e.Alert))
	require.Error(t, report.WriteBurn(&bytes.Buffer{}, "pdf", e))
}
