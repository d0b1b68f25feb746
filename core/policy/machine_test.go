package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rapidtest"
)

// variant makes the decisions. Faulty variants ignore one rule.
type variant func(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change

func decideAll(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change {
	return d.Decide(now, engines, waxwingpick.Some(demand), rules)
}

// simEngine is the true state of one engine: active is the role that it serves, Role the one in the plan.
type simEngine struct {
	Engine
	active   waxwingpick.Role
	started  time.Time
	until    time.Time
	crashed  time.Time
	reported []waxwingpick.Role
	alive    []bool
}

func (f *simEngine) changing() bool {
	return f.active != f.Role
}

// world drives a Decider with late reports, crashes, leaving engines, preset changes and new holders of the authority.
type world struct {
	now        time.Time
	simEngines []*simEngine
	decider    *Decider
	decide     variant
	rules      Rules
	demand     Demand
	lag        int
	// gains counts changes for gain since the last event.
	gains int
}

const (
	testChangeTime = 8 * time.Second
	testLag        = 4
)

func presets() []Rules {
	free := Bound{
		Max: 99,
	}
	return []Rules{
		{
			Mixed:      free,
			Prefill:    free,
			Decode:     free,
			Price:      5,
			InFlight:   1,
			ChangeTime: testChangeTime,
		},
		{
			Prefill: Bound{
				Min: 2,
				Max: 99,
			},
			Decode: Bound{
				Min: 3,
				Max: 99,
			},
			Price:      40,
			InFlight:   1,
			ChangeTime: testChangeTime,
		},
		{
			Mixed: Bound{
				Min: 2,
				Max: 4,
			},
			Prefill: Bound{
				Min: 1,
				Max: 5,
			},
			Decode:     free,
			Price:      0,
			InFlight:   2,
			ChangeTime: testChangeTime,
		},
		{
			Mixed:      free,
			Price:      10,
			InFlight:   1,
			ChangeTime: testChangeTime,
		},
		{
			Mixed:      free,
			Prefill:    free,
			Decode:     free,
			InFlight:   0,
			ChangeTime: testChangeTime,
		},
	}
}

func newWorld(d rapidtest.Draw, v variant) *world {
	w := &world{
		now:    time.Unix(1000, 0),
		decide: v,
		rules:  presets()[0],
		demand: Demand{
			RequestsPerSecond: 30,
			PrefillEngines:    3,
			DecodeEngines:     5,
		},
		lag: d(testLag + 1),
	}
	w.replaceHolder()
	for i := range 6 + d(7) {
		role := waxwingpick.Roles()[d(3)]
		w.simEngines = append(w.simEngines, &simEngine{
			Engine: Engine{
				Target: waxwingpick.TargetID(fmt.Sprintf("engine-%d", i)),
				Zone:   waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%3)),
				Role:   role,
				Slots:  32,
			},
			active: role,
		})
	}
	return w
}

// replaceHolder starts a new holder, which has no record of changes.
func (w *world) replaceHolder() {
	d, err := NewDecider()
	if err != nil {
		panic(err)
	}
	w.decider = d
}

// episode runs random events and returns the first violated rule.
func episode(v variant) rapidtest.Episode {
	return func(d rapidtest.Draw) error {
		w := newWorld(d, v)
		for range 60 + d(120) {
			w.event(d)
			if err := w.tick(d); err != nil {
				return err
			}
		}
		return nil
	}
}

func (w *world) event(d rapidtest.Draw) {
	f := w.simEngines[d(len(w.simEngines))]
	switch d(40) {
	case 0, 1:
		f.Leaving = !f.Leaving
	case 2:
		f.crashed = w.now.Add(time.Duration(d(40)) * time.Second)
	case 3:
		w.rules = presets()[d(len(presets()))]
	case 4, 5:
		w.demand.PrefillEngines = float64(d(9))
		w.demand.DecodeEngines = float64(d(9))
	case 6:
		w.replaceHolder()
	case 7, 8:
		for _, f := range w.simEngines {
			f.Running = 22 + d(11)
		}
	case 9, 10:
		for _, f := range w.simEngines {
			f.Running = 0
		}
	default:
		return
	}
	w.gains = 0
}

// tick advances the time by a second and lets the Decider decide on reports that are some seconds old.
func (w *world) tick(d rapidtest.Draw) error {
	w.now = w.now.Add(time.Second)
	engines := make([]Engine, 0, len(w.simEngines))
	for _, f := range w.simEngines {
		if f.changing() && w.now.After(f.until) && w.now.After(f.crashed) {
			f.active = f.Role
		}
		f.reported = append(f.reported, f.active)
		f.alive = append(f.alive, !w.now.Before(f.crashed))
		// Reports may arrive out of order.
		at := max(0, len(f.reported)-1-d(w.lag+1))
		e := f.Engine
		e.Ready = f.alive[at] && f.reported[at] == f.Role
		f.Ready = e.Ready
		engines = append(engines, e)
	}
	for _, c := range w.decide(w.decider, w.now, engines, w.demand, w.rules) {
		if err := w.start(d, c); err != nil {
			return err
		}
	}
	return nil
}

// start checks a change against the true state of the engines and applies it.
func (w *world) start(d rapidtest.Draw, c Change) error {
	var f *simEngine
	for _, other := range w.simEngines {
		if other.Target == c.Target {
			f = other
		}
	}
	switch {
	case f.Leaving:
		return eris.Errorf("%s must change although it is leaving", c.Target)
	case f.changing():
		return eris.Errorf("%s must change although it is changing", c.Target)
	case f.Role != c.From || c.From == c.To:
		return eris.Errorf("%s has role %s, not %s", c.Target, f.Role, c.From)
	}
	if err := w.checkPrice(c); err != nil {
		return err
	}
	f.Role = c.To
	f.started = w.now
	f.until = w.now.Add(testChangeTime + time.Duration(d(30))*time.Second)
	return w.checkFleet(c, f)
}

func (w *world) checkFleet(c Change, changed *simEngine) error {
	zone := changed.Zone
	// The requests of the changed engine have to fit into the others.
	inFlight, left, assigned, running, slots := 0, 0, 0, changed.Running, 0
	for _, f := range w.simEngines {
		if f.Leaving {
			continue
		}
		if f.changing() && f.Zone == zone {
			inFlight++
		}
		if f.Role == c.To {
			assigned++
		}
		if f.changing() || !f.Ready || !shares(f.Role, c.From) {
			continue
		}
		slots += f.Slots
		running += f.Running
		if f.Role == c.From {
			left++
		}
	}
	switch {
	case inFlight > w.rules.InFlight:
		return eris.Errorf("%d changes in flight in %s, %d allowed", inFlight, zone, w.rules.InFlight)
	case left < w.rules.Of(c.From).Min:
		return eris.Errorf("%d engines left as %s, minimum %d", left, c.From, w.rules.Of(c.From).Min)
	case assigned > w.rules.Of(c.To).Max:
		return eris.Errorf("%d engines as %s, maximum %d", assigned, c.To, w.rules.Of(c.To).Max)
	case running > slots:
		return eris.Errorf("%d requests run on %d slots", running, slots)
	}
	return nil
}

// checkPrice recomputes the gain by bisection if all engines serve, and bounds the number of changes without an event.
func (w *world) checkPrice(c Change) error {
	if c.Reason != ReasonGain {
		return nil
	}
	w.gains++
	if w.gains > len(w.simEngines) {
		return eris.Errorf("%d changes for gain without an event", w.gains)
	}
	var before Capacity
	for _, f := range w.simEngines {
		if f.Leaving {
			continue
		}
		if f.changing() || !f.Ready || w.now.Sub(f.started) < testChangeTime+DefaultReportLag {
			// The capacity that the Decider expects of this engine is undetermined, and so is the gain.
			return nil
		}
		before.add(f.Role, 1)
	}
	gained := w.servedFraction(before.moved(c.From, c.To)) - w.servedFraction(before)
	lost := w.servedFraction(before) - w.servedFraction(before.without(c.From))
	gain := gained*DefaultHorizon.Seconds() - lost*(DefaultDrainTime+testChangeTime).Seconds()
	gain *= w.demand.RequestsPerSecond
	if gain <= w.rules.Price-0.01 {
		return eris.Errorf("gain of %.1f requests is below the price of %.1f", gain, w.rules.Price)
	}
	return nil
}

// servedFraction returns the largest fraction of the demand that fits, found by bisection.
func (w *world) servedFraction(c Capacity) float64 {
	fits := func(part float64) bool {
		part /= DefaultTargetUtilization
		rest := max(0, part*w.demand.PrefillEngines-float64(c.Prefill)) + max(0, part*w.demand.DecodeEngines-float64(c.Decode))
		return rest <= float64(c.Mixed)*DefaultMixedEfficiency+1e-9
	}
	low, high := 0.0, 1.0
	for range 40 {
		mid := (low + high) / 2
		if fits(mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

func TestDecisionsKeepEveryRule(t *testing.T) {
	rapidtest.Check(t, episode(decideAll))
}

func TestNaiveVariantsAreCaught(t *testing.T) {
	variants := map[string]variant{
		"leaving engines counted": func(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change {
			for i := range engines {
				engines[i].Leaving = false
			}
			return decideAll(d, now, engines, demand, rules)
		},
		"started changes dropped": func(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change {
			clear(d.started)
			return decideAll(d, now, engines, demand, rules)
		},
		"a new holder starts at once": func(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change {
			d.since = now.Add(-time.Hour)
			return decideAll(d, now, engines, demand, rules)
		},
		"price ignored": func(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change {
			rules.Price = 0
			return decideAll(d, now, engines, demand, rules)
		},
		"bounds ignored": func(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change {
			rules.Mixed, rules.Prefill, rules.Decode = Bound{
				Max: 99,
			}, Bound{
				Max: 99,
			}, Bound{
				Max: 99,
			}
			return decideAll(d, now, engines, demand, rules)
		},
		"running work ignored": func(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change {
			for i := range engines {
				engines[i].Running = 0
			}
			return decideAll(d, now, engines, demand, rules)
		},
		"unready engines taken as ready": func(d *Decider, now time.Time, engines []Engine, demand Demand, rules Rules) []Change {
			for i := range engines {
				engines[i].Ready = true
			}
			return decideAll(d, now, engines, demand, rules)
		},
	}
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			err := rapidtest.FirstViolation(episode(v))
			require.Error(t, err)
			t.Log(err)
		})
	}
}
