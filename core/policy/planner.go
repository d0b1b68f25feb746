package policy

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// pendingTimeout is how long a change is kept that the plan does not contain yet.
const pendingTimeout = time.Minute

// Report is the state of an engine according to the newest report of its sidecar.
type Report struct {
	// Active is the configuration that the engine serves.
	Active waxwingpick.EngineConfig
	Load   waxwingpick.TargetLoad
}

// Input is the state on which a Planner bases its decisions.
type Input struct {
	Service config.Service
	Config  config.Record
	Plan    plan.Record
	// Instances are the target instances of the service, leaving ones included.
	Instances []waxwingpick.Instance
	// Reports holds the newest reports. An engine without one does not count as capacity and is not changed.
	Reports map[waxwingpick.TargetID]Report
	// Work is the work reported since the last call.
	Work Work
	// Rates are the rates of one engine. If one of them is zero, the rates in the reports are used. If neither gives
	// rates, only violations of the preset's bounds are repaired.
	Rates Rates
}

// Planner turns the decisions on one service into the desired configurations of its plan.
type Planner struct {
	opts    []Option
	mixOpts []MixOption
	decider *Decider
	mix     *Mix
	loads   loads
	epoch   int64
	pending map[waxwingpick.TargetID]pending
}

type pending struct {
	config waxwingpick.EngineConfig
	since  time.Time
}

// NewPlanner returns a Planner with the options for its Mix and Decider. It fails if an option is out of bounds.
func NewPlanner(mixOpts []MixOption, opts ...Option) (*Planner, error) {
	p := &Planner{
		opts:    opts,
		mixOpts: mixOpts,
	}
	mix, err := NewMix(mixOpts...)
	if err != nil {
		return nil, err
	}
	p.mix = mix
	return p, p.reset()
}

// reset drops the record of started changes, which a new holder of the authority does not have.
func (p *Planner) reset() error {
	d, err := NewDecider(p.opts...)
	if err != nil {
		return err
	}
	p.decider = d
	p.pending = make(map[waxwingpick.TargetID]pending)
	p.loads = loads{}
	return nil
}

// Plan returns the desired configuration of each target. A target that is left out keeps its configuration.
func (p *Planner) Plan(now time.Time, in Input) []plan.DesiredTarget {
	p.checkEpoch(now, in)
	p.mix.Observe(now, in.Work)
	if len(in.Service.Models) == 0 {
		return nil
	}
	rules := RulesOf(in.Service, in.Config)
	d := newDraft(in, p.desired(now, in.Plan))
	p.decideRoles(now, d, rules)
	p.decideModels(now, d, rules)
	p.configureNew(now, d, rules)
	return d.targets
}

// checkEpoch resets the Planner if the authority was acquired again in a new epoch.
func (p *Planner) checkEpoch(now time.Time, in Input) {
	if p.epoch == in.Plan.Epoch {
		return
	}
	p.epoch = in.Plan.Epoch
	if err := p.reset(); err != nil {
		panic(err) // NewPlanner has checked the options.
	}
	p.loads.heldBefore = len(in.Plan.Targets) > 0
	p.loads.since = now
}

// desired returns the plan's configurations with the changes that the plan does not contain yet.
func (p *Planner) desired(now time.Time, rec plan.Record) map[waxwingpick.TargetID]waxwingpick.EngineConfig {
	desired := make(map[waxwingpick.TargetID]waxwingpick.EngineConfig, len(rec.Targets))
	for _, t := range rec.Targets {
		desired[t.ID] = t.Order.Config
	}
	for id, c := range p.pending {
		if desired[id] == c.config || now.Sub(c.since) >= pendingTimeout {
			delete(p.pending, id)
			continue
		}
		desired[id] = c.config
	}
	return desired
}

func (p *Planner) decideRoles(now time.Time, d *draft, rules Rules) {
	demand := waxwingpick.None[Demand]()
	rates := d.in.Rates
	if rates.PrefillTokensPerSecond <= 0 || rates.DecodeTokensPerSecond <= 0 {
		rates = ReportedRates(d.in.Reports)
	}
	if p.mix.Ready() && rates.PrefillTokensPerSecond > 0 && rates.DecodeTokensPerSecond > 0 {
		demand = waxwingpick.Some(p.mix.Demand(p.decider.Ahead(rules), rates))
	}
	for _, c := range p.decider.Decide(now, d.engines, demand, rules) {
		w := d.target(c.Target)
		w.Config.Role = c.To
		p.addPending(now, *w)
	}
}

// decideModels assigns listed models to engines whose model or version is no longer listed.
func (p *Planner) decideModels(now time.Time, d *draft, rules Rules) {
	unlisted := waxwingpick.NewSet[waxwingpick.TargetID]()
	for _, w := range d.targets {
		if d.model(w.Config) < 0 {
			unlisted.Add(w.ID)
		}
	}
	allow := func() bool {
		return p.loads.take(now, rules.WeightLoadsPerMinute)
	}
	for _, id := range p.decider.Reload(now, d.engines, unlisted, rules, allow) {
		w := d.target(id)
		w.Config = d.assign(w.Config)
		p.addPending(now, *w)
	}
}

// configureNew gives new targets their first configuration. If a target already serves a listed model, it keeps that
// configuration, because this loads no weights. Otherwise the assignment is subject to the bound on weight loads.
func (p *Planner) configureNew(now time.Time, d *draft, rules Rules) {
	for _, i := range d.unconfigured {
		c := d.in.Reports[i.Target].Active
		if m := d.model(c); m >= 0 {
			d.actual[m]++
		} else {
			if !p.loads.take(now, rules.WeightLoadsPerMinute) {
				continue
			}
			c = d.assign(waxwingpick.EngineConfig{
				Role: d.firstRole(rules),
			})
		}
		w := plan.DesiredTarget{
			ID:       i.Target,
			Instance: i.ID,
			Zone:     i.Zone,
			Config:   c,
		}
		d.targets = append(d.targets, w)
		p.addPending(now, w)
	}
}

func (p *Planner) addPending(now time.Time, w plan.DesiredTarget) {
	p.pending[w.ID] = pending{
		config: w.Config,
		since:  now,
	}
}
