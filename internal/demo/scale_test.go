package demo

import (
	"testing"

	"github.com/stretchr/testify/require"

	samples "waxwingpick/config"
	"waxwingpick/io/yaml"
)

// TestScaleRolesOfSamples checks that the scaled role bounds of the samples can be met by a smaller fleet. At
// least one engine must remain above the minimums.
func TestScaleRolesOfSamples(t *testing.T) {
	for _, name := range []string{"tanzplan.yaml", "cacaotera.yaml"} {
		data, err := samples.Files.ReadFile(name)
		require.NoError(t, err)
		record, err := yaml.DecodeConfig(name, data)
		require.NoError(t, err)
		for engines := 1; engines <= 18; engines++ {
			fitted := scaleRoles(record, engines)
			for i, p := range fitted.Presets {
				minTotal, maxBound := 0, 0
				for j, b := range p.Roles {
					minTotal += b.Min
					maxBound = max(maxBound, b.Max)
					require.LessOrEqual(t, b.Min, record.Presets[i].Roles[j].Min)
				}
				require.Less(t, minTotal, engines, "%s %s", name, p.Name)
				require.Positive(t, maxBound)
			}
		}
	}
}
