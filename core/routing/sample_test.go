package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/routing"
)

// TestSampleBoundsProbesOverAllModels checks that only the bounded sample is probed, and all targets once the bound is
// removed.
func TestSampleBoundsProbesOverAllModels(t *testing.T) {
	const models, perModel = 7, 40
	r, err := routing.New(routing.Entry("e", "zone-0"))
	require.NoError(t, err)
	var infos []routing.TargetInfo
	for m := range models {
		for _, i := range fleet(perModel, 3) {
			i.ID = waxwingpick.TargetID(fmt.Sprint(i.ID, "-", m))
			i.Model = fmt.Sprint("m", m)
			infos = append(infos, i)
		}
	}
	r.SetTargets(start, infos)
	now := start
	probed := func(d time.Duration) (probes, targets int) {
		seen := make(map[waxwingpick.TargetID]struct{})
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for _, id := range r.Probes(now, nil) {
				seen[id] = struct{}{}
				probes++
			}
		}
		return probes, len(seen)
	}
	for _, c := range []struct{ total, want int }{
		{total: 21, want: 3 * models},
		{total: 1, want: 2 * models},
		{total: 0, want: perModel * models},
	} {
		r.SetSample(now, routing.Sample{
			Total:     c.total,
			PerSecond: 24,
		})
		probed(2 * time.Second)
		probes, targets := probed(20 * time.Second)
		require.LessOrEqual(t, probes, 20*24+1)
		require.Equal(t, c.want, targets, "total %d", c.total)
		for m := range models {
			_, err := r.Choose(now, routing.Request{Model: fmt.Sprint("m", m)})
			require.NoError(t, err)
		}
	}
}
