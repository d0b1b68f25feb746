package targetlimit

import (
	"maps"
	"slices"
	"time"

	"waxwingpick"
)

const (
	// limitTTL is how long a limit applies after it was last confirmed. It is long enough for a share of a low limit to
	// allow a request whose response confirms it. Each process adds its part of TTLJitter, so that they do not all send to
	// the target at once when nobody has confirmed its limit.
	limitTTL = 30 * time.Second
	// TTLJitter bounds the random time that a process adds to the lifetime of limits.
	TTLJitter = 30 * time.Second
	// withdrawalTTL is how long a withdrawn limit is remembered, so that older reports do not restore it.
	withdrawalTTL = 10 * time.Second
	// maxTargets bounds the targets that are tracked.
	maxTargets = 4096
	// minTokens is slightly below 1, because refills are rounded.
	minTokens = 1 - 1e-6
	// burstTime is the time for which unused tokens accumulate beyond the first one.
	burstTime = 100 * time.Millisecond
)

// Limits holds the stated limits and this process's shares of them. It is not safe for concurrent use.
type Limits struct {
	ttl       time.Duration
	processes *processes
	targets   map[waxwingpick.TargetID]*limit
	// ended are the targets whose limits expired since the last call of Changes.
	ended []Change
	// changed means that a limit changed since the last call of Reports, at reportedAt.
	changed    bool
	reportedAt time.Time
	// nextReport is the index of the target with which the next reports begin.
	nextReport int
}

// limit is the state of one target. A target that withdrew its limit has no value.
type limit struct {
	startUnixMillis int64
	value           waxwingpick.Option[float64]
	// statedAt is when the target stated the value, as far as known.
	statedAt time.Time
	// tokens is the number of requests that this process may send now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// rate is this process's share in requests per second, valid for the list of processes with the number version.
	rate    float64
	sharers int
	version int
	// reported is the value that Changes returned last, at changedAt.
	reported  waxwingpick.Option[float64]
	changedAt time.Time
}

// New returns the state of a process that knows no limits and no other processes. jitter is at most TTLJitter.
func New(self waxwingpick.InstanceID, jitter time.Duration) *Limits {
	return &Limits{
		ttl:       limitTTL + jitter,
		processes: newProcesses(self),
		targets:   make(map[waxwingpick.TargetID]*limit),
	}
}

// SetProcesses sets the other processes that are listed.
func (l *Limits) SetProcesses(now time.Time, listed []waxwingpick.InstanceID) {
	for _, id := range listed {
		l.processes.observe(now, id)
	}
	l.processes.expire(now)
}

// ProcessSeen records a message of another process, which may be missing in the list.
func (l *Limits) ProcessSeen(now time.Time, id waxwingpick.InstanceID) {
	l.processes.observe(now, id)
}

// Stated records that a response of a target states a limit in requests per second.
func (l *Limits) Stated(now time.Time, t waxwingpick.Target, perSecond float64) {
	l.update(now, t.ID, t.StartUnixMillis, waxwingpick.Some(perSecond), now)
}

// NotStated records that a response of a target to a request sent at sentAt states no limit. A response to a request
// that was sent before the limit was stated may be older than it.
func (l *Limits) NotStated(now, sentAt time.Time, t waxwingpick.Target) {
	if _, ok := l.targets[t.ID]; ok {
		l.update(now, t.ID, t.StartUnixMillis, waxwingpick.None[float64](), sentAt)
	}
}

// update applies a value that was stated at the given time, unless a newer one is known.
func (l *Limits) update(now time.Time, id waxwingpick.TargetID, start int64, value waxwingpick.Option[float64], at time.Time) {
	e, ok := l.targets[id]
	switch {
	case ok && start < e.startUnixMillis:
		return
	case !ok || start > e.startUnixMillis:
		if _, limited := value.Get(); !limited && !ok || !ok && !l.hasRoom(now) {
			return
		}
		previous := e
		e = &limit{
			startUnixMillis: start,
			refilledAt:      now,
		}
		if previous != nil {
			e.reported, e.changedAt = previous.reported, previous.changedAt
		}
		l.targets[id] = e
	case !at.After(e.statedAt):
		return
	}
	l.refill(now, id, e)
	e.statedAt = at
	if e.value == value {
		return
	}
	if _, limited := e.value.Get(); !limited {
		e.tokens = 0
	}
	e.value = value
	e.version = 0
	l.refill(now, id, e)
	l.changed = true
}

// hasRoom reports whether another target can be tracked.
func (l *Limits) hasRoom(now time.Time) bool {
	if len(l.targets) >= maxTargets {
		l.expire(now)
	}
	return len(l.targets) < maxTargets
}

// expire removes the limits that were not confirmed for too long.
func (l *Limits) expire(now time.Time) {
	for id, e := range l.targets {
		ttl := withdrawalTTL
		if _, limited := e.value.Get(); limited {
			ttl = l.ttl
		}
		if now.Sub(e.statedAt) <= ttl {
			continue
		}
		delete(l.targets, id)
		if _, known := e.reported.Get(); known {
			l.ended = append(l.ended, Change{
				Target: id,
				Age:    now.Sub(e.statedAt),
			})
		}
	}
}

// refill adds the tokens of this process's share since the last call.
func (l *Limits) refill(now time.Time, id waxwingpick.TargetID, e *limit) {
	value, limited := e.value.Get()
	if limited && e.version != l.processes.version {
		l.addTokens(now, e)
		e.rate, e.sharers = l.processes.share(id, value)
		e.version = l.processes.version
		if e.rate == 0 {
			e.tokens = 0
		}
	}
	l.addTokens(now, e)
}

func (l *Limits) addTokens(now time.Time, e *limit) {
	if elapsed := now.Sub(e.refilledAt); elapsed > 0 {
		e.tokens = min(1+e.rate*burstTime.Seconds(), e.tokens+e.rate*elapsed.Seconds())
		e.refilledAt = now
	}
}

// Exhausted returns the targets to which no request may be sent now.
func (l *Limits) Exhausted(now time.Time) waxwingpick.Set[waxwingpick.TargetID] {
	var exhausted waxwingpick.Set[waxwingpick.TargetID]
	l.expire(now)
	for id, e := range l.targets {
		if _, limited := e.value.Get(); !limited {
			continue
		}
		if l.refill(now, id, e); e.tokens < minTokens {
			exhausted.Add(id)
		}
	}
	return exhausted
}

// Take counts a request that is about to be sent to a target. It returns false if the request must not be sent.
func (l *Limits) Take(now time.Time, id waxwingpick.TargetID) bool {
	e, ok := l.targets[id]
	if !ok {
		return true
	}
	if _, limited := e.value.Get(); !limited {
		return true
	}
	if l.refill(now, id, e); e.tokens < minTokens {
		return false
	}
	e.tokens--
	return true
}

// Wait returns the time until the next request may be sent to a target; none if this process has no share of its limit.
func (l *Limits) Wait(now time.Time, id waxwingpick.TargetID) waxwingpick.Option[time.Duration] {
	e, ok := l.targets[id]
	if !ok {
		return waxwingpick.Some(time.Duration(0))
	}
	if _, limited := e.value.Get(); !limited {
		return waxwingpick.Some(time.Duration(0))
	}
	l.refill(now, id, e)
	missing := 1 - e.tokens
	if e.rate*l.ttl.Seconds() < missing {
		return waxwingpick.None[time.Duration]()
	}
	return waxwingpick.Some(time.Duration(missing / e.rate * float64(time.Second)))
}

// Limited returns the number of targets with a limit in force.
func (l *Limits) Limited(now time.Time) int {
	l.expire(now)
	n := 0
	for _, e := range l.targets {
		if _, limited := e.value.Get(); limited {
			n++
		}
	}
	return n
}

// ids returns the tracked targets in a stable order.
func (l *Limits) ids() []waxwingpick.TargetID {
	return slices.Sorted(maps.Keys(l.targets))
}
