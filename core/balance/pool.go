package balance

import (
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/ejection"
)

const (
	// toldKept is how long the load that a target told counts.
	toldKept = time.Second
	// failureWeight is the share of a new outcome in a target's rate of failures.
	failureWeight = 0.2
	// failureCost is the load that a target which fails every call seems to have more, in calls per slot: it is then
	// chosen only where the others are that much fuller.
	failureCost = 2.0
	// farCost is the load that a target of another availability zone seems to have more, in calls per slot.
	farCost = 0.02
)

// Pool holds the targets of one service; it is not safe for concurrent use.
type Pool struct {
	zone    waxwingpick.AvailabilityZone
	members map[waxwingpick.TargetID]*member
	order   []waxwingpick.TargetID
	turn    int
}

type member struct {
	target  waxwingpick.Target
	running int
	// others are the calls of other processes that the target told of.
	others  int
	toldAt  time.Time
	answers ejection.Target
	// failures is the recent rate of calls that the target lost or did not run.
	failures float64
}

// New returns a pool as seen from an availability zone.
func New(zone waxwingpick.AvailabilityZone) *Pool {
	return &Pool{
		zone:    zone,
		members: make(map[waxwingpick.TargetID]*member),
	}
}

// SetTargets takes the newest list of the service's targets.
func (p *Pool) SetTargets(targets []waxwingpick.Target) {
	known := make(map[waxwingpick.TargetID]*member, len(targets))
	p.order = p.order[:0]
	for _, t := range targets {
		m, ok := p.members[t.ID]
		if !ok || m.target.Born != t.Born {
			m = &member{}
		}
		m.target = t
		known[t.ID] = m
		p.order = append(p.order, t.ID)
	}
	p.members = known
}

// Choose picks the least loaded target that is not excluded and does not leave; those that give no answers are left out
// unless there is no other one.
func (p *Pool) Choose(now time.Time, exclude []waxwingpick.TargetID) (waxwingpick.Target, bool) {
	p.turn++
	for _, all := range []bool{false, true} {
		if m := p.least(now, exclude, all); m != nil {
			return m.target, true
		}
	}
	return waxwingpick.Target{}, false
}

// least returns the least loaded member, nil where there is none.
func (p *Pool) least(now time.Time, exclude []waxwingpick.TargetID, all bool) *member {
	var best *member
	least := 0.0
	for i := range p.order {
		// Targets of equal load take turns.
		m := p.members[p.order[(i+p.turn)%len(p.order)]]
		if m.target.Leaving || slices.Contains(exclude, m.target.ID) || !all && m.answers.Out(now) {
			continue
		}
		if load := p.load(now, m); best == nil || load < least {
			best, least = m, load
		}
	}
	return best
}

func (p *Pool) load(now time.Time, m *member) float64 {
	calls := m.running
	if now.Sub(m.toldAt) < toldKept {
		calls += m.others
	}
	load := float64(calls)/float64(max(1, m.target.Slots)) + failureCost*m.failures
	if m.target.Zone != p.zone {
		load += farCost
	}
	return load
}

// Begin notes that a call is sent to a target.
func (p *Pool) Begin(now time.Time, id waxwingpick.TargetID) {
	if m, ok := p.members[id]; ok {
		m.answers.Begin(now)
		m.running++
	}
}

// Failed notes that a target is not there, or gave no answer.
func (p *Pool) Failed(now time.Time, id waxwingpick.TargetID, absent bool) ejection.Change {
	m, ok := p.members[id]
	switch {
	case !ok:
		return ejection.ChangeNone
	case absent:
		return m.answers.Unreachable(now)
	}
	return m.answers.Lost(now)
}

// End notes how a call ended: told is the number of calls at the target, where it told it.
func (p *Pool) End(now time.Time, id waxwingpick.TargetID, failed bool, told waxwingpick.Option[int]) ejection.Change {
	m, ok := p.members[id]
	if !ok {
		return ejection.ChangeNone
	}
	m.running = max(0, m.running-1)
	outcome, change := 0.0, ejection.ChangeNone
	if failed {
		outcome = 1
	} else {
		change = m.answers.Answered()
	}
	m.failures += failureWeight * (outcome - m.failures)
	if calls, ok := told.Get(); ok {
		m.others = max(0, calls-m.running)
		m.toldAt = now
	}
	return change
}
