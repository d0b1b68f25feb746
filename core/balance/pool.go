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
	// tookWeight is the share of a new call in a target's mean time.
	tookWeight = 0.05
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
	// took is the mean time of calls that found a free slot.
	took time.Duration
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

// Choice names the target of a call.
type Choice struct {
	Target waxwingpick.Target
	// Predicted is the time to the answer; zero where nothing is known of the target's pace.
	Predicted time.Duration
}

// Choose picks the least loaded target that is not excluded and does not leave; those that give no answers are left out
// unless there is no other one.
func (p *Pool) Choose(now time.Time, d Demand) (Choice, waxwingpick.Verdict) {
	p.turn++
	for _, all := range []bool{false, true} {
		m := p.least(now, d.Exclude, all)
		if m == nil {
			continue
		}
		choice := Choice{
			Target:    m.target,
			Predicted: m.predicted(now),
		}
		if m.waits(now) && d.late(now.Add(choice.Predicted)) {
			return choice, waxwingpick.VerdictLate
		}
		return choice, waxwingpick.VerdictPlaced
	}
	return Choice{}, waxwingpick.VerdictNone
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

// calls returns the calls that are known to be at a target.
func (m *member) calls(now time.Time) int {
	if now.Sub(m.toldAt) < toldKept {
		return m.running + m.others
	}
	return m.running
}

// waits reports whether the next call finds no free slot.
func (m *member) waits(now time.Time) bool {
	return m.calls(now) >= m.slots()
}

func (m *member) slots() int {
	return max(1, m.target.Slots)
}

// predicted returns how long the next call takes: those that find no free slot wait for as many rounds as are ahead of them.
func (m *member) predicted(now time.Time) time.Duration {
	waiting := max(0, m.calls(now)+1-m.slots())
	return m.took + time.Duration(float64(m.took)*float64(waiting)/float64(m.slots()))
}

func (p *Pool) load(now time.Time, m *member) float64 {
	load := float64(m.calls(now))/float64(m.slots()) + failureCost*m.failures
	if m.target.Zone != p.zone {
		load += farCost
	}
	return load
}

// Call is one call at a target.
type Call struct {
	member *member
	begun  time.Time
	// free says that the call found a free slot.
	free bool
}

// Begin notes that a call is sent to a target.
func (p *Pool) Begin(now time.Time, id waxwingpick.TargetID) *Call {
	m, ok := p.members[id]
	if !ok {
		m = &member{}
	}
	c := &Call{
		member: m,
		begun:  now,
		free:   !m.waits(now),
	}
	m.answers.Begin(now)
	m.running++
	return c
}

// Failed notes that the target is not there, or gave no answer.
func (c *Call) Failed(now time.Time, absent bool) ejection.Change {
	if absent {
		return c.member.answers.Unreachable(now)
	}
	return c.member.answers.Lost(now)
}

// End notes how the call ended: told is the number of calls at the target, where it told it.
func (c *Call) End(now time.Time, failed bool, told waxwingpick.Option[int]) ejection.Change {
	m := c.member
	m.running = max(0, m.running-1)
	outcome, change := 0.0, ejection.ChangeNone
	if failed {
		outcome = 1
	} else {
		change = m.answers.Answered()
		c.observe(now)
	}
	m.failures += failureWeight * (outcome - m.failures)
	if calls, ok := told.Get(); ok {
		m.others = max(0, calls-m.running)
		m.toldAt = now
	}
	return change
}

// observe takes the time of a call that waited for no other one.
func (c *Call) observe(now time.Time) {
	took := now.Sub(c.begun)
	switch m := c.member; {
	case !c.free:
	case m.took == 0:
		m.took = took
	default:
		m.took += time.Duration(tookWeight * float64(took-m.took))
	}
}
