package demo

import (
	"slices"

	"waxwingpick"
	"waxwingpick/core/config"
)

// scaleRoles scales the role bounds of a configuration to a number of engines. The fleet that the configuration was
// written for has as many engines of a service as the largest bound of that service.
func scaleRoles(record config.Record, engines int) config.Record {
	record.Presets = slices.Clone(record.Presets)
	for i := range record.Presets {
		p := &record.Presets[i]
		sizes := make(map[waxwingpick.ServiceName]int)
		for _, b := range p.Roles {
			sizes[b.Service] = max(sizes[b.Service], b.Max)
		}
		p.Roles = slices.Clone(p.Roles)
		for j := range p.Roles {
			b := &p.Roles[j]
			size := max(sizes[b.Service], 1)
			b.Min = b.Min * engines / size
			b.Max = b.Max * engines / size
		}
	}
	return record
}
