package entry

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/policy"
	"waxwingpick/internal/authority"
	"waxwingpick/io/sidecar"
)

// countWork adds what a target's report shows beyond the former one; the lock is held.
func (s *serviceTargets) countWork(t *knownTarget, now sidecar.Totals) {
	before := t.report.Totals
	if before.Process != now.Process {
		// What a process that is not known yet has done belongs to no known span of time.
		return
	}
	s.work.Requests += float64(now.Requests - before.Requests)
	s.work.PrefillTokens += float64(now.PrefillTokens - before.PrefillTokens)
	s.work.DecodeTokens += float64(now.DecodeTokens - before.DecodeTokens)
}

// rolePeriod is the least time between two looks at whom the role policy wants to hear of.
const rolePeriod = 200 * time.Millisecond

// roleProbes appends the targets that the role policy wants to hear of; the lock is held.
func (s *serviceTargets) roleProbes(now time.Time, dst []waxwingpick.TargetID) []waxwingpick.TargetID {
	if !s.held || now.Sub(s.roundAt) < rolePeriod {
		return dst
	}
	s.roundAt = now
	s.heard = s.heard[:0]
	for _, id := range s.order {
		t := s.targets[id]
		s.heard = append(s.heard, policy.Heard{
			Target:  id,
			At:      t.reportedAt,
			Asked:   t.askedAt,
			Ordered: t.orderedAt,
		})
	}
	routed := len(dst)
	dst = s.rounds.Due(now, s.heard, dst)
	for _, id := range dst[routed:] {
		s.targets[id].askedAt = now
	}
	return dst
}

// observeRoles tells the role policy what the targets of a service reported.
func (p *Process) observeRoles(service waxwingpick.ServiceName) authority.Observed {
	targets := p.fleet.service(service)
	if targets == nil {
		return authority.Observed{}
	}
	return targets.observeRoles()
}

func (s *serviceTargets) observeRoles() authority.Observed {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := authority.Observed{
		Reports: make(map[waxwingpick.TargetID]policy.Report, len(s.targets)),
		Work:    s.work,
	}
	s.work = policy.Work{}
	for id, t := range s.targets {
		if !t.reported {
			continue
		}
		seen.Reports[id] = policy.Report{
			Active: t.active,
			Load:   t.report.Load,
		}
	}
	return seen
}
