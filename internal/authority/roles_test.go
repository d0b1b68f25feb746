package authority_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/policy"
	"waxwingpick/core/timer"
	"waxwingpick/internal/authority"
)

func TestRolePolicyMatchesKeepForNewTargets(t *testing.T) {
	timers := timer.NewManual(time.Unix(1000, 0))
	decide, err := authority.NewRolePolicy(timers, func(waxwingpick.ServiceName) authority.Observation {
		return authority.Observation{}
	})
	require.NoError(t, err)
	in := authority.Input{
		Service: config.Service{
			Name: "maestro",
			Models: []config.Model{{
				Name:    "maestro",
				Version: "1",
			}},
		},
		Instances: []waxwingpick.Instance{
			{
				ID:     "instance-1",
				Target: "engine-1",
				Zone:   "sierra-a",
			},
			{
				ID:     "instance-2",
				Target: "engine-2",
				Zone:   "sierra-b",
			},
		},
	}
	require.Equal(t, authority.KeepCurrent(in), decide(in))
}

func TestRolePolicyRejectsInvalidOptions(t *testing.T) {
	_, err := authority.NewRolePolicy(timer.NewManual(time.Unix(0, 0)), nil, policy.Horizon(0))
	require.Error(t, err)
}
