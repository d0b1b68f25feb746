package sendgate

import (
	"time"

	"waxwingpick"
)

// logInterval is the minimum time between two changes of one target that Changes returns.
const logInterval = time.Second

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statements.
const (
	// KindLimit is a request limit, or its end.
	KindLimit Kind = iota
	// KindLeave means that the target leaves.
	KindLeave
	// KindDelay means that the target wants no requests of this process for some time.
	KindDelay
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindLimit:
		return "requestLimit"
	case KindLeave:
		return "leaving"
	case KindDelay:
		return "retryAfter"
	}
	return "unknown"
}

// Change is a change of what applies to a target, for the log.
type Change struct {
	Target waxwingpick.TargetID
	Kind   Kind
	// Limit is the limit in force in requests per second; none if it was withdrawn or expired.
	Limit waxwingpick.Option[float64]
	// Owner is the process from which this one requests tokens, and Owners the number of processes that give out the limit.
	Owner  waxwingpick.InstanceID
	Owners int
	// Age is the time since the target stated its limit or its leave.
	Age time.Duration
	// Delay is the time left of a delay.
	Delay time.Duration
}

// logged is what Changes returned last for a target.
type logged struct {
	limit        waxwingpick.Option[float64]
	limitAt      time.Time
	leave        bool
	delayedUntil time.Time
	delayAt      time.Time
}

// Changes returns what changed since the last call, limits and delays of each target at most once per logInterval.
func (g *Gate) Changes(now time.Time) []Change {
	g.expire(now)
	changes := g.ended
	g.ended = nil
	for _, id := range g.ids() {
		changes = append(changes, g.changesOf(now, id, g.targets[id])...)
	}
	return changes
}

func (g *Gate) changesOf(now time.Time, id waxwingpick.TargetID, e *target) []Change {
	var changes []Change
	last := &e.logged
	if e.limit.value != last.limit && now.Sub(last.limitAt) >= logInterval {
		c := Change{
			Target: id,
			Kind:   KindLimit,
			Limit:  e.limit.value,
		}
		if !e.limit.statedAt.IsZero() {
			c.Age = now.Sub(e.limit.statedAt)
		}
		if _, limited := e.limit.value.Get(); limited {
			g.update(now, id, &e.limit)
			c.Owner, c.Owners = e.limit.owner, len(e.limit.owners)
		}
		changes = append(changes, c)
		last.limit, last.limitAt = e.limit.value, now
	}
	if leaving := e.leaving(now); leaving != last.leave {
		last.leave = leaving
		if leaving {
			changes = append(changes, Change{
				Target: id,
				Kind:   KindLeave,
				Age:    now.Sub(e.leavingAt),
			})
		}
	}
	if now.Before(e.delayedUntil) && !e.delayedUntil.Equal(last.delayedUntil) && now.Sub(last.delayAt) >= logInterval {
		changes = append(changes, Change{
			Target: id,
			Kind:   KindDelay,
			Delay:  e.delayedUntil.Sub(now),
		})
		last.delayedUntil, last.delayAt = e.delayedUntil, now
	}
	return changes
}
