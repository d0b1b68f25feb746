package policy

import (
	"slices"

	"waxwingpick"
	"waxwingpick/core/config"
)

// serves reports whether an engine has the model, adapter and version that the service lists.
func serves(m config.Model, c waxwingpick.EngineConfig) bool {
	return m.Name == c.Model && m.Adapter == c.Adapter && m.Version == c.Version
}

// replaces reports whether a model is another version of what an engine has.
func replaces(m config.Model, c waxwingpick.EngineConfig) bool {
	return m.Name == c.Model && m.Adapter == c.Adapter
}

// wantedEngines returns how many engines each model should have; models without a number share what is left evenly.
func wantedEngines(models []config.Model, engines int) []int {
	wanted := make([]int, len(models))
	open := 0
	for i, m := range models {
		wanted[i] = m.Engines
		engines -= m.Engines
		if m.Engines == 0 {
			open++
		}
	}
	for i, m := range models {
		if m.Engines > 0 || engines <= 0 {
			continue
		}
		wanted[i] = (engines + open - 1) / open
		engines -= wanted[i]
		open--
	}
	return wanted
}

// scarcest returns the model that lacks most engines.
func scarcest(models []config.Model, wanted, have []int) int {
	best := 0
	for i := range models {
		if wanted[i]-have[i] > wanted[best]-have[best] {
			best = i
		}
	}
	return best
}

// modelFor returns the model for an engine that has no listed one: another version of its own, else the scarcest.
func modelFor(models []config.Model, c waxwingpick.EngineConfig, wanted, have []int) int {
	i := slices.IndexFunc(models, func(m config.Model) bool {
		return replaces(m, c)
	})
	if i >= 0 {
		return i
	}
	return scarcest(models, wanted, have)
}

// withModel returns the configuration with another model.
func withModel(c waxwingpick.EngineConfig, m config.Model) waxwingpick.EngineConfig {
	c.Model = m.Name
	c.Adapter = m.Adapter
	c.Version = m.Version
	return c
}
