package sendgate

import (
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
	// minTokens is slightly below 1, because refills are rounded.
	minTokens = 1 - 1e-6
	// burstTime is the time for which unused tokens accumulate beyond the first one.
	burstTime = 100 * time.Millisecond
)

// limit is the request limit of a target. It has no value if the target states none.
type limit struct {
	value waxwingpick.Option[float64]
	// statedAt is when the target stated the value, as far as known; zero if it never stated a limit.
	statedAt time.Time
	// tokens is the number of requests that this process may send now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// rate is this process's share in requests per second, valid for the list of processes with the number version.
	rate    float64
	sharers int
	version int
}

// setLimit applies a value that was stated at the given time, unless a newer one is known.
func (g *Gate) setLimit(now time.Time, id waxwingpick.TargetID, e *target, value waxwingpick.Option[float64], at time.Time) {
	l := &e.limit
	if !at.After(l.statedAt) {
		return
	}
	_, before := l.value.Get()
	_, limited := value.Get()
	if !before && !limited {
		return
	}
	g.refill(now, id, l)
	l.statedAt = at
	if l.value == value {
		return
	}
	if !before {
		l.tokens = 0
	}
	l.value = value
	l.version = 0
	g.refill(now, id, l)
	e.unreported = true
	g.changed = true
}

func (l *limit) expired(now time.Time, ttl time.Duration) bool {
	if _, limited := l.value.Get(); !limited {
		ttl = withdrawalTTL
	}
	return now.Sub(l.statedAt) > ttl
}

// applies reports whether the target has a limit.
func (l *limit) applies(now time.Time, ttl time.Duration) bool {
	_, limited := l.value.Get()
	return limited && !l.expired(now, ttl)
}

// refill adds the tokens of this process's share since the last call.
func (g *Gate) refill(now time.Time, id waxwingpick.TargetID, l *limit) {
	value, limited := l.value.Get()
	if limited && l.version != g.processes.version {
		l.addTokens(now)
		l.rate, l.sharers = g.processes.share(id, value)
		l.version = g.processes.version
		if l.rate == 0 {
			l.tokens = 0
		}
	}
	l.addTokens(now)
}

func (l *limit) addTokens(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(1+l.rate*burstTime.Seconds(), l.tokens+l.rate*elapsed.Seconds())
		l.refilledAt = now
	}
}

// hasToken reports whether the limit allows a request of this process now.
func (g *Gate) hasToken(now time.Time, id waxwingpick.TargetID, l *limit) bool {
	if !l.applies(now, g.ttl) {
		return true
	}
	g.refill(now, id, l)
	return l.tokens >= minTokens
}

func (l *limit) take() {
	if _, limited := l.value.Get(); limited {
		l.tokens--
	}
}

// untilToken returns the time until the limit allows a request; none if this process has no share of it.
func (g *Gate) untilToken(now time.Time, id waxwingpick.TargetID, l *limit) waxwingpick.Option[time.Duration] {
	if g.hasToken(now, id, l) {
		return waxwingpick.Some(time.Duration(0))
	}
	missing := 1 - l.tokens
	if l.rate*g.ttl.Seconds() < missing {
		return waxwingpick.None[time.Duration]()
	}
	return waxwingpick.Some(time.Duration(missing / l.rate * float64(time.Second)))
}
