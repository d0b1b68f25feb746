package plan

import (
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/kvcall"
)

// Apply takes the result of the call that Next named.
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
	case phaseTurn:
		a.applyTurn(now, r)
	case phaseGrant:
		a.applyGrant(now, r)
	case phaseTake:
		a.applyTake(now, r)
	case phaseConfirm:
		a.applyConfirm(now, r)
	case phaseRead:
		a.applyRead(now, r)
	case phaseRaise:
		a.applyWrite(now, r)
	case phaseHold:
		a.applyHold(now, pending, r)
	case phaseResign:
		a.applyResign(now, pending, r)
	}
}

// count keeps the backoff's count: a conflict or a lapsed lease is an answer, so the service is well.
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
	a.phase = phaseTurn
	a.retryAt = now.Add(time.Duration(min(a.rank, promptRanks))*a.turnDelay + a.jitter(a.turnDelay/4))
}

func (a *Authority) applyTurn(now time.Time, r kvcall.Result) {
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
	a.enter(phaseTake)
}

func (a *Authority) granted(r kvcall.Result) {
	a.lease = r.Lease
	a.leaseValue = ""
	a.keepAliveAt = r.Started.Add(a.leaseTTL / 3)
}

func (a *Authority) applyTake(now time.Time, r kvcall.Result) {
	switch {
	case r.Err == nil:
		a.leaseValue = a.ownValue()
		a.enter(phaseRead)
	case errors.Is(r.Err, waxwingpick.ErrUnknownOutcome):
		a.enter(phaseConfirm)
	default:
		a.poll(now)
	}
}

// applyConfirm goes on only where the lease key is the candidate's own: a candidate never challenges a live lease.
func (a *Authority) applyConfirm(now time.Time, r kvcall.Result) {
	if r.Err != nil {
		a.retryAt = now.Add(a.backoff())
		return
	}
	if a.lease != 0 && r.Entry.Exists() && string(r.Entry.Value) == a.ownValue() {
		a.leaseValue = a.ownValue()
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
	if !a.learn(r.Entry) {
		a.retryAt = now.Add(a.leaseTTL)
		return
	}
	if a.base.ChangeID == a.proposed.ChangeID && a.baseRevision != 0 && a.base.Holder == a.self {
		// The newest change is this machine's own: an unanswered write took effect.
		a.accept(now, a.baseRevision)
		return
	}
	a.enter(phaseRaise)
}

// learn takes a plan that was read back as the new base.
func (a *Authority) learn(e waxwingpick.Entry) bool {
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
	if a.phase == phaseRaise && isAny(r.Err, waxwingpick.ErrConflict, waxwingpick.ErrUnknownOutcome) {
		// The lease is looked at again before another try, so that two candidates do not outbid each other.
		a.enter(phaseConfirm)
		return
	}
	a.retryAt = now.Add(a.backoff())
	a.writeAt = a.retryAt
	a.unsettled = a.phase == phaseHold && !errors.Is(r.Err, waxwingpick.ErrUnavailable)
	if errors.Is(r.Err, waxwingpick.ErrConflict) {
		a.retryAt = now
	}
}

// accept makes the proposed record the base: the service accepted it.
func (a *Authority) accept(now time.Time, revision int64) {
	a.base = a.proposed
	a.baseRevision = revision
	a.epoch = a.base.Epoch
	a.phase = phaseHold
	a.unsettled = false
	a.writeAt = now.Add(a.writeInterval)
}

func (a *Authority) applyHold(now time.Time, pending kvcall.Call, r kvcall.Result) {
	switch {
	case pending.Kind == kvcall.Get:
		a.settle(now, r)
	case pending.Kind == kvcall.KeepAlive:
		a.applyKeepAlive(now, r)
	case pending.Kind == kvcall.Grant:
		a.applyRegrant(now, r)
	case pending.Kind == kvcall.CompareAndSwap && pending.Lease != 0:
		a.applyRetake(now, r)
	default:
		a.applyWrite(now, r)
	}
}

// settle learns from the record itself whether an unanswered or refused write took effect, and whether the authority
// is still the machine's own.
func (a *Authority) settle(now time.Time, r kvcall.Result) {
	if r.Err != nil || !a.learn(r.Entry) {
		a.retryAt = now.Add(a.backoff())
		return
	}
	a.unsettled = false
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

// applyRetake ends a lapse of the holder's lease. Where another candidate took the key the plan tells who holds the
// authority; as long as it does not, this machine goes on and looks again.
func (a *Authority) applyRetake(now time.Time, r kvcall.Result) {
	a.keepAliveAt = now.Add(a.leaseTTL / 3)
	if r.Err == nil {
		a.leaseValue = a.ownValue()
		return
	}
	a.unsettled = true
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
