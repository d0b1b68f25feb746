package duty

import "time"

// tenure is the time during which a process holds the key with one token.
type tenure struct {
	token int64
	// era is the latest era in which the key was seen in the service.
	era     int64
	actFrom time.Time
	// renewSentAt and readSentAt are when the latest successful calls were sent; zero if they have to be repeated.
	renewSentAt time.Time
	readSentAt  time.Time
	renewedTo   time.Time
	readTo      time.Time
	// until is the end of the right to act as last confirmed.
	until     time.Time
	confirmed bool
	// barrier is the number of the last call whose result doesn't count, since it was sent before the doubt arose.
	barrier uint64
}

// unconfirm suspends the right to act until the lease was renewed and then the key read. In the other order, the lease
// may expire in between and exist again in an older copy of the service.
func (t *tenure) unconfirm(lastNumber uint64) {
	t.confirmed = false
	t.renewSentAt, t.readSentAt = time.Time{}, time.Time{}
	t.barrier = lastNumber
}

// lapse suspends the right to act if it has ended: from then on, another process may have held the duty.
func (t *tenure) lapse(now time.Time, lastNumber uint64) {
	if t.confirmed && !now.Before(t.until) {
		t.unconfirm(lastNumber)
	}
}

// extend confirms the right to act if the lease was renewed and the key read. It returns false if the duty has to be
// given up.
func (t *tenure) extend(now time.Time, era int64) bool {
	if t.renewSentAt.IsZero() || t.readSentAt.IsZero() {
		return true
	}
	until := earlier(t.renewedTo, t.readTo)
	if !now.Before(until) {
		return true
	}
	// After a lapse another process may have acted in the earlier era, and after two restorations in the era between
	// them, with a higher token.
	if era != t.era && (era != t.era+1 || !now.Before(t.until)) {
		return false
	}
	t.era = era
	t.until = until
	t.confirmed = true
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// begin starts the tenure of an own write that was seen in the service.
func (m *Machine) begin(now time.Time, sentAt time.Time, era, revision int64) {
	token := TokenOf(era, revision)
	if token <= m.highest {
		m.notBefore = now.Add(backoff)
		m.release()
		return
	}
	m.highest = token
	m.phase = holding
	m.seen = present
	m.seenAt = now
	m.record = Record{
		Holder:  m.self,
		Attempt: m.attempt,
	}
	m.tenure = tenure{
		token:      token,
		era:        era,
		actFrom:    m.actFrom(),
		readSentAt: sentAt,
		readTo:     sentAt.Add(m.terms.TTL - m.terms.Margin),
	}
	if now.Before(m.leaseTo) {
		m.tenure.renewedTo = m.leaseTo
		m.tenure.renewSentAt = m.leaseTo.Add(m.terms.Margin - m.terms.TTL)
		m.tenure.extend(now, era)
	}
	if !m.tenure.confirmed {
		m.tenure.unconfirm(m.lastNumber)
	}
}

// actFrom returns the time from which a token acquired now may be used.
func (m *Machine) actFrom() time.Time {
	from := m.startedAt.Add(m.terms.Quiet)
	if m.acted {
		from = later(from, m.callEnd.Add(m.terms.Quiet))
	}
	// The first era that a process learns may have begun just before, too.
	if !m.eraAt.IsZero() {
		from = later(from, m.eraAt.Add(max(m.terms.Quiet, m.terms.TTL)))
	}
	return from
}

// Token returns the fencing token if a call that completes within need may start now.
func (m *Machine) Token(now time.Time, need time.Duration) (int64, bool) {
	t := &m.tenure
	end := now.Add(max(0, need))
	if m.phase != holding || m.stopping || !t.confirmed || now.Before(t.actFrom) || !end.Before(t.until) {
		return 0, false
	}
	m.grantedTo = later(m.grantedTo, end)
	return t.token, true
}

// Acted records that a call started after Token allowed it. It counts as running for the need given to Token.
func (m *Machine) Acted(now time.Time) {
	m.acted = true
	m.callEnd = later(now, m.grantedTo)
}

// Finished records that no call is running, so that a stopped holder releases the duty without waiting for the end of
// the time that Token allowed.
func (m *Machine) Finished(now time.Time) {
	m.grantedTo = earlier(m.grantedTo, now)
	m.callEnd = earlier(m.callEnd, now)
}
