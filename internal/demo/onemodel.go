package demo

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
)

// OneModel returns a configuration of one engine service with one model and deadlines of one minute.
func OneModel(service waxwingpick.ServiceName, model string) config.Record {
	return config.Record{
		InForce: "ordinary",
		Presets: []config.Preset{{
			Name: "ordinary",
			Classes: []config.ClassPolicy{{
				Class:     waxwingpick.ClassQuick,
				Deadline:  config.Duration(time.Minute),
				Objective: 0.95,
			}, {
				Class:     waxwingpick.ClassLong,
				Deadline:  config.Duration(time.Minute),
				Objective: 0.95,
			}},
			RoleChangesInFlight: 1,
		}},
		Services: []config.Service{{
			Name: service,
			Kind: config.KindEngine,
			Models: []config.Model{{
				Name:    model,
				Version: "1",
			}},
		}},
	}
}
