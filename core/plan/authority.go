package plan

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/kvcall"
)

type phase uint8

const (
	// phasePoll polls the lease key until it does not exist.
	phasePoll phase = iota
	// phaseRankDelay waits for a time that grows with the candidate's rank, then reads the lease key again.
	phaseRankDelay
	// phaseGrant requests a lease.
	phaseGrant
	// phaseAcquire writes the lease key.
	phaseAcquire
	// phaseConfirm reads the lease key to check whether it holds this candidate's value.
	phaseConfirm
	// phaseRead reads the plan before the epoch is raised.
	phaseRead
	// phaseRaiseEpoch writes the plan with the next epoch.
	phaseRaiseEpoch
	// phaseHold keeps the lease alive and writes the desired state.
	phaseHold
	// phaseResign revokes the lease.
	phaseResign
)

// Authority is the state machine of one candidate for the role of the only writer of a service's plan. It has at most
// one call outstanding: Next returns it, Apply processes its result. It is not safe for concurrent use.
type Authority struct {
	service waxwingpick.ServiceName
	self    waxwingpick.InstanceID

	leaseTTL      time.Duration
	pollInterval  time.Duration
	rankDelay     time.Duration
	writeInterval time.Duration
	random        *rand.Rand
	nextID        func() string

	phase     phase
	rank      int
	candidate bool
	resigned  bool
	// retryAt is the earliest time of the next call in the phase.
	retryAt time.Time
	pending kvcall.Call
	// pendingAt is when Next returned the pending call.
	pendingAt time.Time
	// failures counts the failed calls since the last successful one, for the backoff.
	failures int

	lease       waxwingpick.LeaseID
	leaseValue  string
	keepAliveAt time.Time

	// base is the newest plan that was read back or accepted, and baseRevision the modification revision of its key.
	base         Record
	baseRevision int64
	// epoch is the epoch of this candidate's authority. It is zero while it does not hold the authority.
	epoch int64
	// proposed is the record of the outstanding or unresolved write.
	proposed   Record
	unresolved bool
	// hintedEpoch is the highest epoch in a hint, and checkedEpoch the highest one that caused a read.
	hintedEpoch  int64
	checkedEpoch int64
	desired      waxwingpick.Option[Desired]
	writeAt      time.Time
	failure      error
}

// NewAuthority returns the state machine of one candidate for a service's plan.
func NewAuthority(service waxwingpick.ServiceName, self waxwingpick.InstanceID, opts ...Option) (*Authority, error) {
	a := &Authority{
		service:       service,
		self:          self,
		leaseTTL:      DefaultLeaseTTL,
		pollInterval:  DefaultPollInterval,
		rankDelay:     DefaultRankDelay,
		writeInterval: DefaultWriteInterval,
		candidate:     true,
	}
	for _, opt := range opts {
		if err := opt(a); err != nil {
			return nil, err
		}
	}
	if a.random == nil || a.nextID == nil {
		return nil, eris.New("authority needs a random source and change IDs")
	}
	return a, nil
}

// Holds reports whether this candidate wrote the newest epoch that it has read. After a pause this may be outdated, in
// which case its next write fails.
func (a *Authority) Holds() bool {
	return a.epoch != 0
}

// Record returns the newest accepted plan that this candidate has read or written, and the revision of its key, which
// is zero if there is none.
func (a *Authority) Record() (Record, int64) {
	return a.base, a.baseRevision
}

// Failure returns the error of the newest call or write, nil if it succeeded.
func (a *Authority) Failure() error {
	return a.failure
}

// SetLive sets the live entries, which may hold the authority.
func (a *Authority) SetLive(entries []waxwingpick.InstanceID) {
	ranked := Rank(AuthorityKey(a.service), entries)
	a.rank = slices.Index(ranked, a.self)
	if a.rank < 0 {
		a.rank = len(ranked)
	}
}

// SetDesired sets the desired state of the plan. Only a holder writes it.
func (a *Authority) SetDesired(d Desired) {
	a.desired = waxwingpick.Some(d)
}

// Hint reports a plan that was received from another process. It only makes a holder read the record itself, once for
// each higher epoch.
func (a *Authority) Hint(received Record) {
	if received.Service == a.service {
		a.hintedEpoch = max(a.hintedEpoch, received.Epoch)
	}
}

// Resign revokes the lease and ends the candidacy.
func (a *Authority) Resign() {
	a.candidate = false
	a.epoch = 0
	a.phase = phaseResign
	a.retryAt = time.Time{}
}

// Resigned reports whether the lease is revoked.
func (a *Authority) Resigned() bool {
	return a.resigned
}

// Next returns the call to make now, or a Wait with the time of the next one.
func (a *Authority) Next(now time.Time) kvcall.Call {
	call := a.choose(now)
	a.pending = call
	a.pendingAt = now
	return call
}

func (a *Authority) choose(now time.Time) kvcall.Call {
	if a.phase == phaseHold {
		return a.chooseHold(now)
	}
	if now.Before(a.retryAt) {
		return kvcall.WaitUntil(a.retryAt)
	}
	switch a.phase {
	case phasePoll, phaseRankDelay, phaseConfirm:
		return kvcall.Read(AuthorityKey(a.service))
	case phaseGrant:
		return a.grant()
	case phaseAcquire:
		return a.acquire()
	case phaseRead:
		return kvcall.Read(Key(a.service))
	case phaseRaiseEpoch:
		return a.raiseEpoch(now)
	case phaseResign:
		return a.revoke(now)
	case phaseHold:
	}
	return kvcall.WaitUntil(now.Add(a.pollInterval))
}

func (a *Authority) chooseHold(now time.Time) kvcall.Call {
	if a.hintedEpoch > max(a.epoch, a.checkedEpoch) {
		a.checkedEpoch = a.hintedEpoch
		a.unresolved = true
	}
	switch {
	case !now.Before(a.keepAliveAt):
		return a.keepLease()
	case a.unresolved && now.Before(a.retryAt):
		return kvcall.WaitUntil(earlier(a.retryAt, a.keepAliveAt))
	case a.unresolved:
		return kvcall.Read(Key(a.service))
	case now.Before(a.writeAt):
		return kvcall.WaitUntil(earlier(a.writeAt, a.keepAliveAt))
	}
	next, changed := a.reconciled()
	if !changed {
		return kvcall.WaitUntil(a.keepAliveAt)
	}
	return a.write(now, next)
}

// keepLease renews the lease. After an expiry it requests a new lease and acquires the key again, which fails if another
// candidate has acquired it.
func (a *Authority) keepLease() kvcall.Call {
	if a.lease == 0 {
		return a.grant()
	}
	if a.leaseValue == "" {
		return a.acquire()
	}
	return kvcall.Call{
		Kind:  kvcall.KeepAlive,
		Lease: a.lease,
	}
}

func (a *Authority) reconciled() (Record, bool) {
	desired, ok := a.desired.Get()
	if !ok {
		return a.base, false
	}
	return Reconcile(a.base, desired)
}

func (a *Authority) grant() kvcall.Call {
	return kvcall.Call{
		Kind: kvcall.Grant,
		TTL:  a.leaseTTL,
	}
}

func (a *Authority) acquire() kvcall.Call {
	return kvcall.Call{
		Kind:  kvcall.CompareAndSwap,
		Key:   AuthorityKey(a.service),
		Value: []byte(a.candidateValue()),
		Lease: a.lease,
	}
}

func (a *Authority) candidateValue() string {
	return string(a.self) + "#" + strconv.FormatInt(int64(a.lease), 16)
}

func (a *Authority) raiseEpoch(now time.Time) kvcall.Call {
	next := a.base
	next.Service = a.service
	next.Epoch++
	next.Holder = a.self
	next.NextOrder = max(next.NextOrder, 1)
	return a.write(now, next)
}

func (a *Authority) write(now time.Time, next Record) kvcall.Call {
	next.Revision = a.base.Revision + 1
	next.ChangeID = a.nextID()
	value, err := Encode(next)
	if err != nil {
		a.failure = err
		a.writeAt = now.Add(a.leaseTTL)
		a.retryAt = a.writeAt
		return kvcall.WaitUntil(earlier(a.writeAt, now.Add(a.leaseTTL/3)))
	}
	a.proposed = next
	return kvcall.Call{
		Kind:     kvcall.CompareAndSwap,
		Key:      Key(a.service),
		Expected: a.baseRevision,
		Value:    value,
	}
}

func (a *Authority) revoke(now time.Time) kvcall.Call {
	if a.lease == 0 || a.resigned {
		a.resigned = true
		return kvcall.WaitUntil(now.Add(MaxPollInterval))
	}
	return kvcall.Call{
		Kind:  kvcall.Revoke,
		Lease: a.lease,
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (a *Authority) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(a.random.Int64N(int64(d)))
}

// pollDelay returns the delay before the next poll. It doubles with the rank, so that the total rate of polls stays
// bounded for any number of candidates.
func (a *Authority) pollDelay() time.Duration {
	d := a.pollInterval
	for r := fastPollRanks; r <= a.rank && d < MaxPollInterval; r++ {
		d *= 2
	}
	d = min(d, MaxPollInterval)
	return d*4/5 + time.Duration(a.random.Int64N(int64(d)*2/5))
}

// backoff returns the delay before the next attempt, which doubles with each failure up to a limit.
func (a *Authority) backoff() time.Duration {
	d := a.rankDelay << min(a.failures, maxBackoffSteps)
	return a.jitter(d)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func isAny(err error, targets ...error) bool {
	return slices.ContainsFunc(targets, func(target error) bool {
		return errors.Is(err, target)
	})
}
