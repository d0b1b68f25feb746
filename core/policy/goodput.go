package policy

import "waxwingpick"

// DefaultMixedEfficiency is the fraction of an engine's rates that remains when prefill and decode share its steps.
const DefaultMixedEfficiency = 0.9

// Capacity is the number of engines that serve in each role.
type Capacity struct {
	Mixed   int
	Prefill int
	Decode  int
}

func (c *Capacity) add(role waxwingpick.Role, n int) {
	switch role {
	case waxwingpick.RoleMixed:
		c.Mixed += n
	case waxwingpick.RolePrefill:
		c.Prefill += n
	case waxwingpick.RoleDecode:
		c.Decode += n
	}
}

func (c Capacity) of(role waxwingpick.Role) int {
	switch role {
	case waxwingpick.RoleMixed:
		return c.Mixed
	case waxwingpick.RolePrefill:
		return c.Prefill
	case waxwingpick.RoleDecode:
		return c.Decode
	}
	return 0
}

// moved returns the capacity after one engine has changed its role.
func (c Capacity) moved(from, to waxwingpick.Role) Capacity {
	c.add(from, -1)
	c.add(to, 1)
	return c
}

// without returns the capacity without one engine of a role.
func (c Capacity) without(role waxwingpick.Role) Capacity {
	c.add(role, -1)
	return c
}

// Served returns the fraction of the demand that the capacity serves, at most 1. Prefill engines run prefill work,
// decode engines run decode work, and mixed engines run the remainder of both at their efficiency.
func (c Capacity) Served(d Demand, mixedEfficiency float64) float64 {
	mixed := float64(c.Mixed) * mixedEfficiency
	prefill := float64(c.Prefill) + mixed
	decode := float64(c.Decode) + mixed
	both := float64(c.Prefill) + decode
	fraction := 1.0
	for _, b := range []struct{ capacity, work float64 }{
		{
			capacity: prefill,
			work:     d.PrefillEngines,
		},
		{
			capacity: decode,
			work:     d.DecodeEngines,
		},
		{
			capacity: both,
			work:     d.PrefillEngines + d.DecodeEngines,
		},
	} {
		if b.work > b.capacity {
			fraction = min(fraction, b.capacity/b.work)
		}
	}
	return fraction
}
