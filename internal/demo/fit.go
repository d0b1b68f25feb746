package demo

import (
	"slices"

	"waxwingpick"
	"waxwingpick/core/config"
)

// fitRoles scales the role bounds of a configuration from its owner's number of engines, the largest bound of each
// service, to the number that runs here.
func fitRoles(record config.Record, engines int) config.Record {
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
