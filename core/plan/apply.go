package plan

import (
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/kvcall"
)

// Apply processes the result of the call that Next returned.
func (a *Authority) Apply(now time.Time, r kvcall.Result) {
	pending := a.pending
	a.pending = kvcall.Call{}
	if pending.Kind == kvcall.Wait {
		return
	}
	r.Started = a.pendingAt
	a.count(r.Err)
	switch a.phase {
	case phasePoll:
		a.applyPoll(now, r)
	case phaseRankDelay:
		a.applyRankDelay(now, r)
	case phaseGrant:
		a.applyGrant(now, r)
	case phaseAcquire:
		a.applyAcquire(now, r)
	case phaseConfirm:
		a.applyConfirm(now, r)
	case phaseRead:
		a.applyRead(now, r)
	case phaseRaiseEpoch:
		a.applyWrite(now, r)
	case phaseHold:
		a.applyHold(now, pending, r)
	case phaseResign:
		a.applyResign(now, pending, r)
	}
}

// count updates the failure count for the backoff. A conflict or an expired lease is a valid response of the
// key-value service and resets the count.
func (a *Authority) count(err error) {
	a.failure = err
	if err == nil || isAny(err, waxwingpick.ErrConflict, waxwingpick.ErrLeaseExpired) {
		a.failures = 0
		return
	}
	a.failures++
}

func (a *Authority) applyPoll(now time.Time, r kvcall.Result) {
	if r.Err != nil || r.Entry.Exists() {
		a.poll(now)
		return
	}
	if a.rank == 0 {
		a.enter(phaseGrant)
		return
	}
	a.phase = phaseRankDelay
	a.retryAt = now.Add(time.Duration(min(a.rank, fastPollRanks))*a.rankDelay + a.jitter(a.rankDelay/4))
}

func (a *Authority) applyRankDelay(now time.Time, r kvcall.Result) {
	if r.Err != nil || r.Entry.Exists() {
		a.poll(now)
		return
	}
	a.enter(phaseGrant)
}

func (a *Authority) applyGrant(now time.Time, r kvcall.Result) {
	if r.Err != nil {
		a.poll(now)
		return
	}
	a.granted(r)
	a.enter(phaseAcquire)
}

func (a *Authority) granted(r kvcall.Result) {
	a.lease = r.Lease
	a.leaseValue = ""
	a.keepAliveAt = r.Started.Add(a.leaseTTL / 3)
}

func (a *Authority) applyAcquire(now time.Time, r kvcall.Result) {
	switch {
	case r.Err == nil:
		a.leaseValue = a.candidateValue()
		a.enter(phaseRead)
	case errors.Is(r.Err, waxwingpick.ErrUnknownOutcome):
		a.enter(phaseConfirm)
	default:
		a.poll(now)
	}
}

// applyConfirm continues only if the lease key holds this candidate's value. A candidate never overwrites the value of
// a live lease.
func (a *Authority) applyConfirm(now time.Time, r kvcall.Result) {
	if r.Err != nil {
		a.retryAt = now.Add(a.backoff())
		return
	}
	if a.lease != 0 && r.Entry.Exists() && string(r.Entry.Value) == a.candidateValue() {
		a.leaseValue = a.candidateValue()
		a.enter(phaseRead)
		return
	}
	a.poll(now)
}

func (a *Authority) applyRead(now time.Time, r kvcall.Result) {
	if r.Err != nil {
		a.retryAt = now.Add(a.backoff())
		return
	}
	if !a.setBase(r.Entry) {
		a.retryAt = now.Add(a.leaseTTL)
		return
	}
	if a.base.ChangeID == a.proposed.ChangeID && a.baseRevision != 0 && a.base.Holder == a.self {
		// This candidate made the newest change: a write with unknown outcome took effect.
		a.accept(now, a.baseRevision)
		return
	}
	a.enter(phaseRaiseEpoch)
}

// setBase makes a plan that was read back the new base. It returns false if the plan is not valid.
func (a *Authority) setBase(e waxwingpick.Entry) bool {
	if !e.Exists() {
		a.baseRevision = 0
		return true
	}
	rec, err := Decode(a.service, e.Value)
	if err != nil {
		a.failure = err
		return false
	}
	a.base = rec
	a.baseRevision = e.Revision
	return true
}

func (a *Authority) applyWrite(now time.Time, r kvcall.Result) {
	if r.Err == nil {
		a.accept(now, r.Entry.Revision)
		return
	}
	if a.phase == phaseRaiseEpoch && isAny(r.Err, waxwingpick.ErrConflict, waxwingpick.ErrUnknownOutcome) {
		// The lease is read again before the next attempt, so that two candidates do not keep raising the epoch in turn.
		a.enter(phaseConfirm)
		return
	}
	a.retryAt = now.Add(a.backoff())
	a.writeAt = a.retryAt
	a.unresolved = a.phase == phaseHold && !errors.Is(r.Err, waxwingpick.ErrUnavailable)
	if errors.Is(r.Err, waxwingpick.ErrConflict) {
		a.retryAt = now
	}
}

// accept makes the proposed record the base after the key-value service has accepted it.
func (a *Authority) accept(now time.Time, revision int64) {
	a.base = a.proposed
	a.baseRevision = revision
	a.epoch = a.base.Epoch
	a.phase = phaseHold
	a.unresolved = false
	a.writeAt = now.Add(a.writeInterval)
}

func (a *Authority) applyHold(now time.Time, pending kvcall.Call, r kvcall.Result) {
	switch {
	case pending.Kind == kvcall.Get:
		a.resolve(now, r)
	case pending.Kind == kvcall.KeepAlive:
		a.applyKeepAlive(now, r)
	case pending.Kind == kvcall.Grant:
		a.applyRegrant(now, r)
	case pending.Kind == kvcall.CompareAndSwap && pending.Lease != 0:
		a.applyReacquire(now, r)
	default:
		a.applyWrite(now, r)
	}
}

// resolve reads back the record to find out whether a failed write took effect, and whether this candidate still holds
// the authority.
func (a *Authority) resolve(now time.Time, r kvcall.Result) {
	if r.Err != nil || !a.setBase(r.Entry) {
		a.retryAt = now.Add(a.backoff())
		return
	}
	a.unresolved = false
	if a.baseRevision == 0 || a.base.Epoch != a.epoch || a.base.Holder != a.self {
		a.epoch = 0
		a.enter(phaseConfirm)
	}
}

func (a *Authority) applyKeepAlive(now time.Time, r kvcall.Result) {
	if errors.Is(r.Err, waxwingpick.ErrLeaseExpired) {
		a.lease = 0
		a.leaseValue = ""
		a.keepAliveAt = now
		return
	}
	a.keepAliveAt = now.Add(a.leaseTTL / 3)
	if r.Err != nil {
		a.keepAliveAt = now.Add(a.jitter(a.leaseTTL / 6))
	}
}

func (a *Authority) applyRegrant(now time.Time, r kvcall.Result) {
	if r.Err != nil {
		a.keepAliveAt = now.Add(a.jitter(a.leaseTTL / 3))
		return
	}
	a.granted(r)
	a.keepAliveAt = now
}

// applyReacquire processes an attempt to acquire the key again after the holder's lease expired. If another candidate
// acquired the key, the plan decides who holds the authority: this holder continues and reads the plan until another
// holder has written it.
func (a *Authority) applyReacquire(now time.Time, r kvcall.Result) {
	a.keepAliveAt = now.Add(a.leaseTTL / 3)
	if r.Err == nil {
		a.leaseValue = a.candidateValue()
		return
	}
	a.unresolved = true
	a.retryAt = now.Add(a.backoff())
	if isAny(r.Err, waxwingpick.ErrLeaseExpired, waxwingpick.ErrUnknownOutcome) {
		a.lease = 0
	}
}

func (a *Authority) applyResign(now time.Time, pending kvcall.Call, r kvcall.Result) {
	if pending.Kind != kvcall.Revoke {
		return
	}
	if r.Err == nil || errors.Is(r.Err, waxwingpick.ErrLeaseExpired) {
		a.resigned = true
		return
	}
	a.retryAt = now.Add(a.backoff())
}

func (a *Authority) enter(p phase) {
	a.phase = p
	a.retryAt = time.Time{}
}

func (a *Authority) poll(now time.Time) {
	a.phase = phasePoll
	a.retryAt = now.Add(max(a.pollDelay(), a.backoff()))
}
