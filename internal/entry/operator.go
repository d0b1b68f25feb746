package entry

import (
	"context"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/suspect"
	"waxwingpick/io/operator"
)

// maxBurnNames is the maximum number of workspaces, of targets and of presets in one entry's part of a burn report.
const maxBurnNames = 128

var _ operator.Handler = (*Process)(nil)

// Status returns the state of the fleet as tracked by this entry.
func (p *Process) Status(_ context.Context, req operator.StatusRequest) (operator.Status, error) {
	now := p.timers.Now()
	s := operator.Status{
		Entry:          p.options.Instance,
		At:             now.UTC(),
		Running:        p.gate.Running(),
		ConfigRevision: p.configRevision(),
		Preset:         p.preset().Name,
		Authorities:    p.authority.Holdings(),
		Suspects:       p.suspects.Records(now),
		CertificateEnd: p.options.Credentials.NotAfter(),
		OverRate:       p.quotas.overRate(now),
	}
	if err := p.Ready(); err != nil {
		s.NotReady = err.Error()
	}
	s.Ready = s.NotReady == ""
	s.Targets = p.targetStatus(now, req)
	return s, nil
}

// targetStatus returns the status of the requested targets.
func (p *Process) targetStatus(now time.Time, req operator.StatusRequest) []operator.TargetStatus {
	if req.WithoutTargets {
		return nil
	}
	var all []operator.TargetStatus
	for _, targets := range p.fleet.all() {
		all = append(all, targets.status(now)...)
	}
	if len(req.Reported) == 0 {
		return all
	}
	requested := waxwingpick.NewSet(req.Reported...)
	return slices.DeleteFunc(all, func(t operator.TargetStatus) bool {
		return !t.HasReport || !requested.Has(t.Target)
	})
}

// Burn returns this entry's counts for the workspaces, targets and presets with the worst results, and the objectives of
// the active preset.
func (p *Process) Burn(_ context.Context, req operator.BurnRequest) (operator.BurnResponse, error) {
	preset := p.preset()
	snapshot := p.outcomes.burn.Snapshot(p.timers.Now()).Worst(maxBurnNames)
	if req.WithoutPoints {
		snapshot = snapshot.WithoutPoints()
	}
	return operator.BurnResponse{
		Snapshot:       snapshot,
		ConfigRevision: p.configRevision(),
		Preset:         preset.Name,
		Classes:        preset.Classes,
	}, nil
}

// Lift clears a crash suspect and sends the change to the other entries.
func (p *Process) Lift(_ context.Context, req operator.LiftRequest) (operator.LiftResponse, error) {
	record := p.suspects.Clear(p.timers.Now(), req.Fingerprint)
	p.log.WithField("fingerprint", req.Fingerprint.String()).Info("crash suspect lifted by an operator")
	p.broadcastSuspects([]suspect.Record{record})
	return operator.LiftResponse{
		Record: p.suspects.Record(req.Fingerprint),
	}, nil
}

// status returns the status of every target of the service, in the order of the platform's list.
func (s *serviceTargets) status(now time.Time) []operator.TargetStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	ejected := waxwingpick.NewSet(s.router.Ejected(now)...)
	list := make([]operator.TargetStatus, 0, len(s.order))
	for _, id := range s.order {
		t := s.targets[id]
		list = append(list, operator.TargetStatus{
			Service:        t.instance.Service,
			Target:         id,
			Instance:       t.instance.ID,
			Zone:           t.instance.Zone,
			Active:         t.active,
			Desired:        t.desired,
			Leaving:        t.instance.Leaving || t.report.Load.Leaving,
			Ejected:        ejected.Has(id),
			Usable:         s.router.Usable(now, id),
			Incarnation:    s.incarnations[id],
			HasReport:      t.reported,
			Load:           t.report.Load,
			ConfigRevision: t.report.ConfigRevision,
		})
	}
	return list
}
