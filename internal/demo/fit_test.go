package demo

import (
	"testing"

	"github.com/stretchr/testify/require"

	samples "waxwingpick/config"
	"waxwingpick/io/yaml"
)

// TestSampleRolesFitTheEngines checks that the roles of the samples, which are for their owners' fleets, leave a
// smaller fleet engines for every request.
func TestSampleRolesFitTheEngines(t *testing.T) {
	for _, name := range []string{"tanzplan.yaml", "cacaotera.yaml"} {
		data, err := samples.Files.ReadFile(name)
		require.NoError(t, err)
		record, err := yaml.DecodeConfig(name, data)
		require.NoError(t, err)
		for engines := 1; engines <= 18; engines++ {
			fitted := fitRoles(record, engines)
			for i, p := range fitted.Presets {
				kept, most := 0, 0
				for j, b := range p.Roles {
					kept += b.Min
					most = max(most, b.Max)
					require.LessOrEqual(t, b.Min, record.Presets[i].Roles[j].Min)
				}
				require.Less(t, kept, engines, "%s %s", name, p.Name)
				require.Positive(t, most)
			}
		}
	}
}
