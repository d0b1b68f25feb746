package demo

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/policy"
	standinengine "waxwingpick/internal/standin/engine"
	"waxwingpick/io/operator"
)

// TestPresetSwitchChangesRolesWithoutCutting switches under load to a preset that requires an engine of each role, and
// checks that no request fails.
func TestPresetSwitchChangesRolesWithoutCutting(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       3,
		PlainServices: 1,
		Entries:       2,
		EngineOptions: []standinengine.Option{standinengine.Speed(prefillToken, decodeToken)},
	})
	presets := testConfig().Presets
	presets[1].Classes = presets[0].Classes
	presets[1].Roles = []config.RoleBounds{
		bounds(waxwingpick.RolePrefill, 1, 1),
		bounds(waxwingpick.RoleDecode, 1, 1),
		bounds(waxwingpick.RoleMixed, 1, 3),
	}
	require.NoError(t, c.commit(t.Context(), config.ApplyPresets(presets)))
	l := newLoad(c, presets[0])
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		l.run(ctx, 4, 2, 1)
	})
	require.NoError(t, c.commit(t.Context(), config.SwitchPreset("peak")))
	require.Eventually(t, func() bool {
		usable := usableRoles(t, c)
		return usable.Mixed > 0 && usable.Prefill > 0 && usable.Decode > 0
	}, time.Minute, 20*time.Millisecond)
	stop()
	wg.Wait()
	s := c.summarise(l)
	require.NoError(t, s.Table(t.Output()))
	require.NoError(t, s.Check(), "first failure: %v", l.firstErr)
	require.Equal(t, 2, s.RoleChanges)
}

func bounds(role waxwingpick.Role, minEngines, maxEngines int) config.RoleBounds {
	return config.RoleBounds{
		Service: "stundenplan-llm",
		Role:    role,
		Min:     minEngines,
		Max:     maxEngines,
	}
}

// usableRoles counts the engines that the first entry routes requests to, by role.
func usableRoles(t *testing.T, c *Cluster) policy.Capacity {
	t.Helper()
	var usable policy.Capacity
	status, err := c.Entries()[0].Status(t.Context(), operator.StatusRequest{})
	if err != nil {
		return usable
	}
	for _, target := range status.Targets {
		if target.Active.Model == "" || !target.Usable {
			continue
		}
		switch target.Active.Role {
		case waxwingpick.RoleMixed:
			usable.Mixed++
		case waxwingpick.RolePrefill:
			usable.Prefill++
		case waxwingpick.RoleDecode:
			usable.Decode++
		}
	}
	return usable
}

// slowPrefillToken is a prefill time per token that makes prefill the bottleneck.
const slowPrefillToken = 100 * time.Microsecond

// startSplit starts a cluster of one prefill and three decode engines, with presets that let demand set the split.
func startSplit(t *testing.T) *Cluster {
	rec := testConfig()
	rec.Services[0].RoleChangeTime = config.Duration(100 * time.Millisecond)
	rec.Presets[0].Roles = []config.RoleBounds{
		bounds(waxwingpick.RoleMixed, 0, 0),
		bounds(waxwingpick.RolePrefill, 1, 3),
		bounds(waxwingpick.RoleDecode, 1, 3),
	}
	maintenance := rec.Presets[0]
	maintenance.Name = "maintenance"
	rec.Presets = append(rec.Presets, maintenance)
	c := startCluster(t, Layout{
		Config:        rec,
		Engines:       4,
		PlainServices: 1,
		Entries:       2,
		EngineOptions: []standinengine.Option{standinengine.Speed(slowPrefillToken, decodeToken)},
	})
	require.Equal(t, policy.Capacity{Prefill: 1, Decode: 3}, usableRoles(t, c))
	return c
}

// TestDemandChangesRolesWithoutCutting shifts the load from short to long prompts under one preset. Roles must not
// change under the first load and must change under the second, without failed requests.
func TestDemandChangesRolesWithoutCutting(t *testing.T) {
	t.Parallel()
	c := startSplit(t)
	l := newLoad(c, c.layout.Config.Presets[0])
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		l.run(ctx, 6, 0, 1)
	})
	// After this time the policy has enough data for a forecast and may change roles.
	require.NoError(t, c.sleep(ctx, policy.DefaultHalfLife+policy.DefaultReportLag))
	require.Zero(t, c.summarise(l).RoleChanges)
	wg.Go(func() {
		l.run(ctx, 0, 8, 0)
	})
	require.Eventually(t, func() bool {
		return usableRoles(t, c).Prefill > 1
	}, time.Minute, 20*time.Millisecond)
	stop()
	wg.Wait()
	s := c.summarise(l)
	require.NoError(t, s.Table(t.Output()))
	require.NoError(t, s.Check(), "first failure: %v", l.firstErr)
	require.Positive(t, s.RoleChanges)
}

// TestMaintenancePresetEmptiesLeavingInstancesInTime announces the leave of the only prefill engine and of a decode
// engine. Both must drain before the date while the other engines cover both roles, and all four must serve again after
// the leave is withdrawn.
func TestMaintenancePresetEmptiesLeavingInstancesInTime(t *testing.T) {
	t.Parallel()
	c := startSplit(t)
	l := newLoad(c, c.layout.Config.Presets[0])
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		l.run(ctx, 4, 2, 1)
	})
	require.NoError(t, c.commit(ctx, config.SwitchPreset("maintenance")))
	leaving := []int{0, 1}
	by := time.Now().Add(2 * time.Minute).UTC()
	for _, i := range leaving {
		require.NoError(t, c.commit(ctx, config.AnnounceLeave(c.Instances()[i].ID, by, time.Now().UTC())))
	}
	require.Eventually(t, func() bool {
		return usableRoles(t, c) == policy.Capacity{Prefill: 1, Decode: 1}
	}, time.Minute, 20*time.Millisecond)
	for _, i := range leaving {
		require.Eventually(t, func() bool {
			return c.Sidecars()[i].Running() == 0
		}, time.Until(by), time.Millisecond)
		require.Len(t, c.Engines()[i].Record().Orders, 1)
	}
	for _, i := range leaving {
		require.NoError(t, c.commit(ctx, config.WithdrawLeave(c.Instances()[i].ID)))
	}
	require.Eventually(t, func() bool {
		usable := usableRoles(t, c)
		return usable.Prefill+usable.Decode == 4
	}, time.Minute, 20*time.Millisecond)
	stop()
	wg.Wait()
	s := c.summarise(l)
	require.NoError(t, s.Table(t.Output()))
	require.NoError(t, s.Check(), "first failure: %v", l.firstErr)
	require.Positive(t, s.Long.InTime)
}
