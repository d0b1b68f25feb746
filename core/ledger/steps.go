package ledger

import (
	"time"

	"waxwingpick"
)

// choose requests the next target, unless the submission has used up its attempts or its time.
func (m *Machine) choose(now time.Time) Action {
	if refusal := m.policy.check(m.key, now); refusal != nil {
		return m.refuse(refusal)
	}
	if !now.Before(m.order.Deadline) {
		m.refusal = waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, "deadline reached before another target was tried")
		return m.giveUp()
	}
	if m.readOnly || m.tried.Len() >= maxAttempts || m.writes >= maxClaimWrites {
		return m.giveUp()
	}
	return Action{
		Kind: ActChoose,
	}
}

func (m *Machine) swap() Action {
	return Action{
		Kind:     ActWrite,
		Key:      m.key.Path(),
		Expected: m.revision,
		Value:    m.claim.encode(),
	}
}

func (m *Machine) read() Action {
	return Action{
		Kind: ActRead,
		Key:  m.key.Path(),
	}
}

func (m *Machine) fence() Action {
	return Action{
		Kind:    ActFence,
		Attempt: m.claim.Attempt,
	}
}

func (m *Machine) run(now time.Time) Action {
	if !now.Before(m.order.Deadline) {
		m.markNotRun()
		return m.choose(now)
	}
	m.tried.Add(m.claim.Attempt.Target)
	return Action{
		Kind:    ActRun,
		Attempt: m.claim.Attempt,
	}
}

// claimed continues with a claim that this submission has just taken.
func (m *Machine) claimed(now time.Time, revision int64) Action {
	m.revision = revision
	if m.mayBeRemoved(now) {
		return m.readRemoved()
	}
	m.nothingRan = true
	return m.run(now)
}

// unclaimed continues after a read found no claim.
func (m *Machine) unclaimed(now time.Time) Action {
	if m.mayBeRemoved(now) {
		return m.readRemoved()
	}
	m.nothingRan = true
	return m.choose(now)
}

// mayBeRemoved reports whether an expired claim of the key may have been removed without this submission having checked.
func (m *Machine) mayBeRemoved(now time.Time) bool {
	issued, ok := m.key.Issued()
	return !m.removalChecked && (!ok || now.Sub(issued) > maxUncheckedAge)
}

// readRemoved requests the record that is written before an expired claim is removed.
func (m *Machine) readRemoved() Action {
	m.checkingRemoval = true
	key := minIssueTimePath
	if _, ok := m.key.Issued(); !ok {
		key = m.key.tombstonePath()
	}
	return Action{
		Kind: ActRead,
		Key:  key,
	}
}

// checkRemoval handles the record that readRemoved requested and continues, unless a claim of the key was removed.
func (m *Machine) checkRemoval(now time.Time, record waxwingpick.Entry) Action {
	m.checkingRemoval = false
	m.removalChecked = true
	removed, full, err := m.removed(record)
	if err != nil {
		return m.unknownRetryable(waxwingpick.ReasonKeyValue, err.Error())
	}
	if removed {
		return m.unknownFinal(waxwingpick.ReasonKeyExpired, "the key was used earlier and its claim was removed")
	}
	m.nothingRan = true
	if full {
		m.claim.State = ClaimNotRun
		return m.refuse(waxwingpick.NotRun(waxwingpick.ReasonOverload, defaultRetryAfter, "no room for opaque keys: use UUIDs of version 7"))
	}
	switch {
	case m.pendingClaim != nil:
		return m.follow(now, *m.pendingClaim)
	case m.revision == 0:
		return m.choose(now)
	}
	return m.run(now)
}

// removed reports whether the record shows that a claim of the key was removed, and whether the record is full.
func (m *Machine) removed(record waxwingpick.Entry) (removed, full bool, err error) {
	issued, ok := m.key.Issued()
	if !ok {
		page := tombstonePage(record.Value)
		return page.has(m.key.fingerprint()), page.full(), nil
	}
	f, err := decodeMinIssueTime(record.Value)
	return issued.Before(f.Before), false, err
}

// follow continues with the claim that a read found.
func (m *Machine) follow(now time.Time, found Claim) Action {
	notRun := m.notRun.Has(found.Attempt.ID)
	local := found.Attempt.ID == m.claim.Attempt.ID
	switch {
	case found.State == ClaimAnswered:
		m.claim = found
		m.outcomeStored = true
		return m.done(found.Answer)
	case found.State == ClaimUnknown:
		m.claim = found
		m.outcomeStored = true
		return m.unknownRetryable(waxwingpick.ReasonTargetLost, "an earlier attempt may have run")
	case m.mayBeRemoved(now):
		// The claim may be newer than one that was removed.
		m.pendingClaim = &found
		return m.readRemoved()
	}
	m.pendingClaim = nil
	m.claim = found
	switch {
	case found.State == ClaimNotRun:
		m.outcomeStored = true
		m.nothingRan = true
		return m.choose(now)
	case notRun:
		m.claim.State = ClaimNotRun
		m.nothingRan = true
		return m.choose(now)
	case local:
		return m.claimed(now, m.revision)
	}
	return m.delayFence(now)
}

// delayFence gives a recent attempt of another submission time to reach its sidecar, so that concurrent submissions don't
// fence each other in turn.
func (m *Machine) delayFence(now time.Time) Action {
	left := min(minFenceAge-now.Sub(m.claim.ClaimedAt), minFenceAge)
	if left <= 0 || !now.Add(left).Before(m.order.Deadline) {
		return m.fence()
	}
	return Action{
		Kind:  ActWait,
		Delay: left,
	}
}
