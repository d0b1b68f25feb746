package sendgate

import (
	"maps"
	"slices"
	"time"

	"waxwingpick"
)

const (
	// leaveTTL is how long a target that stated its leave gets no requests. It exceeds the lifetime of leaving targets. A
	// target that restarts is another incarnation.
	leaveTTL = time.Hour
	// maxTargets bounds the targets that are tracked.
	maxTargets = 4096
)

// Gate holds what targets state about themselves. It is not safe for concurrent use.
type Gate struct {
	ttl       time.Duration
	processes *processes
	targets   map[waxwingpick.TargetID]*target
	// ended are the targets whose limits expired since the last call of Changes.
	ended []Change
	// reportedAt is the time of the last call of Reports that returned any, and changed means that a statement that other
	// processes need has changed since.
	reportedAt time.Time
	changed    bool
	// nextReport is the index of the target with which the next refresh begins.
	nextReport int
	// pings holds the processes that are checked, and jitter returns random numbers from 0 to 1.
	pings  waxwingpick.Set[waxwingpick.InstanceID]
	jitter func() float64
	// requestBudget bounds the token requests.
	requestBudget bucket
}

// target is the state of one incarnation of a target.
type target struct {
	id              waxwingpick.TargetID
	startUnixMillis int64
	limit           limit
	// leavingAt is when the target stated that it leaves; zero if it did not.
	leavingAt time.Time
	// delayedUntil is the end of the time for which it wants no requests of this process.
	delayedUntil time.Time
	// unreported means that other processes need the statement and that it was not sent yet.
	unreported bool
	logged     logged
}

// New returns the state of a process that knows no statements and no other processes. random returns numbers from 0 to 1.
func New(self waxwingpick.InstanceID, random func() float64) *Gate {
	return &Gate{
		ttl:    limitTTL + time.Duration(random()*float64(TTLJitter)),
		jitter: random,
		requestBudget: bucket{
			rate:  maxRequestRate,
			burst: maxRequestBurst,
		},
		processes: newProcesses(self),
		targets:   make(map[waxwingpick.TargetID]*target),
	}
}

// SetProcesses sets the other processes that are listed.
func (g *Gate) SetProcesses(now time.Time, listed []waxwingpick.InstanceID) {
	for _, id := range listed {
		g.processes.observe(now, id)
	}
	g.processes.expire(now)
}

// ProcessSeen records a message of another process, which may be missing in the list. It does not show that the process
// responds to token requests: processes of former versions do not.
func (g *Gate) ProcessSeen(now time.Time, id waxwingpick.InstanceID) {
	g.processes.observe(now, id)
}

// MarkResponsive records a message of another process that shows that it responds to token requests.
func (g *Gate) MarkResponsive(now time.Time, id waxwingpick.InstanceID) {
	g.processes.markResponsive(now, id)
}

// Observe applies what a target states in the response to a request that was sent at sentAt. ran means that the target
// processed the request; only such a response withdraws a limit by not stating it.
func (g *Gate) Observe(now, sentAt time.Time, t waxwingpick.Target, s waxwingpick.Statement, ran bool) {
	limit, limited := s.RequestLimit.Get()
	delay, delayed := s.RetryAfter.Get()
	if limited || delayed || s.Leaving {
		e := g.track(now, t.ID, t.StartUnixMillis)
		if e == nil {
			return
		}
		if limited {
			g.setLimit(now, e, waxwingpick.Some(limit), now)
		}
		if delayed && now.Add(delay).After(e.delayedUntil) {
			e.delayedUntil = now.Add(delay)
		}
		if s.Leaving && e.leavingAt.IsZero() {
			g.setLeaving(e, now)
		}
	}
	// A response to a request that was sent before the limit was stated may be older than it.
	if e, ok := g.targets[t.ID]; ok && !limited && ran && len(s.Malformed) == 0 && e.startUnixMillis <= t.StartUnixMillis {
		if e = g.track(now, t.ID, t.StartUnixMillis); e != nil {
			g.setLimit(now, e, waxwingpick.None[float64](), sentAt)
		}
	}
}

func (g *Gate) setLeaving(e *target, at time.Time) {
	e.leavingAt = at
	e.unreported = true
	g.changed = true
}

// track returns the state of an incarnation of a target. It is nil if a later incarnation is known, or if too many targets
// are tracked.
func (g *Gate) track(now time.Time, id waxwingpick.TargetID, startUnixMillis int64) *target {
	e, ok := g.targets[id]
	switch {
	case ok && startUnixMillis < e.startUnixMillis:
		return nil
	case ok && startUnixMillis == e.startUnixMillis:
		return e
	case !ok && len(g.targets) >= maxTargets:
		g.expire(now)
		if len(g.targets) >= maxTargets {
			return nil
		}
	}
	next := &target{
		id:              id,
		startUnixMillis: startUnixMillis,
	}
	if ok {
		next.logged = e.logged
	}
	g.targets[id] = next
	return next
}

// SetTargets discards the statements of former incarnations of the listed targets.
func (g *Gate) SetTargets(now time.Time, listed []waxwingpick.Target) {
	if len(g.targets) == 0 {
		return
	}
	for _, t := range listed {
		if e, ok := g.targets[t.ID]; ok && t.StartUnixMillis > e.startUnixMillis {
			g.track(now, t.ID, t.StartUnixMillis)
		}
	}
}

// expire removes the targets without a statement that applies.
func (g *Gate) expire(now time.Time) {
	for id, e := range g.targets {
		if now.Before(e.delayedUntil) || e.leaving(now) || !e.limit.expired(now, g.ttl) {
			continue
		}
		delete(g.targets, id)
		if _, known := e.logged.limit.Get(); known {
			g.ended = append(g.ended, Change{
				Target: id,
				Kind:   KindLimit,
				Age:    now.Sub(e.limit.statedAt),
			})
		}
	}
}

func (e *target) leaving(now time.Time) bool {
	return !e.leavingAt.IsZero() && now.Sub(e.leavingAt) <= leaveTTL
}

// Blocked returns the targets to which no request may be sent now. If mayRequest is set, it leaves out those for which a token
// may be requested.
func (g *Gate) Blocked(now time.Time, mayRequest bool) waxwingpick.Set[waxwingpick.TargetID] {
	var blocked waxwingpick.Set[waxwingpick.TargetID]
	g.expire(now)
	for id, e := range g.targets {
		kind, ok := g.blockedBy(now, id, e).Get()
		if ok && !(mayRequest && kind == KindLimit && g.mayRequest(now, &e.limit)) {
			blocked.Add(id)
		}
	}
	return blocked
}

// BlockedBy returns the kind of statement that blocks a target now; none if a request may be sent to it.
func (g *Gate) BlockedBy(now time.Time, id waxwingpick.TargetID) waxwingpick.Option[Kind] {
	e, ok := g.targets[id]
	if !ok {
		return waxwingpick.None[Kind]()
	}
	return g.blockedBy(now, id, e)
}

func (g *Gate) blockedBy(now time.Time, id waxwingpick.TargetID, e *target) waxwingpick.Option[Kind] {
	switch {
	case e.leaving(now):
		return waxwingpick.Some(KindLeave)
	case now.Before(e.delayedUntil):
		return waxwingpick.Some(KindDelay)
	case g.token(now, id, &e.limit) == sourceNone:
		return waxwingpick.Some(KindLimit)
	}
	return waxwingpick.None[Kind]()
}

// Take decides whether a request may be sent to a target now, and counts it as sent if it may.
func (g *Gate) Take(now time.Time, id waxwingpick.TargetID) Admission {
	e, ok := g.targets[id]
	if !ok {
		return AdmissionTaken
	}
	if kind, blocked := g.blockedBy(now, id, e).Get(); blocked {
		if kind == KindLimit && g.mayRequest(now, &e.limit) {
			return AdmissionRequestTokens
		}
		return AdmissionRefused
	}
	e.limit.take(now, g.token(now, id, &e.limit))
	return AdmissionTaken
}

// Wait returns the time until the next request may be sent to a target, as far as known; none if it leaves or accepts no
// requests.
func (g *Gate) Wait(now time.Time, id waxwingpick.TargetID) waxwingpick.Option[time.Duration] {
	e, ok := g.targets[id]
	if !ok {
		return waxwingpick.Some(time.Duration(0))
	}
	token, ok := g.untilToken(now, id, &e.limit).Get()
	if !ok || e.leaving(now) {
		return waxwingpick.None[time.Duration]()
	}
	return waxwingpick.Some(max(token, e.delayedUntil.Sub(now)))
}

// Counts is the number of targets by the statements that apply to them.
type Counts struct {
	Limited int
	Leaving int
	Delayed int
}

// Counts returns the number of targets by the statements that apply to them now.
func (g *Gate) Counts(now time.Time) Counts {
	g.expire(now)
	var c Counts
	for _, e := range g.targets {
		if e.limit.applies(now, g.ttl) {
			c.Limited++
		}
		if e.leaving(now) {
			c.Leaving++
		}
		if now.Before(e.delayedUntil) {
			c.Delayed++
		}
	}
	return c
}

// ids returns the tracked targets in a stable order.
func (g *Gate) ids() []waxwingpick.TargetID {
	return slices.Sorted(maps.Keys(g.targets))
}
