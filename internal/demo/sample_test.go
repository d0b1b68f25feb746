package demo

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
)

func testConfig() config.Record {
	return config.Record{
		InForce: "ordinary",
		Presets: []config.Preset{{
			Name: "ordinary",
			Classes: []config.ClassPolicy{{
				Class:     waxwingpick.ClassQuick,
				Deadline:  config.Duration(5 * time.Second),
				Objective: 0.95,
			}, {
				Class:     waxwingpick.ClassLong,
				Deadline:  config.Duration(20 * time.Second),
				Objective: 0.95,
			}, {
				Class:     waxwingpick.ClassOrder,
				Deadline:  config.Duration(5 * time.Second),
				Objective: 0.99,
			}},
			RoleChangesInFlight: 1,
		}, {
			Name:                "peak",
			RoleChangesInFlight: 1,
		}},
		Services: []config.Service{{
			Name:          "stundenplan-llm",
			Kind:          config.KindEngine,
			ChecksFencing: true,
			Models: []config.Model{{
				Name:    "stundenplan",
				Version: "1",
			}},
		}, {
			Name: "studio-app",
			Kind: config.KindPlain,
		}},
		Limits: config.Limits{
			RetryBudget: 0.1,
		},
	}
}
