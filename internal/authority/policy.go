package authority

import (
	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// Input is what a policy decides from.
type Input struct {
	Service config.Service
	Config  config.Record
	// Plan is the newest accepted plan; it has no targets before the first write.
	Plan plan.Record
	// Instances are the target instances of the service, leaving ones included, as far as the platform tells.
	Instances []waxwingpick.Instance
}

// Policy returns the wanted configuration of each engine of a service; an engine that it leaves out keeps its own.
type Policy func(in Input) []plan.Wanted

// Keep is the policy that keeps what is, and gives each new target the first model in the mixed role.
func Keep(in Input) []plan.Wanted {
	if len(in.Service.Models) == 0 {
		return nil
	}
	wanted := make([]plan.Wanted, 0, len(in.Instances))
	for _, i := range in.Instances {
		if t, ok := in.Plan.Target(i.Target).Get(); ok {
			wanted = append(wanted, plan.Wanted{
				ID:       i.Target,
				Instance: i.ID,
				Zone:     i.Zone,
				Config:   t.Order.Config,
			})
			continue
		}
		wanted = append(wanted, first(in.Service, i))
	}
	return wanted
}

func first(service config.Service, i waxwingpick.Instance) plan.Wanted {
	model := service.Models[0]
	return plan.Wanted{
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

// desired returns the desired state that a policy leads to. A target that the platform does not list any more is
// kept until it has been missing for as long as the caller tells, since the list lags.
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
