package sidecar

import (
	"fmt"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/config"
	"waxwingpick/internal/instancelist"
	"waxwingpick/internal/orderrunner"
	"waxwingpick/internal/records"
	"waxwingpick/io/jsonrpc"
)

const (
	// workspaceBurstSeconds is the burst of a workspace, in seconds of its rate.
	workspaceBurstSeconds = 2
	// workspaceGuardFactor is the multiple of the highest workspace rate that a target accepts from one workspace. Entries
	// limit each workspace to its fleet-wide rate, and to twice that rate during a partition. The guard rejects any excess.
	workspaceGuardFactor = 2
)

// createRunners creates the runners of the instance list and of the local copy of the records.
func (p *Process) createRunners() error {
	self := waxwingpick.Instance{
		ID:      p.options.Instance,
		Kind:    waxwingpick.KindTarget,
		Zone:    p.options.Zone,
		Control: p.options.Control,
		Service: p.options.Service,
		Target:  p.options.Target,
	}
	p.list = instancelist.New(self, p.options.Platform, p.timers, instancelist.WithLog(p.log),
		instancelist.WithReadObserver(p.metrics.ListRead), instancelist.WithIndependentReads(p.options.IndependentList))
	p.metrics.ListAge(p.list.Age)
	var err error
	p.records, err = records.New(self, p.kv, p.timers, jsonrpc.NewPeers(p.client), p.instances, records.WithLog(p.log), records.WithList(p.list.Shared()))
	if err != nil {
		return fmt.Errorf("create records: %w", err)
	}
	jsonrpc.HandlePeers(p.control, p.records)
	return nil
}

func (p *Process) startRunners() {
	p.list.Subscribe(p.applyConfig)
	p.list.Read(p.lifecycle)
	p.stops = append(p.stops,
		p.records.Subscribe(p.applyConfig))
	p.loops.Go(func() {
		p.list.Run(p.lifecycle)
	})
	p.loops.Go(func() {
		p.records.Run(p.lifecycle)
	})
	if p.engine != nil {
		p.loops.Go(p.runEngineOrders)
	}
}

// runEngineOrders executes the plan's orders for the engine.
func (p *Process) runEngineOrders() {
	orders, err := orderrunner.New(p.options.Service, p.target, p.kv, p.timers, p.engine, p, p.records,
		orderrunner.WithLog(p.log),
		orderrunner.WithChecksFencing(p.checksFencing))
	if err != nil {
		p.log.WithField("error", err.Error()).Error("failed to create order runner")
		return
	}
	orders.Run(p.lifecycle)
}

// checksFencing reports whether the engine checks fencing numbers, according to the accepted configuration.
func (p *Process) checksFencing() bool {
	cfg, _ := p.records.Config()
	return slices.ContainsFunc(cfg.Services, func(s config.Service) bool {
		return s.Name == p.options.Service && s.ChecksFencing
	})
}

func (p *Process) instances() []waxwingpick.Instance {
	return p.list.Instances()
}

// applyConfig applies the accepted configuration and the platform's list: departure and admission limits.
func (p *Process) applyConfig() {
	cfg, _ := p.records.Config()
	by, leaving := p.departure(cfg)
	if leaving {
		p.gate.StartDrain(by)
	} else {
		p.gate.CancelDrain()
	}
	p.updateAdmission()
	p.metrics.Draining(leaving)
	p.metrics.Revision("config", cfg.Revision)
	if err := p.admitter.setOptions(p.admissionOptions(cfg)...); err != nil {
		p.log.WithField("error", err.Error()).Warn("failed to apply the configured limits")
	}
}

// admissionOptions returns the admission limits of this target in the accepted configuration.
func (p *Process) admissionOptions(cfg config.Record) []admission.Option {
	var opts []admission.Option
	if cfg.Limits.MaxQueue > 0 {
		opts = append(opts, admission.Queue(cfg.Limits.MaxQueue))
	}
	perSecond := workspaceGuard(cfg.Limits)
	opts = append(opts, admission.WorkspaceRate(perSecond, max(1, int(workspaceBurstSeconds*perSecond))))
	for _, s := range cfg.Services {
		if s.Name == p.options.Service && s.MaxConcurrent > 0 {
			opts = append(opts, admission.Slots(s.MaxConcurrent))
		}
	}
	for _, preset := range cfg.Presets {
		if preset.Name == cfg.InForce {
			opts = append(opts, admission.Reserve(preset.Reserve))
		}
	}
	return opts
}

// workspaceGuard returns the maximum rate of one workspace at this target, in requests per second; zero means no limit.
func workspaceGuard(limits config.Limits) float64 {
	highest := limits.WorkspaceRequestsPerSecond
	unbounded := highest == 0
	for _, r := range limits.WorkspaceRates {
		highest = max(highest, r.RequestsPerSecond)
		unbounded = unbounded || r.RequestsPerSecond == 0
	}
	if unbounded {
		return 0
	}
	return workspaceGuardFactor * highest
}

// departure returns the time by which this instance leaves, and whether operators or the platform have marked it as
// leaving.
func (p *Process) departure(cfg config.Record) (time.Time, bool) {
	for _, l := range cfg.Leaving {
		if l.Instance == p.options.Instance {
			return l.By, true
		}
	}
	for _, i := range p.instances() {
		if i.ID == p.options.Instance && i.Leaving {
			return i.LeaveBy, true
		}
	}
	return time.Time{}, false
}

func (p *Process) configRevision() int64 {
	cfg, _ := p.records.Config()
	return cfg.Revision
}
