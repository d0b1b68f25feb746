package entry

import (
	"context"
	"time"

	"waxwingpick"
	"waxwingpick/io/sidecar"
)

const (
	probePeriod         = 100 * time.Millisecond
	probeTimeout        = 500 * time.Millisecond
	maxConcurrentProbes = 16
	// maxControlPeers bounds the control connections. Those to sampled targets stay open beside those for the role policy.
	maxControlPeers = 128
)

// updateTargets applies the platform's list, the accepted configuration's list of leaving instances and the plans.
func (p *Process) updateTargets() {
	p.targetsMu.Lock()
	defer p.targetsMu.Unlock()
	list := p.instances()
	p.updateBudgetShare(list)
	p.quotas.setEntries(p.timers.Now(), list)
	if err := p.fleet.update(p.timers.Now(), list, p.leavingInstances(), p.plan); err != nil {
		p.log.WithField("error", err.Error()).Error("failed to update targets")
	}
}

// expireReports applies the plan to targets whose reports have expired.
func (p *Process) expireReports(time.Time) {
	p.updateTargets()
}

// probeTargets probes the sidecars that are due, concurrently.
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

// probe requests the report of one sidecar, and exchanges crash suspects if they differ.
func (p *Process) probe(s *serviceTargets, instance waxwingpick.Instance) bool {
	ctx, cancel := context.WithTimeout(p.lifecycle, probeTimeout)
	defer cancel()
	req := sidecar.ProbeRequest{
		SuspectsSum: p.suspects.Sum(p.timers.Now()),
		RecordsSum:  p.records.Sum(),
	}
	base, known := s.latestReport(instance.Target)
	if known {
		req.BaseSum = base.Sum()
	}
	var resp sidecar.ProbeResponse
	if err := p.client.Call(ctx, instance.Control, sidecar.MethodProbe, req, &resp); err != nil {
		p.log.WithField("target", instance.Target).WithField("error", err.Error()).Debug("sidecar probe failed")
		s.probeFailed(instance.Target)
		return false
	}
	report, err := resp.Decode(req, base)
	if err != nil {
		p.log.WithField("target", instance.Target).WithField("error", err.Error()).Warn("failed to decode probe response")
		s.probeFailed(instance.Target)
		return false
	}
	now := p.timers.Now()
	if resp.Suspects(req) != p.suspects.Sum(now) {
		p.exchangeSuspects(ctx, instance)
	}
	p.records.CompareSum(resp.Records(req))
	s.observe(now, report)
	return true
}

// exchangeSuspects sends this entry's crash suspects to a sidecar and merges those of the sidecar.
func (p *Process) exchangeSuspects(ctx context.Context, instance waxwingpick.Instance) {
	var known sidecar.SuspectsMessage
	err := p.client.Call(ctx, instance.Control, sidecar.MethodSuspects, sidecar.SuspectsMessage{
		Records: p.suspects.Records(p.timers.Now()),
	}, &known)
	if err != nil {
		p.log.WithField("target", instance.Target).WithField("error", err.Error()).Debug("failed to exchange crash suspects")
		return
	}
	p.suspects.Merge(p.timers.Now(), known.Records)
}
