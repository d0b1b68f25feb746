package ledger

import (
	"time"

	"waxwingpick"
)

// choose asks for a next target, unless the sending has used up its tries or its time.
func (m *Machine) choose(now time.Time) Action {
	if refusal := m.policy.check(m.key, now); refusal != nil {
		return m.refuse(refusal)
	}
	if !now.Before(m.order.Deadline) {
		m.refusal = waxwingpick.NotRun(waxwingpick.ReasonDeadline, 0, "no time left for another target")
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

func (m *Machine) bar() Action {
	return Action{
		Kind:    ActBar,
		Attempt: m.claim.Attempt,
	}
}

func (m *Machine) run(now time.Time) Action {
	if !now.Before(m.order.Deadline) {
		m.bury()
		return m.choose(now)
	}
	m.tried.Add(m.claim.Attempt.Target)
	return Action{
		Kind:    ActRun,
		Attempt: m.claim.Attempt,
	}
}

// hold goes on with a claim that this sending has just taken.
func (m *Machine) hold(now time.Time, revision int64) Action {
	m.revision = revision
	if m.mayBeRemoved(now) {
		return m.readRemoved()
	}
	m.free = true
	return m.run(now)
}

// vacant goes on after a read found no claim.
func (m *Machine) vacant(now time.Time) Action {
	if m.mayBeRemoved(now) {
		return m.readRemoved()
	}
	m.free = true
	return m.choose(now)
}

// mayBeRemoved reports whether an aged claim of the key may have been removed, for all that this sending knows.
func (m *Machine) mayBeRemoved(now time.Time) bool {
	issued, ok := m.key.Issued()
	return !m.checked && (!ok || now.Sub(issued) > freshAge)
}

// readRemoved asks for the record that is written before an aged claim is removed.
func (m *Machine) readRemoved() Action {
	m.checking = true
	key := floorPath
	if _, ok := m.key.Issued(); !ok {
		key = m.key.tombstonePath()
	}
	return Action{
		Kind: ActRead,
		Key:  key,
	}
}

// check takes that record and goes on, unless a claim of the key was removed.
func (m *Machine) check(now time.Time, record waxwingpick.Entry) Action {
	m.checking = false
	m.checked = true
	removed, full, err := m.removed(record)
	if err != nil {
		return m.lost(waxwingpick.ReasonKeyValue, err.Error())
	}
	if removed {
		return m.unknown(waxwingpick.ReasonKeyExpired, "the key was used longer ago than orders are kept")
	}
	m.free = true
	if full {
		m.claim.State = ClaimNotRun
		return m.refuse(waxwingpick.NotRun(waxwingpick.ReasonOverload, defaultRetryAfter, "no room for opaque keys: use UUIDs of version 7"))
	}
	switch {
	case m.pending != nil:
		return m.follow(now, *m.pending)
	case m.revision == 0:
		return m.choose(now)
	}
	return m.run(now)
}

// removed reports whether the record says that a claim of the key was removed, and whether it has no room for more.
func (m *Machine) removed(record waxwingpick.Entry) (removed, full bool, err error) {
	issued, ok := m.key.Issued()
	if !ok {
		page := tombstonePage(record.Value)
		return page.has(m.key.fingerprint()), page.full(), nil
	}
	f, err := decodeFloor(record.Value)
	return issued.Before(f.Before), false, err
}

// follow goes on with the claim that a read found.
func (m *Machine) follow(now time.Time, found Claim) Action {
	buried := m.buried.Has(found.Attempt.ID)
	mine := found.Attempt.ID == m.claim.Attempt.ID
	switch {
	case found.State == ClaimAnswered:
		m.claim = found
		m.kept = true
		return m.done(found.Answer)
	case found.State == ClaimUnknown:
		m.claim = found
		m.kept = true
		return m.lost(waxwingpick.ReasonTargetLost, "an earlier attempt may have run")
	case m.mayBeRemoved(now):
		// The claim may be a later one than the one that was removed.
		m.pending = &found
		return m.readRemoved()
	}
	m.pending = nil
	m.claim = found
	switch {
	case found.State == ClaimNotRun:
		m.kept = true
		m.free = true
		return m.choose(now)
	case buried:
		m.claim.State = ClaimNotRun
		m.free = true
		return m.choose(now)
	case mine:
		return m.hold(now, m.revision)
	}
	return m.beforeBar(now)
}

// beforeBar leaves a young attempt of another sending the time to reach its sidecar, so that concurrent sendings don't bar each other in turn.
func (m *Machine) beforeBar(now time.Time) Action {
	left := min(patience-now.Sub(m.claim.ClaimedAt), patience)
	if left <= 0 || !now.Add(left).Before(m.order.Deadline) {
		return m.bar()
	}
	return Action{
		Kind:  ActWait,
		Delay: left,
	}
}
