package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/plan"
	"waxwingpick/io/sidecar"
)

// TestPlanAppliesAfterReportExpires changes the planned model of a target that reported once. A target outside the sample
// is not probed again, so its last report must not override the plan forever.
func TestPlanAppliesAfterReportExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet("e", "sierra-a")
	list := []waxwingpick.Instance{{
		ID:      "i",
		Kind:    waxwingpick.KindTarget,
		Service: "maestro",
		Target:  "t",
	}}
	update := func(model string) {
		desired := plan.Target{
			ID: "t",
		}
		desired.Order.Config.Model = model
		require.NoError(t, f.update(now, list, waxwingpick.NewSet[waxwingpick.InstanceID](), func(waxwingpick.ServiceName) plan.Record {
			return plan.Record{
				Targets: []plan.Target{desired},
			}
		}))
	}
	update("a")
	s := f.service("maestro")
	require.Len(t, s.servingTargets("a"), 1)
	s.observe(now, sidecar.Report{
		Target: "t",
		Active: waxwingpick.EngineConfig{
			Model: "a",
		},
	})
	now = now.Add(reportMaxAge)
	update("b")
	require.Len(t, s.servingTargets("a"), 1, "a recent report overrides the plan")
	now = now.Add(1)
	update("b")
	require.Len(t, s.servingTargets("b"), 1, "an expired report does not override the plan")
}

// TestHolderHearsOfAllTargetsBesideItsSample checks that the lease holder polls every target of a large fleet for the
// role policy without enlarging its routing sample.
func TestHolderHearsOfAllTargetsBesideItsSample(t *testing.T) {
	const targets = 100
	now := time.Unix(1000, 0)
	f := newFleet("e", "sierra-a")
	var list []waxwingpick.Instance
	for i := range targets {
		list = append(list, waxwingpick.Instance{
			Kind:    waxwingpick.KindTarget,
			Service: "maestro",
			Target:  waxwingpick.TargetID(fmt.Sprint(i)),
		})
	}
	require.NoError(t, f.update(now, list, waxwingpick.NewSet[waxwingpick.InstanceID](), func(waxwingpick.ServiceName) plan.Record {
		return plan.Record{}
	}))
	s := f.service("maestro")
	sampled := func() int {
		n := 0
		for _, i := range list {
			if s.router.Sampled(i.Target) {
				n++
			}
		}
		return n
	}
	s.setSample(now, sampleFor(targets, targets, targets), true)
	before := sampled()
	require.Less(t, before, targets/2)
	requests := int64(0)
	for range 200 {
		now = now.Add(probePeriod)
		requests++
		for _, i := range s.probes(now) {
			r := sidecar.Report{
				Target: i.Target,
			}
			r.Totals.Requests = requests
			s.observe(now, r)
		}
	}
	require.Equal(t, before, sampled())
	observed := s.observeRoles()
	require.Len(t, observed.Reports, targets)
	// Each target's counter grew by about 200 between its first and its latest report.
	require.Greater(t, observed.Work.Requests, 0.6*targets*float64(requests))
	require.LessOrEqual(t, observed.Work.Requests, targets*float64(requests))

	s.probeFailed("0")
	_, ok := s.latestReport("0")
	require.False(t, ok, "the next probe requests a full report")
	s.observe(now, sidecar.Report{
		Target: "0",
	})
	_, ok = s.latestReport("0")
	require.True(t, ok)
}
