package sendgate

import (
	"math"
	"slices"
	"time"

	"waxwingpick"
)

const (
	// limitTTL is how long a limit applies after it was last confirmed. Each process adds its part of TTLJitter, so that
	// they do not all send to the target at once when nobody has confirmed its limit.
	limitTTL = 30 * time.Second
	// TTLJitter bounds the random time that a process adds to the lifetime of limits.
	TTLJitter = 30 * time.Second
	// withdrawalTTL is how long a withdrawn limit is remembered, so that older reports do not restore it.
	withdrawalTTL = 10 * time.Second
	// confirmTime is how long further responses confirm a withdrawal.
	confirmTime = 3 * time.Second
	// maxMessageDelay bounds the time by which the age in a report may be too low. A reported withdrawal or higher limit has
	// to be newer than the limit by more, since one that is out of date lets this process send too much.
	maxMessageDelay = time.Second
	// minTokens is slightly below 1, because refills are rounded.
	minTokens = 1 - 1e-6
	// ownedShare is the part of a limit that its owners give out together.
	ownedShare = 0.95
	// ownerRate is the limit in requests per second that one owner gives out. Each grant is two messages.
	ownerRate = 40
	// ownerBurst is the number of tokens that an owner may accumulate, and burstTime the time for which it accumulates
	// more at a high rate.
	ownerBurst = 2
	burstTime  = 100 * time.Millisecond
	// ownTurnShare is the part of an even share after which an owner takes its next turn.
	ownTurnShare = 0.5
)

// bucket is a token bucket.
type bucket struct {
	tokens     float64
	rate       float64
	burst      float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.refilledAt = now
	}
}

// setRate changes the rate and the burst from now on.
func (b *bucket) setRate(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
	b.refilledAt = now
}

// limit is the request limit of a target. It has no value if the target states none.
type limit struct {
	value waxwingpick.Option[float64]
	// statedAt is when the target stated the value, as far as known; zero if it never stated a limit.
	statedAt time.Time
	// changedAt is when this process learned of the value.
	changedAt time.Time
	// owners give out the limit, and owner is the one from which this process requests tokens. They are valid for the list of processes with
	// the number version.
	owners  []waxwingpick.InstanceID
	owner   waxwingpick.InstanceID
	version int
	// owned is this process's part of the limit if it is an owner.
	owned bucket
	// granted is the number of tokens that this process got of an owner, until grantedUntil.
	granted      int
	grantedUntil time.Time
	// nextRequestAt is when tokens may be requested again, and failures the number of consecutive requests without a response.
	nextRequestAt time.Time
	failures      int
	// sentRate is the average number of requests per second that this process sends, as of sentAt.
	sentRate float64
	sentAt   time.Time
	// requesters holds the last token request of each process.
	requesters map[waxwingpick.InstanceID]time.Time
}

// setLimit applies a value that was stated at the given time, unless a newer one is known.
func (g *Gate) setLimit(now time.Time, e *target, value waxwingpick.Option[float64], at time.Time) {
	l := &e.limit
	if !at.After(l.statedAt) {
		return
	}
	_, before := l.value.Get()
	_, limited := value.Get()
	if !before && !limited && (l.statedAt.IsZero() || now.Sub(l.changedAt) > confirmTime) {
		return
	}
	l.statedAt = at
	if l.value == value {
		return
	}
	if !before {
		*l = limit{
			statedAt: at,
			sentRate: l.sentRate,
			sentAt:   l.sentAt,
		}
	}
	l.value = value
	l.changedAt = now
	l.version = 0
	g.update(now, e.id, l)
	e.unreported = true
	g.changed = true
}

// loosenedBy reports whether another value allows more requests.
func (l *limit) loosenedBy(value waxwingpick.Option[float64]) bool {
	perSecond, limited := value.Get()
	current, before := l.value.Get()
	return before && (!limited || perSecond > current)
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

// update determines the owners and refills the buckets.
func (g *Gate) update(now time.Time, id waxwingpick.TargetID, l *limit) {
	perSecond, limited := l.value.Get()
	if !limited {
		return
	}
	g.processes.refresh(now)
	if l.version != g.processes.version {
		l.version = g.processes.version
		ranked := g.processes.ranked(id)
		l.owners = ranked[:min(len(ranked), 1+int(perSecond/ownerRate))]
		// Processes are distributed evenly over the owners, and each owner is its own.
		l.owner = l.owners[slices.Index(ranked, g.processes.self)%len(l.owners)]
		rate, burst := 0.0, 0.0
		if l.owner == g.processes.self {
			rate = ownedShare * perSecond / float64(len(l.owners))
		}
		if rate > 0 {
			burst = max(ownerBurst, rate*burstTime.Seconds())
		}
		l.owned.setRate(now, rate, burst)
	}
	l.owned.refill(now)
	if !now.Before(l.grantedUntil) {
		l.granted = 0
	}
}

// source is where the token for a request comes from.
type source uint8

const (
	sourceNone source = iota
	sourceUnlimited
	sourceOwned
	sourceGranted
)

// token returns where this process has a token for a request now.
func (g *Gate) token(now time.Time, id waxwingpick.TargetID, l *limit) source {
	if !l.applies(now, g.ttl) {
		return sourceUnlimited
	}
	g.update(now, id, l)
	switch {
	case l.granted > 0:
		return sourceGranted
	case l.owned.tokens >= minTokens && l.ownTurn(now):
		return sourceOwned
	}
	return sourceNone
}

// ownTurn reports whether an owner may use a token itself. If others request tokens, it leaves them their part unless
// nobody takes it.
func (l *limit) ownTurn(now time.Time) bool {
	return !now.Before(l.nextRequestAt) || l.owned.tokens >= l.owned.burst-minTokens/2
}

// take uses a token.
func (l *limit) take(now time.Time, from source) {
	l.countSent(now)
	switch from {
	case sourceOwned:
		l.owned.tokens--
		seconds := min(maxRequestWait.Seconds(), ownTurnShare*float64(len(l.requesters))/l.owned.rate)
		l.nextRequestAt = now.Add(time.Duration(seconds * float64(time.Second)))
	case sourceGranted:
		l.granted--
	case sourceNone, sourceUnlimited:
	}
}

// sentWindow is the time constant of the average of the requests sent.
const sentWindow = time.Second

func (l *limit) countSent(now time.Time) {
	l.sentRate = l.rate(now) + 1/sentWindow.Seconds()
	l.sentAt = now
}

// rate returns the average number of requests per second that this process sends.
func (l *limit) rate(now time.Time) float64 {
	return l.sentRate * math.Exp(-now.Sub(l.sentAt).Seconds()/sentWindow.Seconds())
}

// untilToken returns the time until this process may have a token; none if it cannot have one.
func (g *Gate) untilToken(now time.Time, id waxwingpick.TargetID, l *limit) waxwingpick.Option[time.Duration] {
	if g.token(now, id, l) != sourceNone {
		return waxwingpick.Some(time.Duration(0))
	}
	if l.owner != g.processes.self {
		return waxwingpick.Some(max(0, l.nextRequestAt.Sub(now)))
	}
	missing := max(0, 1-l.owned.tokens)
	if l.owned.rate*g.ttl.Seconds() < missing {
		return waxwingpick.None[time.Duration]()
	}
	return waxwingpick.Some(max(l.nextRequestAt.Sub(now), time.Duration(missing/l.owned.rate*float64(time.Second))))
}
