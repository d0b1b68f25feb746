package main

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/policy"
)

// controller proposes role changes for the engines at a demand.
type controller func(now time.Time, engines []policy.Engine, d policy.Demand) []policy.Change

// controlPolicy is a policy that assigns roles to engines.
type controlPolicy struct {
	name string
	// prefill is the initial number of prefill engines, otherRole the initial role of the others.
	prefill   int
	otherRole waxwingpick.Role
	// fixed marks policies with a fixed split between prefill and decode engines.
	fixed bool
	// halfLives are the half-lives of the smoothed work and of its trend; zero selects the defaults.
	halfLives [2]time.Duration
	// control returns the controller; nil means that roles never change.
	control func(f fleet) (controller, error)
}

const (
	thresholdName = "threshold"
	mixedName     = "mixed, bounded prefill"
	// enginesPerPrefill is the number of engines of which one is reserved for prefill.
	enginesPerPrefill = 6
)

func policies(f fleet) []controlPolicy {
	ps := []controlPolicy{}
	for _, p := range f.splits {
		ps = append(ps, controlPolicy{
			name:      splitName(p, f.engines-p),
			prefill:   p,
			otherRole: waxwingpick.RoleDecode,
			fixed:     true,
		})
	}
	start := f.engines * startPrefill / startEngines
	return append(ps, []controlPolicy{
		{
			name:      thresholdName,
			prefill:   start,
			otherRole: waxwingpick.RoleDecode,
			control:   proportional(0.5, 0),
		},
		{
			name:      "hysteresis",
			prefill:   start,
			otherRole: waxwingpick.RoleDecode,
			control:   proportional(1.5, hysteresisDelay),
		},
		{
			name:      "cost, forecast",
			prefill:   start,
			otherRole: waxwingpick.RoleDecode,
			halfLives: smoothHalfLives(),
			control:   costBased(splitRules),
		},
		{
			name:      "cost, forecast, mixed allowed",
			otherRole: waxwingpick.RoleMixed,
			halfLives: smoothHalfLives(),
			control:   costBased(mixedRules),
		},
		{
			name:      mixedName,
			otherRole: waxwingpick.RoleMixed,
		},
		{
			name:      "mixed, one in six prefill",
			prefill:   f.engines / enginesPerPrefill,
			otherRole: waxwingpick.RoleMixed,
			halfLives: smoothHalfLives(),
			control:   costBased(reservedPrefillRules),
		},
	}...)
}

const (
	levelHalfLife   = 20 * time.Second
	trendHalfLife   = 2 * time.Minute
	hysteresisDelay = 30 * time.Second
	// startPrefill of startEngines engines are initially prefill engines under policies that change roles.
	startPrefill = 5
	startEngines = 12
	// changesInFlight is the maximum number of concurrent role changes per availability zone.
	changesInFlight = 1
	drainTime       = 15 * time.Second
)

// proportional returns a controller that sets the number of prefill engines in proportion to the prefill work. It
// changes one engine when the desired number differs from the present one by more than the band, and when the delay
// after the last change is over.
func proportional(band float64, delay time.Duration) func(f fleet) (controller, error) {
	return func(fleet) (controller, error) {
		last := time.Time{}
		return func(now time.Time, engines []policy.Engine, d policy.Demand) []policy.Change {
			if now.Sub(last) < delay {
				return nil
			}
			c, ok := rebalance(engines, d, band)
			if !ok {
				return nil
			}
			last = now
			return []policy.Change{c}
		}, nil
	}
}

func rebalance(engines []policy.Engine, d policy.Demand, band float64) (policy.Change, bool) {
	prefill, all := 0, 0
	changing := make(map[waxwingpick.AvailabilityZone]int)
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		all++
		if e.Role == waxwingpick.RolePrefill {
			prefill++
		}
		if !e.Ready {
			changing[e.Zone]++
		}
	}
	desired := float64(all) * d.PrefillEngines / (d.PrefillEngines + d.DecodeEngines)
	desired = min(max(desired, 1), float64(all-1))
	c := policy.Change{
		From: waxwingpick.RoleDecode,
		To:   waxwingpick.RolePrefill,
	}
	if desired < float64(prefill) {
		c.From, c.To = c.To, c.From
	}
	if diff := desired - float64(prefill); diff >= -band && diff <= band {
		return policy.Change{}, false
	}
	return leastLoaded(engines, changing, c)
}

func leastLoaded(engines []policy.Engine, changing map[waxwingpick.AvailabilityZone]int, c policy.Change) (policy.Change, bool) {
	minRunning := -1
	for _, e := range engines {
		if e.Leaving || !e.Ready || e.Role != c.From || changing[e.Zone] >= changesInFlight {
			continue
		}
		if minRunning < 0 || e.Running < minRunning {
			minRunning = e.Running
			c.Target = e.Target
		}
	}
	return c, minRunning >= 0
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

// reservedPrefillRules returns the bounds of a preset that reserves one engine in enginesPerPrefill for prefill.
func reservedPrefillRules(f fleet) policy.Rules {
	r := mixedRules(f)
	reserved := f.engines / enginesPerPrefill
	r.Prefill = policy.Bound{
		Min: reserved,
		Max: reserved,
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

// smoothHalfLives returns half-lives that smooth the work over more than one long request of each workspace.
func smoothHalfLives() [2]time.Duration {
	return [2]time.Duration{levelHalfLife, trendHalfLife}
}
