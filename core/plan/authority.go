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
	// phasePoll looks whether the lease key is gone.
	phasePoll phase = iota
	// phaseTurn waits for the candidate's turn after the key was seen gone.
	phaseTurn
	phaseGrant
	phaseTake
	// phaseConfirm reads the lease key to learn whether it is the candidate's own.
	phaseConfirm
	// phaseRead reads the plan before the epoch is raised.
	phaseRead
	phaseRaise
	phaseHold
	phaseResign
)

// Authority is the state machine by which one entry becomes and stays the only writer of a service's plan. It has one
// call outstanding at most: Next names it, Apply takes its result. It is not safe for concurrent use.
type Authority struct {
	service waxwingpick.ServiceName
	self    waxwingpick.InstanceID

	leaseTTL      time.Duration
	pollInterval  time.Duration
	turnDelay     time.Duration
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
	// pendingAt is when the pending call was asked for.
	pendingAt time.Time
	// failures counts the failed calls since the last good one, for the backoff.
	failures int

	lease       waxwingpick.LeaseID
	leaseValue  string
	keepAliveAt time.Time

	// base is the newest plan that was read back or accepted, and baseRevision its key's modification revision.
	base         Record
	baseRevision int64
	// epoch is the epoch that this machine raised; zero while it holds no authority.
	epoch int64
	// proposed is the record of the outstanding or unsettled write.
	proposed  Record
	unsettled bool
	// heardEpoch is the highest epoch that a hint told of, and checkedEpoch the highest one that led to a read.
	heardEpoch   int64
	checkedEpoch int64
	desired      waxwingpick.Option[Desired]
	writeAt      time.Time
	failure      error
}

// NewAuthority returns the machine of one candidate for a service's plan.
func NewAuthority(service waxwingpick.ServiceName, self waxwingpick.InstanceID, opts ...Option) (*Authority, error) {
	a := &Authority{
		service:       service,
		self:          self,
		leaseTTL:      DefaultLeaseTTL,
		pollInterval:  DefaultPollInterval,
		turnDelay:     DefaultTurnDelay,
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

// Holds reports whether the machine wrote the newest epoch that it knows of; a paused holder may be wrong, and its
// next write fails.
func (a *Authority) Holds() bool {
	return a.epoch != 0
}

// Record returns the newest accepted plan that the machine knows and its key's revision; the revision is zero where
// it knows none.
func (a *Authority) Record() (Record, int64) {
	return a.base, a.baseRevision
}

// Failure returns why the newest call or write failed; nil where it did not.
func (a *Authority) Failure() error {
	return a.failure
}

// SetLive sets the entries that may hold the authority.
func (a *Authority) SetLive(entries []waxwingpick.InstanceID) {
	ranked := Rank(AuthorityKey(a.service), entries)
	a.rank = slices.Index(ranked, a.self)
	if a.rank < 0 {
		a.rank = len(ranked)
	}
}

// SetDesired sets the state that the plan has to match; only a holder writes it.
func (a *Authority) SetDesired(d Desired) {
	a.desired = waxwingpick.Some(d)
}

// Hint says that a plan was heard of. It only makes a holder read the record itself, once for each higher epoch.
func (a *Authority) Hint(heard Record) {
	if heard.Service == a.service {
		a.heardEpoch = max(a.heardEpoch, heard.Epoch)
	}
}

// Resign gives the lease back and ends the candidacy.
func (a *Authority) Resign() {
	a.candidate = false
	a.epoch = 0
	a.phase = phaseResign
	a.retryAt = time.Time{}
}

// Resigned reports whether the lease was given back.
func (a *Authority) Resigned() bool {
	return a.resigned
}

// Next returns the call to make now, or a wait.
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
	case phasePoll, phaseTurn, phaseConfirm:
		return kvcall.Read(AuthorityKey(a.service))
	case phaseGrant:
		return a.grant()
	case phaseTake:
		return a.take()
	case phaseRead:
		return kvcall.Read(Key(a.service))
	case phaseRaise:
		return a.raise(now)
	case phaseResign:
		return a.revoke(now)
	case phaseHold:
	}
	return kvcall.WaitUntil(now.Add(a.pollInterval))
}

func (a *Authority) chooseHold(now time.Time) kvcall.Call {
	if a.heardEpoch > max(a.epoch, a.checkedEpoch) {
		a.checkedEpoch = a.heardEpoch
		a.unsettled = true
	}
	switch {
	case !now.Before(a.keepAliveAt):
		return a.keepLease()
	case a.unsettled && now.Before(a.retryAt):
		return kvcall.WaitUntil(earlier(a.retryAt, a.keepAliveAt))
	case a.unsettled:
		return kvcall.Read(Key(a.service))
	case now.Before(a.writeAt):
		return kvcall.WaitUntil(earlier(a.writeAt, a.keepAliveAt))
	}
	next, changed := a.wanted()
	if !changed {
		return kvcall.WaitUntil(a.keepAliveAt)
	}
	return a.write(now, next)
}

// keepLease renews the lease, or takes the key again where the lease lapsed while no other candidate took it.
func (a *Authority) keepLease() kvcall.Call {
	if a.lease == 0 {
		return a.grant()
	}
	if a.leaseValue == "" {
		return a.take()
	}
	return kvcall.Call{
		Kind:  kvcall.KeepAlive,
		Lease: a.lease,
	}
}

func (a *Authority) wanted() (Record, bool) {
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

func (a *Authority) take() kvcall.Call {
	return kvcall.Call{
		Kind:  kvcall.CompareAndSwap,
		Key:   AuthorityKey(a.service),
		Value: []byte(a.ownValue()),
		Lease: a.lease,
	}
}

func (a *Authority) ownValue() string {
	return string(a.self) + "#" + strconv.FormatInt(int64(a.lease), 16)
}

func (a *Authority) raise(now time.Time) kvcall.Call {
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

// jitter returns a random duration between half of d and d and a half.
func (a *Authority) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(a.random.Int64N(int64(d)))
}

// pollDelay spaces the polls so that their sum over all candidates stays bounded, however many there are.
func (a *Authority) pollDelay() time.Duration {
	d := a.pollInterval
	for r := promptRanks; r <= a.rank && d < MaxPollInterval; r++ {
		d *= 2
	}
	d = min(d, MaxPollInterval)
	return d*4/5 + time.Duration(a.random.Int64N(int64(d)*2/5))
}

// backoff returns the delay before the next try, longer after each failure.
func (a *Authority) backoff() time.Duration {
	d := a.turnDelay << min(a.failures, maxBackoffSteps)
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
