package balance

import (
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/ejection"
	"waxwingpick/core/speed"
)

const (
	// loadReportTTL is how long a target's load report counts.
	loadReportTTL = time.Second
	// tookWeight is the weight of a new call in a target's mean call duration.
	tookWeight = 0.05
	// failureCost is the load added to a target that fails every call, in calls per slot. It is then only selected if the
	// other targets are fuller by that amount.
	failureCost = 2.0
	// crossZoneCost is the load added to a target in another availability zone, in calls per slot.
	crossZoneCost = 0.02
)

// Pool holds the targets of one service. It is not safe for concurrent use.
type Pool struct {
	zone     waxwingpick.AvailabilityZone
	members  map[waxwingpick.TargetID]*member
	order    []waxwingpick.TargetID
	rotation int
}

type member struct {
	target  waxwingpick.Target
	running int
	// took is the mean duration of calls that found a free slot.
	took time.Duration
	// speed is how long work takes on the target's machine at the moment.
	speed speed.Tracker
	// otherCalls is the number of calls from other processes in the target's last report.
	otherCalls int
	reportedAt time.Time
	health     ejection.Target
	// failures are the recent calls that the target failed.
	failures ejection.Failures
}

// New returns a Pool for a process in the given availability zone.
func New(zone waxwingpick.AvailabilityZone) *Pool {
	return &Pool{
		zone:    zone,
		members: make(map[waxwingpick.TargetID]*member),
	}
}

// SetTargets replaces the list of the service's targets.
func (p *Pool) SetTargets(targets []waxwingpick.Target) {
	current := make(map[waxwingpick.TargetID]*member, len(targets))
	p.order = p.order[:0]
	for _, t := range targets {
		m, ok := p.members[t.ID]
		if !ok || m.target.StartUnixMillis != t.StartUnixMillis {
			m = &member{}
		}
		m.target = t
		current[t.ID] = m
		p.order = append(p.order, t.ID)
	}
	p.members = current
}

// Choice is the selected target of a call.
type Choice struct {
	Target waxwingpick.Target
	// Predicted is the predicted time to the response; zero if no call to the target has been measured.
	Predicted time.Duration
}

// Choose selects the least loaded target that is neither excluded, blocked nor leaving. Ejected targets are only considered if
// there is no other one.
func (p *Pool) Choose(now time.Time, d Demand) (Choice, waxwingpick.Verdict) {
	p.rotation++
	for _, all := range []bool{false, true} {
		m := p.least(now, d, all)
		if m == nil {
			continue
		}
		choice := Choice{
			Target:    m.target,
			Predicted: m.predicted(now),
		}
		if m.full(now) && d.late(now.Add(choice.Predicted)) {
			return choice, waxwingpick.VerdictLate
		}
		return choice, waxwingpick.VerdictPlaced
	}
	return Choice{}, waxwingpick.VerdictNone
}

// least returns the least loaded member, or nil if none is eligible.
func (p *Pool) least(now time.Time, d Demand, all bool) *member {
	var best *member
	least := 0.0
	rejected := p.leastRejected(now)
	for i := range p.order {
		// Targets of equal load are selected in rotation.
		m := p.members[p.order[(i+p.rotation)%len(p.order)]]
		if m.target.Leaving || slices.Contains(d.Exclude, m.target.ID) || d.Blocked.Has(m.target.ID) || !all && m.health.Ejected(now) {
			continue
		}
		if load := p.load(now, m) + failureCost*m.failures.Share(now, rejected); best == nil || load < least {
			best, least = m, load
		}
	}
	return best
}

// leastRejected returns the share of rejected calls of the target that rejects the fewest.
func (p *Pool) leastRejected(now time.Time) float64 {
	least := 1.0
	for _, m := range p.members {
		least = min(least, m.failures.Rejected(now))
	}
	return least
}

// calls returns the number of known calls at a target.
func (m *member) calls(now time.Time) int {
	if now.Sub(m.reportedAt) < loadReportTTL {
		return m.running + m.otherCalls
	}
	return m.running
}

// full reports whether the next call finds no free slot.
func (m *member) full(now time.Time) bool {
	return m.calls(now) >= m.slots()
}

func (m *member) slots() int {
	return max(1, m.target.Slots)
}

// predicted returns the predicted duration of the next call. A call without a free slot waits for the rounds ahead of
// it.
func (m *member) predicted(now time.Time) time.Duration {
	waiting := max(0, m.calls(now)+1-m.slots())
	took := float64(m.took) * m.speed.Factor(now)
	return time.Duration(took + took*float64(waiting)/float64(m.slots()))
}

func (p *Pool) load(now time.Time, m *member) float64 {
	factor := m.speed.Factor(now)
	// The call itself counts only by how much longer it takes there.
	load := (factor*float64(m.calls(now)) + factor - 1) / float64(m.slots())
	if m.target.Zone != p.zone {
		load += crossZoneCost
	}
	return load
}

// ObserveStated records a figure about its speed that a target stated in a response.
func (p *Pool) ObserveStated(now time.Time, id waxwingpick.TargetID, percent int) {
	if m, ok := p.members[id]; ok {
		m.speed.ObserveStated(now, percent)
	}
}

// Call is one call at a target.
type Call struct {
	member    *member
	startedAt time.Time
	// foundSlot means that the call found a free slot.
	foundSlot bool
	// factor is the target's factor when the call began.
	factor float64
}

// Begin records that a call is sent to a target.
func (p *Pool) Begin(now time.Time, id waxwingpick.TargetID) *Call {
	m, ok := p.members[id]
	if !ok {
		m = &member{}
	}
	c := &Call{
		member:    m,
		startedAt: now,
		foundSlot: !m.full(now),
		factor:    m.speed.Factor(now),
	}
	m.health.Begin(now)
	m.running++
	return c
}

// Failed records that the target is absent or did not respond.
func (c *Call) Failed(now time.Time, absent bool) ejection.Change {
	if absent {
		return c.member.health.Unreachable(now)
	}
	return c.member.health.Lost(now)
}

// End records the end of the call. reported is the number of calls at the target, if the target reports it.
func (c *Call) End(now time.Time, r ejection.Response, reported waxwingpick.Option[int]) ejection.Change {
	m := c.member
	m.running = max(0, m.running-1)
	change := ejection.ChangeNone
	switch r {
	case ejection.ResponseServed:
		c.observe(now)
		change = m.health.Responded()
	case ejection.ResponseRejected:
		change = m.health.Responded()
	case ejection.ResponseFailed, ejection.ResponseNone:
	}
	m.failures.Observe(now, r)
	if calls, ok := reported.Get(); ok {
		m.otherCalls = max(0, calls-m.running)
		m.reportedAt = now
	}
	return change
}

// FoundSlot reports whether the call found a free slot, as far as known.
func (c *Call) FoundSlot() bool {
	return c.foundSlot
}

// RunTime returns how long the call has been running, as far as known. A call that had to wait for a slot runs for about as long as
// those that did not.
func (c *Call) RunTime(now time.Time) time.Duration {
	took := now.Sub(c.startedAt)
	if c.foundSlot || c.member.took == 0 {
		return took
	}
	return min(took, c.member.took)
}

// observe records the duration of a call that did not wait for another one.
func (c *Call) observe(now time.Time) {
	took := time.Duration(float64(now.Sub(c.startedAt)) / c.factor)
	switch m := c.member; {
	case !c.foundSlot:
	case m.took == 0:
		m.took = took
	default:
		m.took += time.Duration(tookWeight * float64(took-m.took))
	}
}
