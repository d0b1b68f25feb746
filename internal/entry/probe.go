package entry

import (
	"context"
	"time"

	"waxwingpick"
	"waxwingpick/io/sidecar"
)

const (
	probePeriod  = 100 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	probesAtOnce = 16
	// maxPeers bounds the connections for control: those of the sample stay open beside those that the role policy needs.
	maxPeers = 128
)

// updateTargets puts the platform's list, the accepted departures and the plans in force.
func (p *Process) updateTargets() {
	p.targetsMu.Lock()
	defer p.targetsMu.Unlock()
	list := p.instances()
	p.shareBudget(list)
	p.quotas.setEntries(p.timers.Now(), list)
	if err := p.fleet.update(p.timers.Now(), list, p.leaving(), p.plan); err != nil {
		p.log.WithField("error", err.Error()).Error("targets not updated")
	}
}

// ageReports lets the plan count for the targets whose reports are old.
func (p *Process) ageReports(time.Time) {
	p.updateTargets()
}

// probeTargets asks the sidecars whose reports are due, side by side.
func (p *Process) probeTargets(now time.Time) {
	for _, s := range p.fleet.all() {
		for _, instance := range s.probes(now) {
			select {
			case p.probeSlots <- struct{}{}:
			default:
				return
			}
			started := p.work.Start(func() {
				defer func() {
					<-p.probeSlots
				}()
				p.probe(s, instance)
			})
			if !started {
				<-p.probeSlots
			}
		}
	}
}

// probe asks one sidecar for its report, and for its crash suspects where they differ.
func (p *Process) probe(s *serviceTargets, instance waxwingpick.Instance) bool {
	ctx, cancel := context.WithTimeout(p.lifecycle, probeTimeout)
	defer cancel()
	req := sidecar.ProbeRequest{
		SuspectsSum: p.suspects.Sum(p.timers.Now()),
		RecordsSum:  p.records.Sum(),
	}
	base, known := s.newest(instance.Target)
	if known {
		req.Known = base.Sum()
	}
	var resp sidecar.ProbeResponse
	if err := p.client.Call(ctx, instance.Control, sidecar.MethodProbe, req, &resp); err != nil {
		p.log.WithField("target", instance.Target).WithField("error", err.Error()).Debug("sidecar not probed")
		s.probeFailed(instance.Target)
		return false
	}
	report, err := resp.Decode(req, base)
	if err != nil {
		p.log.WithField("target", instance.Target).WithField("error", err.Error()).Warn("answer to a probe not decoded")
		s.probeFailed(instance.Target)
		return false
	}
	now := p.timers.Now()
	if resp.Suspects(req) != p.suspects.Sum(now) {
		p.exchangeSuspects(ctx, instance)
	}
	p.records.Heard(resp.Records(req))
	s.observe(now, report)
	return true
}

// exchangeSuspects tells a sidecar which crash suspects are known here, and learns which are known there.
func (p *Process) exchangeSuspects(ctx context.Context, instance waxwingpick.Instance) {
	var known sidecar.SuspectsMessage
	err := p.client.Call(ctx, instance.Control, sidecar.MethodSuspects, sidecar.SuspectsMessage{
		Records: p.suspects.Records(p.timers.Now()),
	}, &known)
	if err != nil {
		p.log.WithField("target", instance.Target).WithField("error", err.Error()).Debug("suspects not exchanged")
		return
	}
	p.suspects.Merge(p.timers.Now(), known.Records)
}
