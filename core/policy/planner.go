package policy

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// pendingFor is how long a change that the plan does not show yet is wanted.
const pendingFor = time.Minute

// Report is what the newest report of a sidecar says of its engine.
type Report struct {
	// Active is the configuration that the engine serves.
	Active waxwingpick.EngineConfig
	Load   waxwingpick.TargetLoad
}

// Input is what a Planner decides from.
type Input struct {
	Service config.Service
	Config  config.Record
	Plan    plan.Record
	// Instances are the target instances of the service, leaving ones included.
	Instances []waxwingpick.Instance
	// Reports are the newest reports; an engine without one is no capacity and changes nothing.
	Reports map[waxwingpick.TargetID]Report
	// Work is what was reported since the last call.
	Work Work
	// Rates are the rates of one engine, those of the reports where one is zero; without any only the preset's bounds
	// are repaired.
	Rates Rates
}

// Planner turns the decisions on one service into the wanted configurations of its plan.
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

// NewPlanner returns a Planner whose Decider and Mix have the options.
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

// reset forgets what was started, as a new holder of the authority knows nothing of it.
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

// Plan returns the wanted configuration of each target; one that it leaves out keeps its own.
func (p *Planner) Plan(now time.Time, in Input) []plan.Wanted {
	p.enter(now, in)
	p.mix.Observe(now, in.Work)
	if len(in.Service.Models) == 0 {
		return nil
	}
	rules := RulesOf(in.Service, in.Config)
	d := newDraft(in, p.wanted(now, in.Plan))
	p.decideRoles(now, d, rules)
	p.decideModels(now, d, rules)
	p.admit(now, d, rules)
	return d.targets
}

// enter starts anew where the authority was lost and won back.
func (p *Planner) enter(now time.Time, in Input) {
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

// wanted returns the plan's configurations with those changes that the plan does not show yet.
func (p *Planner) wanted(now time.Time, rec plan.Record) map[waxwingpick.TargetID]waxwingpick.EngineConfig {
	wanted := make(map[waxwingpick.TargetID]waxwingpick.EngineConfig, len(rec.Targets))
	for _, t := range rec.Targets {
		wanted[t.ID] = t.Order.Config
	}
	for id, c := range p.pending {
		if wanted[id] == c.config || now.Sub(c.since) >= pendingFor {
			delete(p.pending, id)
			continue
		}
		wanted[id] = c.config
	}
	return wanted
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
		p.want(now, *w)
	}
}

// decideModels moves engines whose model or version is not listed any more.
func (p *Planner) decideModels(now time.Time, d *draft, rules Rules) {
	foreign := waxwingpick.NewSet[waxwingpick.TargetID]()
	for _, w := range d.targets {
		if d.model(w.Config) < 0 {
			foreign.Add(w.ID)
		}
	}
	allow := func() bool {
		return p.loads.take(now, rules.WeightLoadsPerMinute)
	}
	for _, id := range p.decider.Reload(now, d.engines, foreign, rules, allow) {
		w := d.target(id)
		w.Config = d.assign(w.Config)
		p.want(now, *w)
	}
}

// admit gives new targets their first configuration: the one that they serve already, if its model is listed, since that
// loads nothing, else one within the bound on weight loads.
func (p *Planner) admit(now time.Time, d *draft, rules Rules) {
	for _, i := range d.fresh {
		c := d.in.Reports[i.Target].Active
		if m := d.model(c); m >= 0 {
			d.have[m]++
		} else {
			if !p.loads.take(now, rules.WeightLoadsPerMinute) {
				continue
			}
			c = d.assign(waxwingpick.EngineConfig{
				Role: d.firstRole(rules),
			})
		}
		w := plan.Wanted{
			ID:       i.Target,
			Instance: i.ID,
			Zone:     i.Zone,
			Config:   c,
		}
		d.targets = append(d.targets, w)
		p.want(now, w)
	}
}

func (p *Planner) want(now time.Time, w plan.Wanted) {
	p.pending[w.ID] = pending{
		config: w.Config,
		since:  now,
	}
}
