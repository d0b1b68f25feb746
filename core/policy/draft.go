package policy

import (
	"slices"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// draft is a plan under construction by a Planner.
type draft struct {
	in      Input
	targets []plan.DesiredTarget
	// engines describes the targets in the same order.
	engines []Engine
	// unconfigured lists the instances whose targets have no configuration yet.
	unconfigured []waxwingpick.Instance
	// desired and actual hold the number of engines of each model.
	desired []int
	actual  []int
}

func newDraft(in Input, desired map[waxwingpick.TargetID]waxwingpick.EngineConfig) *draft {
	d := &draft{
		in:     in,
		actual: make([]int, len(in.Service.Models)),
	}
	remaining := 0
	for _, i := range in.Instances {
		isLeaving := leaving(in.Config, i)
		c, ok := desired[i.Target]
		switch {
		case ok:
			d.add(i, c, isLeaving)
		case !isLeaving:
			d.unconfigured = append(d.unconfigured, i)
		}
		if !isLeaving {
			remaining++
		}
	}
	d.desired = desiredEngines(in.Service.Models, remaining)
	return d
}

func (d *draft) add(i waxwingpick.Instance, c waxwingpick.EngineConfig, isLeaving bool) {
	r, ok := d.in.Reports[i.Target]
	d.targets = append(d.targets, plan.DesiredTarget{
		ID:       i.Target,
		Instance: i.ID,
		Zone:     i.Zone,
		Config:   c,
	})
	d.engines = append(d.engines, Engine{
		Target:  i.Target,
		Zone:    i.Zone,
		Role:    c.Role,
		Ready:   ok && r.Active == c,
		Leaving: isLeaving || r.Load.Leaving && r.Active == c,
		Running: r.Load.Running,
		Slots:   r.Load.Slots,
	})
	if m := d.model(c); m >= 0 && !isLeaving {
		d.actual[m]++
	}
}

// leaving reports whether the platform or an operator announced that an instance is leaving.
func leaving(rec config.Record, i waxwingpick.Instance) bool {
	return i.Leaving || slices.ContainsFunc(rec.Leaving, func(l config.Leaving) bool {
		return l.Instance == i.ID
	})
}

// target returns the desired state of a target of the draft.
func (d *draft) target(id waxwingpick.TargetID) *plan.DesiredTarget {
	i := slices.IndexFunc(d.targets, func(w plan.DesiredTarget) bool {
		return w.ID == id
	})
	return &d.targets[i]
}

// model returns the index of a configuration's model in the service's list, or -1 if it is not listed.
func (d *draft) model(c waxwingpick.EngineConfig) int {
	return slices.IndexFunc(d.in.Service.Models, func(m config.Model) bool {
		return serves(m, c)
	})
}

// assign returns the configuration with a listed model, and counts the engine for that model.
func (d *draft) assign(c waxwingpick.EngineConfig) waxwingpick.EngineConfig {
	i := modelFor(d.in.Service.Models, c, d.desired, d.actual)
	d.actual[i]++
	return withModel(c, d.in.Service.Models[i])
}

// firstRole returns the role for a new target: a role below its minimum, otherwise the first of mixed, decode and
// prefill that is below its maximum. Decode comes before prefill because it is the larger part of most workloads.
func (d *draft) firstRole(rules Rules) waxwingpick.Role {
	var assigned Capacity
	for i, w := range d.targets {
		if i >= len(d.engines) || !d.engines[i].Leaving {
			assigned.add(w.Config.Role, 1)
		}
	}
	for _, role := range waxwingpick.Roles() {
		if assigned.of(role) < rules.Of(role).Min {
			return role
		}
	}
	for _, role := range []waxwingpick.Role{waxwingpick.RoleMixed, waxwingpick.RoleDecode, waxwingpick.RolePrefill} {
		if assigned.of(role) < rules.Of(role).Max {
			return role
		}
	}
	return waxwingpick.RoleMixed
}
