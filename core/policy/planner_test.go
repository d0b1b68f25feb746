package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// planRunner drives a Planner as an authority does: it commits the desired state, unless lost is set.
type planRunner struct {
	t       testing.TB
	now     time.Time
	planner *Planner
	in      Input
	load    waxwingpick.TargetLoad
	// active is the configuration that targets serve before the plan has an order for them.
	active waxwingpick.EngineConfig
	// lost discards the desired state, as an outage of the key-value service does.
	lost bool
	// orders is the number of orders in the plan so far.
	orders int64
}

func newPlanRunner(t testing.TB, targets int) *planRunner {
	planner, err := NewPlanner(nil)
	require.NoError(t, err)
	p := &planRunner{
		t:       t,
		now:     time.Unix(1000, 0),
		planner: planner,
		load: waxwingpick.TargetLoad{
			Slots: 32,
		},
	}
	p.in.Service = config.Service{
		Name: "maestro",
		Models: []config.Model{{
			Name:    "maestro",
			Version: "1",
		}},
		RoleChangeTime: config.Duration(testChangeTime),
	}
	p.in.Config = config.Record{
		InForce: "ordinary",
		Presets: []config.Preset{
			{
				Name:                "ordinary",
				RoleChangesInFlight: 1,
			},
			{
				Name:                "split",
				RoleChangesInFlight: 1,
				Roles: []config.RoleBounds{
					{
						Service: "maestro",
						Role:    waxwingpick.RoleMixed,
						Max:     0,
					},
					{
						Service: "maestro",
						Role:    waxwingpick.RolePrefill,
						Min:     2,
						Max:     2,
					},
					{
						Service: "maestro",
						Role:    waxwingpick.RoleDecode,
						Min:     2,
						Max:     99,
					},
				},
			},
		},
	}
	p.in.Plan.Epoch = 1
	p.in.Plan.NextOrder = 1
	for i := range targets {
		p.in.Instances = append(p.in.Instances, waxwingpick.Instance{
			ID:     waxwingpick.InstanceID(fmt.Sprintf("instance-%d", i)),
			Target: waxwingpick.TargetID(fmt.Sprintf("engine-%d", i)),
			Zone:   waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%2)),
		})
	}
	return p
}

// pass advances the time by seconds. According to their reports, engines apply the planned configuration at once.
func (p *planRunner) pass(seconds int) {
	for range seconds {
		p.now = p.now.Add(time.Second)
		p.in.Reports = make(map[waxwingpick.TargetID]Report)
		for _, i := range p.in.Instances {
			p.in.Reports[i.Target] = Report{
				Active: p.active,
				Load:   p.load,
			}
		}
		for _, t := range p.in.Plan.Targets {
			p.in.Reports[t.ID] = Report{
				Active: t.Order.Config,
				Load:   p.load,
			}
		}
		desired := p.planner.Plan(p.now, p.in)
		if p.lost {
			continue
		}
		p.in.Plan, _ = plan.Reconcile(p.in.Plan, plan.Desired{
			Targets: desired,
		})
		p.orders = p.in.Plan.NextOrder - 1
	}
}

func (p *planRunner) roles() Capacity {
	var c Capacity
	for _, t := range p.in.Plan.Targets {
		c.add(t.Order.Config.Role, 1)
	}
	return c
}

func TestNewTargetsGetModelAndRole(t *testing.T) {
	p := newPlanRunner(t, 4)
	p.pass(1)
	require.Equal(t, Capacity{
		Mixed: 4,
	}, p.roles())
	p.pass(200)
	require.EqualValues(t, 4, p.orders, "no order without a reason for a change")
}

func TestPresetSwitchIsASequence(t *testing.T) {
	p := newPlanRunner(t, 6)
	p.pass(30)
	p.in.Config.InForce = "split"
	before := p.orders
	p.pass(1)
	require.LessOrEqual(t, p.orders-before, int64(2), "one change in each of two availability zones")
	p.pass(120)
	require.Equal(t, Capacity{
		Prefill: 2,
		Decode:  4,
	}, p.roles())
	require.EqualValues(t, before+6, p.orders, "each engine changes once")
	p.in.Config.InForce = "ordinary"
	p.pass(200)
	require.Equal(t, Capacity{
		Mixed: 6,
	}, p.roles())
}

func TestAWantedChangeStaysWantedUntilThePlanShowsIt(t *testing.T) {
	p := newPlanRunner(t, 6)
	p.pass(30)
	p.in.Config.InForce = "split"
	p.lost = true
	p.pass(3)
	first := p.planner.Plan(p.now, p.in)
	p.pass(3)
	require.Equal(t, first, p.planner.Plan(p.now, p.in))
}

func TestLeavingInstanceIsReplacedAndTakenBack(t *testing.T) {
	p := newPlanRunner(t, 6)
	p.in.Config.InForce = "split"
	p.pass(60)
	require.Equal(t, Capacity{
		Prefill: 2,
		Decode:  4,
	}, p.roles())
	for _, target := range p.in.Plan.Targets {
		if target.Order.Config.Role == waxwingpick.RolePrefill {
			p.in.Config.Leaving = []config.Leaving{{
				Instance: target.Instance,
			}}
		}
	}
	p.pass(60)
	require.Equal(t, Capacity{
		Prefill: 3,
		Decode:  3,
	}, p.roles(), "one of the three is leaving and keeps its role")
	p.in.Config.Leaving = nil
	p.pass(60)
	require.Equal(t, Capacity{
		Prefill: 2,
		Decode:  4,
	}, p.roles())
}

func TestWeightLoadsAreBounded(t *testing.T) {
	p := newPlanRunner(t, 6)
	p.in.Config.Limits.WeightLoadsPerMinute = 2
	p.pass(59)
	require.EqualValues(t, 2, p.orders)
	p.pass(120)
	require.EqualValues(t, 6, p.orders)
	p.in.Service.Models[0].Version = "2"
	p.pass(61)
	require.LessOrEqual(t, p.orders, int64(10))
	p.in.Plan.Epoch++
	before := p.orders
	p.pass(59)
	require.Equal(t, before, p.orders, "a new holder must assume that the previous one used up the window")
	p.pass(200)
	for _, target := range p.in.Plan.Targets {
		require.Equal(t, "2", target.Order.Config.Version)
	}
}

func TestDemandMovesRolesWithReportedRates(t *testing.T) {
	p := newPlanRunner(t, 6)
	p.in.Config.InForce = "split"
	p.in.Config.Presets[1].Roles[1].Max = 4
	p.pass(120)
	require.Equal(t, Capacity{Prefill: 2, Decode: 4}, p.roles())
	p.load = waxwingpick.TargetLoad{
		Slots:                  32,
		PrefillTokensPerSecond: 10_000,
		TokenIntervalMicros:    25_000,
	}
	p.in.Work = Work{
		Requests:      30,
		PrefillTokens: 32_000,
		DecodeTokens:  1500,
	}
	p.pass(200)
	require.Equal(t, Capacity{Prefill: 4, Decode: 2}, p.roles())
}

func TestTargetsThatServeAListedModelLoadNothing(t *testing.T) {
	p := newPlanRunner(t, 6)
	p.in.Config.Limits.WeightLoadsPerMinute = 1
	p.active = waxwingpick.EngineConfig{
		Model:   "maestro",
		Version: "1",
	}
	p.pass(1)
	require.Equal(t, Capacity{
		Mixed: 6,
	}, p.roles())
}
