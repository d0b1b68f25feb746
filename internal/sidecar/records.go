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
	// workspaceBurst is the time in seconds whose requests a workspace may send at once.
	workspaceBurst = 2
	// guardFactor is what a target takes of the highest rate of any workspace. Entries hold each workspace to its rate over
	// the fleet, and to twice of it while they are cut off from one another; the guard is for what exceeds even that.
	guardFactor = 2
)

// createRunners makes the copy of the accepted records.
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
		instancelist.WithCount(p.metrics.ListRead), instancelist.WithOwnReads(p.options.OwnList))
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
		p.loops.Go(p.runOrders)
	}
}

// runOrders executes the plan's orders.
func (p *Process) runOrders() {
	orders, err := orderrunner.New(p.options.Service, p.target, p.kv, p.timers, p.engine, p, p.records,
		orderrunner.WithLog(p.log),
		orderrunner.WithChecksFencing(p.checksFencing))
	if err != nil {
		p.log.WithField("error", err.Error()).Error("order runner not created")
		return
	}
	orders.Run(p.lifecycle)
}

// checksFencing reports whether the accepted configuration says that the engine checks fencing numbers.
func (p *Process) checksFencing() bool {
	cfg, _ := p.records.Config()
	return slices.ContainsFunc(cfg.Services, func(s config.Service) bool {
		return s.Name == p.options.Service && s.ChecksFencing
	})
}

func (p *Process) instances() []waxwingpick.Instance {
	return p.list.Instances()
}

// applyConfig follows the accepted configuration and the platform's list: leave, reserve.
func (p *Process) applyConfig() {
	cfg, _ := p.records.Config()
	by, leaving := p.announcedLeave(cfg)
	if leaving {
		p.gate.Announce(by)
	} else {
		p.gate.Withdraw()
	}
	p.updateAdmission()
	p.metrics.Draining(leaving)
	p.metrics.Revision("config", cfg.Revision)
	if err := p.admitter.set(p.limits(cfg)...); err != nil {
		p.log.WithField("error", err.Error()).Warn("limits of the configuration not taken")
	}
}

// limits returns what the accepted configuration says of admission at this target.
func (p *Process) limits(cfg config.Record) []admission.Option {
	var opts []admission.Option
	if cfg.Limits.MaxQueue > 0 {
		opts = append(opts, admission.Queue(cfg.Limits.MaxQueue))
	}
	perSecond := workspaceGuard(cfg.Limits)
	opts = append(opts, admission.WorkspaceRate(perSecond, max(1, int(workspaceBurst*perSecond))))
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

// workspaceGuard returns the requests a second of one workspace that this target takes, zero where any number.
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
	return guardFactor * highest
}

// announcedLeave tells whether the operators or the platform take the instance away, and when.
func (p *Process) announcedLeave(cfg config.Record) (time.Time, bool) {
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
