package operator

import (
	"context"
	"fmt"
	"slices"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// readPlans returns the plans of the engine services. It omits plans that cannot be read.
func readPlans(ctx context.Context, kv waxwingpick.KeyValue, r config.Record) []plan.Record {
	var plans []plan.Record
	for _, s := range r.Services {
		if s.Kind != config.KindEngine {
			continue
		}
		if p, err := readPlan(ctx, kv, s.Name); err == nil {
			plans = append(plans, p)
		}
	}
	return plans
}

// effects describes the effects of a change of the configuration on the fleet.
func effects(before, after config.Record, plans []plan.Record) []string {
	var list []string
	for _, l := range after.Leaving {
		if !isLeaving(before, l.Instance) {
			list = append(list, fmt.Sprintf("%s takes no new work, running work ends or moves%s", l.Instance, targetsOn(l.Instance, plans)))
		}
	}
	for _, l := range before.Leaving {
		if !isLeaving(after, l.Instance) {
			list = append(list, fmt.Sprintf("%s takes work again%s", l.Instance, targetsOn(l.Instance, plans)))
		}
	}
	preset, ok := findPreset(after, after.InForce)
	if !ok {
		return list
	}
	for _, p := range plans {
		list = append(list, roleEffects(preset, p)...)
	}
	return list
}

func isLeaving(r config.Record, instance waxwingpick.InstanceID) bool {
	return slices.ContainsFunc(r.Leaving, func(l config.Leaving) bool {
		return l.Instance == instance
	})
}

func targetsOn(instance waxwingpick.InstanceID, plans []plan.Record) string {
	for _, p := range plans {
		for _, t := range p.Targets {
			if t.Instance == instance {
				return fmt.Sprintf(": target %s of %s, role %s", t.ID, p.Service, t.Order.Config.Role)
			}
		}
	}
	return ""
}

func findPreset(r config.Record, name string) (config.Preset, bool) {
	i := slices.IndexFunc(r.Presets, func(p config.Preset) bool {
		return p.Name == name
	})
	if i < 0 {
		return config.Preset{}, false
	}
	return r.Presets[i], true
}

// roleEffects describes the minimum number of role changes that a preset's bounds require of a service.
func roleEffects(preset config.Preset, p plan.Record) []string {
	var list []string
	for _, b := range preset.Roles {
		if b.Service != p.Service {
			continue
		}
		n := 0
		for _, t := range p.Targets {
			if t.Order.Config.Role == b.Role {
				n++
			}
		}
		if n < b.Min || n > b.Max {
			forced := max(b.Min-n, n-b.Max)
			list = append(list, fmt.Sprintf("%s has %d engines of role %s, allowed are %d to %d: at least %d role changes, %d at once in an availability zone",
				p.Service, n, b.Role, b.Min, b.Max, forced, preset.RoleChangesInFlight))
		}
	}
	return list
}
