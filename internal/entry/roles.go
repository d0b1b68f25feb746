package entry

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/policy"
	"waxwingpick/internal/authority"
	"waxwingpick/io/sidecar"
)

// countWork adds the work since the target's previous report. The caller must hold s.mu.
func (s *serviceTargets) countWork(t *targetState, now sidecar.Totals) {
	before := t.report.Totals
	if before.Process != now.Process {
		// The totals of a new process have no earlier report to compare with.
		return
	}
	s.work.Requests += float64(now.Requests - before.Requests)
	s.work.PrefillTokens += float64(now.PrefillTokens - before.PrefillTokens)
	s.work.DecodeTokens += float64(now.DecodeTokens - before.DecodeTokens)
}

// rolePollPeriod is the minimum time between two polling rounds for the role policy.
const rolePollPeriod = 200 * time.Millisecond

// roleProbes appends the targets to probe for the role policy. The caller must hold s.mu.
func (s *serviceTargets) roleProbes(now time.Time, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
	if !s.holdsAuthority || now.Sub(s.lastRoundAt) < rolePollPeriod {
		return dst
	}
	s.lastRoundAt = now
	s.roleObservations = s.roleObservations[:0]
	for _, id := range s.order {
		t := s.targets[id]
		s.roleObservations = append(s.roleObservations, policy.Contact{
			Target:     id,
			ReportedAt: t.reportedAt,
			ProbedAt:   t.requestedAt,
			OrderedAt:  t.orderedAt,
		})
	}
	routed := len(dst)
	dst = s.rounds.Due(now, s.roleObservations, dst)
	for _, id := range dst[routed:] {
		s.targets[id].requestedAt = now
	}
	return dst
}

// observeRoles returns the reports and the work of a service's targets to the role policy.
func (p *Process) observeRoles(service waxwingpick.ServiceName) authority.Observation {
	targets := p.fleet.service(service)
	if targets == nil {
		return authority.Observation{}
	}
	return targets.observeRoles()
}

func (s *serviceTargets) observeRoles() authority.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	observed := authority.Observation{
		Reports: make(map[waxwingpick.TargetID]policy.Report, len(s.targets)),
		Work:    s.work,
	}
	s.work = policy.Work{}
	for id, t := range s.targets {
		if !t.reported {
			continue
		}
		observed.Reports[id] = policy.Report{
			Active: t.active,
			Load:   t.report.Load,
		}
	}
	return observed
}
