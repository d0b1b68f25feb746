package entry

import (
	"context"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/ledger"
	"waxwingpick/core/plan"
)

// notReadyRetryAfter is the Retry-After of an entry that has no configuration yet.
const notReadyRetryAfter = time.Second

// instances returns the latest instance list of the platform.
func (p *Process) instances() []waxwingpick.Instance {
	return p.list.Instances()
}

// leavingInstances returns the instances that operators marked as leaving.
func (p *Process) leavingInstances() waxwingpick.Set[waxwingpick.InstanceID] {
	cfg, _ := p.records.Config()
	leaving := waxwingpick.NewSet[waxwingpick.InstanceID]()
	for _, l := range cfg.Leaving {
		leaving.Add(l.Instance)
	}
	return leaving
}

func (p *Process) plan(service waxwingpick.ServiceName) plan.Record {
	rec, _ := p.records.Plan(service)
	return rec
}

func (p *Process) configRevision() int64 {
	cfg, _ := p.records.Config()
	return cfg.Revision
}

// admit admits a request unless the entry is stopping or has no configuration yet.
func (p *Process) admit(now time.Time, id string) error {
	if !p.records.Synced() {
		return waxwingpick.NotRun(waxwingpick.ReasonNotReady, notReadyRetryAfter, "no configuration known yet")
	}
	return p.gate.Enter(now, id, false)
}

// applyConfig copies the limits of the accepted configuration to the components that hold their own copy.
func (p *Process) applyConfig() {
	cfg, _ := p.records.Config()
	p.outcomes.metrics.Revision("config", cfg.Revision)
	p.quotas.setLimits(cfg.Limits)
	p.retryMu.Lock()
	defer p.retryMu.Unlock()
	if err := p.retries.SetFraction(cfg.Limits.RetryBudget); err != nil {
		p.log.WithField("error", err.Error()).Warn("failed to apply the configured retry budget")
	}
}

// orderPolicy returns the retention policy for claims under the accepted configuration.
func (p *Process) orderPolicy() ledger.Policy {
	cfg, _ := p.records.Config()
	return ledger.PolicyFor(cfg.Limits.OrderRetention.Std())
}

// sweepClaims removes expired claims. Only the highest-ranked entry of the instance list does so.
func (p *Process) sweepClaims(now time.Time) {
	var entries []waxwingpick.InstanceID
	for _, i := range p.instances() {
		if i.Kind == waxwingpick.KindEntry && !i.Leaving {
			entries = append(entries, i.ID)
		}
	}
	ranked := plan.Rank(ledger.KeyPrefix, entries)
	if len(ranked) == 0 || ranked[0] != p.options.Instance {
		return
	}
	ctx, cancel := context.WithTimeout(p.lifecycle, ledger.SweepPeriod)
	defer cancel()
	removed, err := p.sweeper.Sweep(ctx, now)
	if err != nil {
		p.log.WithField("error", err.Error()).Warn("failed to remove expired claims")
		return
	}
	if removed > 0 {
		p.log.WithField("removed", removed).Info("removed expired claims")
	}
}

// preset returns the active preset, or the zero preset if there is no configuration yet.
func (p *Process) preset() config.Preset {
	cfg, _ := p.records.Config()
	for _, preset := range cfg.Presets {
		if preset.Name == cfg.InForce {
			return preset
		}
	}
	return config.Preset{}
}

func (p *Process) serviceConfig(name waxwingpick.ServiceName) (config.Service, bool) {
	cfg, _ := p.records.Config()
	for _, s := range cfg.Services {
		if s.Name == name {
			return s, true
		}
	}
	return config.Service{}, false
}

// modelService returns the targets of the service that serves a model, or nil if no service does.
func (p *Process) modelService(model string) *serviceTargets {
	cfg, _ := p.records.Config()
	for _, s := range cfg.Services {
		for _, m := range s.Models {
			if m.Name == model {
				return p.fleet.service(s.Name)
			}
		}
	}
	return nil
}

// Models returns the sorted names of the models that targets currently serve.
func (p *Process) Models() []string {
	models := waxwingpick.NewSet[string]()
	for _, s := range p.fleet.all() {
		s.addModels(&models)
	}
	return models.Sorted()
}
