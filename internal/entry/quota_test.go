package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/config"
)

// TestWorkspaceRateOverridesDefault checks the limits with no, with common and with per-workspace rates, and after removal.
func TestWorkspaceRateOverridesDefault(t *testing.T) {
	q, err := newQuotas("entry-0")
	require.NoError(t, err)
	require.True(t, q.limit("studio-1").Unbounded())
	q.setLimits(config.Limits{
		WorkspaceRequestsPerSecond: 20,
		WorkspaceRates: []config.WorkspaceRate{{
			Workspace:         "studio-1",
			RequestsPerSecond: 60,
		}, {
			Workspace: "studio-2",
		}},
	})
	require.Equal(t, 60.0, q.limit("studio-1").PerSecond())
	require.True(t, q.limit("studio-2").Unbounded())
	require.Equal(t, 20.0, q.limit("studio-3").PerSecond())
	q.setLimits(config.Limits{})
	require.True(t, q.limit("studio-1").Unbounded())
}
