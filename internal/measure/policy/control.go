package main

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/policy"
)

// controller proposes role changes; serving counts engines that are not changing and not leaving.
type controller func(now time.Time, engines []policy.Engine, d policy.Demand) []policy.Change

// controlPolicy is one way to give engines roles.
type controlPolicy struct {
	name string
	// prefill is the number of prefill engines at the start, rest the role of the others.
	prefill int
	rest    waxwingpick.Role
	// fixed marks fixed splits.
	fixed bool
	// halfLives are those of the smoothed work and of its trend; zero for the defaults.
	halfLives [2]time.Duration
	// control returns what decides during the run; nil for never.
	control func(f fleet) (controller, error)
}

const (
	thresholdName = "threshold"
	mixedName     = "mixed, bounded prefill"
	// helpedEngines is the number of engines with one prefill engine among them.
	helpedEngines = 6
)

func policies(f fleet) []controlPolicy {
	ps := []controlPolicy{}
	for _, p := range f.splits {
		ps = append(ps, controlPolicy{
			name:    splitName(p, f.engines-p),
			prefill: p,
			rest:    waxwingpick.RoleDecode,
			fixed:   true,
		})
	}
	start := f.engines * startPrefill / startEngines
	return append(ps, []controlPolicy{
		{
			name:    thresholdName,
			prefill: start,
			rest:    waxwingpick.RoleDecode,
			control: proportional(0.5, 0),
		},
		{
			name:    "hysteresis",
			prefill: start,
			rest:    waxwingpick.RoleDecode,
			control: proportional(1.5, hysteresisPause),
		},
		{
			name:      "cost, forecast",
			prefill:   start,
			rest:      waxwingpick.RoleDecode,
			halfLives: calm(),
			control:   costBased(splitRules),
		},
		{
			name:      "cost, forecast, mixed allowed",
			rest:      waxwingpick.RoleMixed,
			halfLives: calm(),
			control:   costBased(mixedRules),
		},
		{
			name: mixedName,
			rest: waxwingpick.RoleMixed,
		},
		{
			name:      "mixed, one in six prefill",
			prefill:   f.engines / helpedEngines,
			rest:      waxwingpick.RoleMixed,
			halfLives: calm(),
			control:   costBased(helpedRules),
		},
	}...)
}

const (
	calmLevel       = 20 * time.Second
	calmTrend       = 2 * time.Minute
	hysteresisPause = 30 * time.Second
	// startPrefill of startEngines engines are prefill engines at the start of policies that change roles.
	startPrefill = 5
	startEngines = 12
	// changesInFlight bounds changes per availability zone for each policy.
	changesInFlight = 1
	drainTime       = 15 * time.Second
)

// proportional wants prefill engines in proportion to the prefill work, and moves one engine as soon as that differs
// from the present number by more than the band, and no sooner than the pause after the last change.
func proportional(band float64, pause time.Duration) func(f fleet) (controller, error) {
	return func(fleet) (controller, error) {
		last := time.Time{}
		return func(now time.Time, engines []policy.Engine, d policy.Demand) []policy.Change {
			if now.Sub(last) < pause {
				return nil
			}
			c, ok := towards(engines, d, band)
			if !ok {
				return nil
			}
			last = now
			return []policy.Change{c}
		}, nil
	}
}

func towards(engines []policy.Engine, d policy.Demand, band float64) (policy.Change, bool) {
	prefill, all := 0, 0
	busy := make(map[waxwingpick.AvailabilityZone]int)
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		all++
		if e.Role == waxwingpick.RolePrefill {
			prefill++
		}
		if !e.Ready {
			busy[e.Zone]++
		}
	}
	wanted := float64(all) * d.PrefillEngines / (d.PrefillEngines + d.DecodeEngines)
	wanted = min(max(wanted, 1), float64(all-1))
	c := policy.Change{
		From: waxwingpick.RoleDecode,
		To:   waxwingpick.RolePrefill,
	}
	if wanted < float64(prefill) {
		c.From, c.To = c.To, c.From
	}
	if diff := wanted - float64(prefill); diff >= -band && diff <= band {
		return policy.Change{}, false
	}
	return emptiest(engines, busy, c)
}

func emptiest(engines []policy.Engine, busy map[waxwingpick.AvailabilityZone]int, c policy.Change) (policy.Change, bool) {
	least := -1
	for _, e := range engines {
		if e.Leaving || !e.Ready || e.Role != c.From || busy[e.Zone] >= changesInFlight {
			continue
		}
		if least < 0 || e.Running < least {
			least = e.Running
			c.Target = e.Target
		}
	}
	return c, least >= 0
}

func splitRules(f fleet) policy.Rules {
	r := mixedRules(f)
	r.Mixed.Max = 0
	r.Prefill.Min = 1
	r.Decode.Min = 1
	return r
}

func mixedRules(f fleet) policy.Rules {
	free := policy.Bound{
		Max: f.engines,
	}
	return policy.Rules{
		Mixed:      free,
		Prefill:    free,
		Decode:     free,
		Price:      f.price,
		InFlight:   changesInFlight,
		ChangeTime: engineSpec("", "").RoleChangeTime,
	}
}

// helpedRules are the bounds by which a preset keeps one engine in six for prefill.
func helpedRules(f fleet) policy.Rules {
	r := mixedRules(f)
	helped := f.engines / helpedEngines
	r.Prefill = policy.Bound{
		Min: helped,
		Max: helped,
	}
	r.Decode = policy.Bound{}
	return r
}

func costBased(rules func(f fleet) policy.Rules) func(f fleet) (controller, error) {
	return func(f fleet) (controller, error) {
		d, err := policy.NewDecider(policy.DrainTime(drainTime))
		if err != nil {
			return nil, err
		}
		return func(now time.Time, engines []policy.Engine, demand policy.Demand) []policy.Change {
			return d.Decide(now, engines, waxwingpick.Some(demand), rules(f))
		}, nil
	}
}

// calm smooths the work over more than one long request of each workspace.
func calm() [2]time.Duration {
	return [2]time.Duration{calmLevel, calmTrend}
}
