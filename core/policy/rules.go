package policy

import (
	"math"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
)

// Bound is the minimum and the maximum number of engines in a role.
type Bound struct {
	Min int
	Max int
}

// Rules are the constraints of a preset and a service on changes.
type Rules struct {
	Mixed   Bound
	Prefill Bound
	Decode  Bound
	// Price is the goodput, in requests, that a change must gain in addition to its cost.
	Price float64
	// InFlight is the maximum number of concurrent changes in each availability zone.
	InFlight int
	// ChangeTime is how long an engine is unavailable when it changes its role.
	ChangeTime time.Duration
	// WeightLoadsPerMinute is the maximum rate of loads from the weight store. Zero means no limit.
	WeightLoadsPerMinute float64
}

// RulesOf returns the rules of a service under the preset in force. The engines of a service without bounds for prefill
// and decode stay in the mixed role.
func RulesOf(service config.Service, rec config.Record) Rules {
	r := Rules{
		Mixed: Bound{
			Max: math.MaxInt,
		},
		ChangeTime:           service.RoleChangeTime.Std(),
		WeightLoadsPerMinute: rec.Limits.WeightLoadsPerMinute,
	}
	for _, p := range rec.Presets {
		if p.Name == rec.InForce {
			r.take(service.Name, p)
		}
	}
	return r
}

func (r *Rules) take(service waxwingpick.ServiceName, p config.Preset) {
	r.Price = p.RoleChangePrice
	r.InFlight = p.RoleChangesInFlight
	for _, b := range p.Roles {
		if b.Service != service {
			continue
		}
		*r.bound(b.Role) = Bound{
			Min: b.Min,
			Max: b.Max,
		}
	}
}

func (r *Rules) bound(role waxwingpick.Role) *Bound {
	switch role {
	case waxwingpick.RoleMixed:
		return &r.Mixed
	case waxwingpick.RolePrefill:
		return &r.Prefill
	case waxwingpick.RoleDecode:
		return &r.Decode
	}
	panic("a role is mixed, prefill or decode")
}

// Of returns the bound of a role.
func (r Rules) Of(role waxwingpick.Role) Bound {
	return *r.bound(role)
}
