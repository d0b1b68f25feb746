package policy

import (
	"slices"

	"waxwingpick"
	"waxwingpick/core/config"
)

// serves reports whether an engine's configuration has the listed model, adapter and version.
func serves(m config.Model, c waxwingpick.EngineConfig) bool {
	return m.Name == c.Model && m.Adapter == c.Adapter && m.Version == c.Version
}

// replaces reports whether a listed model has the model name and adapter of an engine's configuration.
func replaces(m config.Model, c waxwingpick.EngineConfig) bool {
	return m.Name == c.Model && m.Adapter == c.Adapter
}

// desiredEngines returns the number of engines for each model. Models without a configured number share the remaining
// engines evenly.
func desiredEngines(models []config.Model, engines int) []int {
	desired := make([]int, len(models))
	unspecified := 0
	for i, m := range models {
		desired[i] = m.Engines
		engines -= m.Engines
		if m.Engines == 0 {
			unspecified++
		}
	}
	for i, m := range models {
		if m.Engines > 0 || engines <= 0 {
			continue
		}
		desired[i] = (engines + unspecified - 1) / unspecified
		engines -= desired[i]
		unspecified--
	}
	return desired
}

// scarcest returns the model with the largest shortage of engines.
func scarcest(models []config.Model, desired, actual []int) int {
	best := 0
	for i := range models {
		if desired[i]-actual[i] > desired[best]-actual[best] {
			best = i
		}
	}
	return best
}

// modelFor returns the model for an engine without a listed one: another version of its model if listed, otherwise the
// scarcest model.
func modelFor(models []config.Model, c waxwingpick.EngineConfig, desired, actual []int) int {
	i := slices.IndexFunc(models, func(m config.Model) bool {
		return replaces(m, c)
	})
	if i >= 0 {
		return i
	}
	return scarcest(models, desired, actual)
}

// withModel returns the configuration with another model.
func withModel(c waxwingpick.EngineConfig, m config.Model) waxwingpick.EngineConfig {
	c.Model = m.Name
	c.Adapter = m.Adapter
	c.Version = m.Version
	return c
}
