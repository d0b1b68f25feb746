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

// TestPlanCountsForTargetsThatAreNotAskedAnyMore changes the model of a target that was reported once.
func TestPlanCountsForTargetsThatAreNotAskedAnyMore(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet("e", "sierra-a")
	list := []waxwingpick.Instance{{
		ID:      "i",
		Kind:    waxwingpick.KindTarget,
		Service: "maestro",
		Target:  "t",
	}}
	update := func(model string) {
		wanted := plan.Target{
			ID: "t",
		}
		wanted.Order.Config.Model = model
		require.NoError(t, f.update(now, list, waxwingpick.NewSet[waxwingpick.InstanceID](), func(waxwingpick.ServiceName) plan.Record {
			return plan.Record{
				Targets: []plan.Target{wanted},
			}
		}))
	}
	update("a")
	s := f.service("maestro")
	require.Len(t, s.ids("a"), 1)
	s.observe(now, sidecar.Report{
		Target: "t",
		Active: waxwingpick.EngineConfig{
			Model: "a",
		},
	})
	now = now.Add(reportKept)
	update("b")
	require.Len(t, s.ids("a"), 1, "a recent report counts")
	now = now.Add(1)
	update("b")
	require.Len(t, s.ids("b"), 1, "an old one does not")
}

// TestHolderHearsOfAllTargetsBesideItsSample lets a holder ask every target of a large fleet and route by few.
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
	s.setSample(now, sampleOf(targets, targets, targets), true)
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
	seen := s.observeRoles()
	require.Len(t, seen.Reports, targets)
	// Each counted some 200 requests, from its first report to its newest.
	require.Greater(t, seen.Work.Requests, 0.6*targets*float64(requests))
	require.LessOrEqual(t, seen.Work.Requests, targets*float64(requests))

	s.probeFailed("0")
	_, builds := s.newest("0")
	require.False(t, builds, "the next probe asks for a whole report")
	s.observe(now, sidecar.Report{
		Target: "0",
	})
	_, builds = s.newest("0")
	require.True(t, builds)
}
