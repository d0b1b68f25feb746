package policy

import (
	"slices"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// draft is a plan while a Planner works on it.
type draft struct {
	in      Input
	targets []plan.Wanted
	// engines describes the targets, in the same order.
	engines []Engine
	// fresh lists the instances whose targets have no configuration yet.
	fresh  []waxwingpick.Instance
	wanted []int
	have   []int
}

func newDraft(in Input, wanted map[waxwingpick.TargetID]waxwingpick.EngineConfig) *draft {
	d := &draft{
		in:   in,
		have: make([]int, len(in.Service.Models)),
	}
	staying := 0
	for _, i := range in.Instances {
		gone := leaving(in.Config, i)
		c, ok := wanted[i.Target]
		switch {
		case ok:
			d.add(i, c, gone)
		case !gone:
			d.fresh = append(d.fresh, i)
		}
		if !gone {
			staying++
		}
	}
	d.wanted = wantedEngines(in.Service.Models, staying)
	return d
}

func (d *draft) add(i waxwingpick.Instance, c waxwingpick.EngineConfig, gone bool) {
	r, ok := d.in.Reports[i.Target]
	d.targets = append(d.targets, plan.Wanted{
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
		Leaving: gone || r.Load.Leaving && r.Active == c,
		Running: r.Load.Running,
		Slots:   r.Load.Slots,
	})
	if m := d.model(c); m >= 0 && !gone {
		d.have[m]++
	}
}

// leaving reports whether the platform or an operator announced that an instance leaves.
func leaving(rec config.Record, i waxwingpick.Instance) bool {
	return i.Leaving || slices.ContainsFunc(rec.Leaving, func(l config.Leaving) bool {
		return l.Instance == i.ID
	})
}

// target returns the wanted state of a target of the draft.
func (d *draft) target(id waxwingpick.TargetID) *plan.Wanted {
	i := slices.IndexFunc(d.targets, func(w plan.Wanted) bool {
		return w.ID == id
	})
	return &d.targets[i]
}

// model returns the place of the listed model that a configuration has, -1 where none is listed.
func (d *draft) model(c waxwingpick.EngineConfig) int {
	return slices.IndexFunc(d.in.Service.Models, func(m config.Model) bool {
		return serves(m, c)
	})
}

// assign gives a configuration a listed model and counts it.
func (d *draft) assign(c waxwingpick.EngineConfig) waxwingpick.EngineConfig {
	i := modelFor(d.in.Service.Models, c, d.wanted, d.have)
	d.have[i]++
	return withModel(c, d.in.Service.Models[i])
}

// firstRole returns the role for a new target: one that lacks engines, else mixed, else decode, which is the larger part
// of most mixes, as far as there is room.
func (d *draft) firstRole(rules Rules) waxwingpick.Role {
	var have Capacity
	for i, w := range d.targets {
		if i >= len(d.engines) || !d.engines[i].Leaving {
			have.add(w.Config.Role, 1)
		}
	}
	for _, role := range waxwingpick.Roles() {
		if have.of(role) < rules.Of(role).Min {
			return role
		}
	}
	for _, role := range []waxwingpick.Role{waxwingpick.RoleMixed, waxwingpick.RoleDecode, waxwingpick.RolePrefill} {
		if have.of(role) < rules.Of(role).Max {
			return role
		}
	}
	return waxwingpick.RoleMixed
}
