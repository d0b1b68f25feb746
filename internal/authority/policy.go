package authority

import (
	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// Input is the input of a policy.
type Input struct {
	Service config.Service
	Config  config.Record
	// Plan is the latest accepted plan. It has no targets before the first write.
	Plan plan.Record
	// Instances are the service's target instances in the platform's list, including leaving ones.
	Instances []waxwingpick.Instance
}

// Policy returns the desired configuration of each engine of a service. An engine that it omits keeps its configuration.
type Policy func(in Input) []plan.DesiredTarget

// KeepCurrent is the policy that keeps planned configurations and assigns the first model and the mixed role to new
// targets.
func KeepCurrent(in Input) []plan.DesiredTarget {
	if len(in.Service.Models) == 0 {
		return nil
	}
	targets := make([]plan.DesiredTarget, 0, len(in.Instances))
	for _, i := range in.Instances {
		if t, ok := in.Plan.Target(i.Target).Get(); ok {
			targets = append(targets, plan.DesiredTarget{
				ID:       i.Target,
				Instance: i.ID,
				Zone:     i.Zone,
				Config:   t.Order.Config,
			})
			continue
		}
		targets = append(targets, defaultTarget(in.Service, i))
	}
	return targets
}

func defaultTarget(service config.Service, i waxwingpick.Instance) plan.DesiredTarget {
	model := service.Models[0]
	return plan.DesiredTarget{
		ID:       i.Target,
		Instance: i.ID,
		Zone:     i.Zone,
		Config: waxwingpick.EngineConfig{
			Role:    waxwingpick.RoleMixed,
			Model:   model.Name,
			Adapter: model.Adapter,
			Version: model.Version,
		},
	}
}

// desired returns the desired state under a policy. A target that is no longer in the platform's list is kept until
// missing reports true for it, because the list may be out of date.
func desired(policy Policy, in Input, configRevision int64, missing func(waxwingpick.TargetID) bool) plan.Desired {
	d := plan.Desired{
		ConfigRevision: configRevision,
		Targets:        policy(in),
	}
	covered := waxwingpick.NewSet[waxwingpick.TargetID]()
	for _, w := range d.Targets {
		covered.Add(w.ID)
	}
	for _, kept := range in.Plan.Desired().Targets {
		if !covered.Has(kept.ID) && !missing(kept.ID) {
			d.Targets = append(d.Targets, kept)
		}
	}
	return d
}
