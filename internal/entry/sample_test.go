package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/routing"
)

// rounding is the maximum floating-point error of the sums below.
const rounding = 1e-9

// TestSampleSizeAndProbeRate checks the probe rate limits of entries and sidecars at all fleet sizes, and that small fleets
// are sampled completely.
func TestSampleSizeAndProbeRate(t *testing.T) {
	for _, total := range []int{2, 4, 12, 16, 24, 25, 100, 600, 6000} {
		for _, entries := range []int{1, 3, 10, 400, 1000} {
			perSecond, sampled := 0.0, 0
			for _, targets := range []int{total - total/4, max(1, total/4)} {
				s := sampleFor(targets, total, entries)
				each := float64(entries) / float64(targets)
				require.LessOrEqual(t, s.PerSecond*each, max(maxSidecarProbeRate, minProbeRate*each)+rounding)
				perSecond += s.PerSecond
				sampled += s.Total
			}
			if total <= maxFullSampleTargets {
				require.Zero(t, sampled)
				continue
			}
			require.LessOrEqual(t, perSecond, maxProbeRate)
			if entries < total {
				require.Less(t, float64(sampled), perSecond, "a sampled target is probed more than once a second")
			}
		}
	}
	require.Equal(t, routing.DefaultSample(), sampleFor(12, 16, 3))
	require.Equal(t, routing.DefaultSample(), sampleFor(18, 21, 3))
}
