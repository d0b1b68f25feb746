package duty

import (
	"errors"
	"time"

	"waxwingpick"
)

// Next returns the call to make now; none while one is outstanding.
func (m *Machine) Next(now time.Time) (Call, bool) {
	if m.outstanding != 0 || now.Before(m.notBefore) {
		return Call{}, false
	}
	m.tenure.lapse(now, m.lastNumber)
	if m.mustRelease(now) {
		m.release()
	}
	switch m.phase {
	case idle:
		return m.nextIdle(now)
	case leased:
		return m.write(now)
	case resolving:
		return m.send(now, Read)
	case holding:
		return m.nextHolding(now)
	case releasing:
		return m.send(now, Revoke)
	}
	return Call{}, false
}

// mustRelease reports whether the lease is to be revoked before anything else.
func (m *Machine) mustRelease(now time.Time) bool {
	switch m.phase {
	case leased:
		return m.stopping || m.seen == present || !now.Before(m.leaseTo)
	case resolving:
		return m.stopping
	case holding:
		// A successor acts with a higher token as soon as the lease is gone, so the running call has to end first.
		return m.stopping && !now.Before(m.grantedTo)
	default:
		return false
	}
}

func (m *Machine) nextIdle(now time.Time) (Call, bool) {
	if m.stopping {
		return Call{}, false
	}
	wait := min(time.Duration(m.rank)*rankWait, maxRankWait)
	switch m.seen {
	case unknown:
		if !now.Before(m.seenAt.Add(wait)) {
			return m.send(now, Read)
		}
	case absent:
		if !now.Before(m.seenAt.Add(wait)) {
			return m.send(now, Grant)
		}
	case present:
		if m.rank < pollingRanks && !now.Before(m.seenAt.Add(pollTTLs*m.terms.TTL)) {
			return m.send(now, Read)
		}
	}
	return Call{}, false
}

func (m *Machine) nextHolding(now time.Time) (Call, bool) {
	t := &m.tenure
	switch {
	case m.stopping:
		return Call{}, false
	case t.renewSentAt.IsZero() || !now.Before(t.renewSentAt.Add(m.terms.TTL/renewDivisor)):
		return m.send(now, Renew)
	case t.readSentAt.IsZero() || !now.Before(t.readSentAt.Add(m.terms.TTL/readDivisor)):
		return m.send(now, Read)
	}
	return Call{}, false
}

func (m *Machine) write(now time.Time) (Call, bool) {
	// Zero means no attempt.
	m.attempt = max(1, m.attempts())
	value, err := encode(Record{
		Holder:  m.self,
		Attempt: m.attempt,
	})
	if err != nil {
		return Call{}, false
	}
	c, ok := m.send(now, Write)
	c.Value = value
	return c, ok
}

func (m *Machine) send(now time.Time, kind Kind) (Call, bool) {
	m.lastNumber++
	m.outstanding = m.lastNumber
	c := Call{
		Kind:   kind,
		SentAt: now,
		number: m.lastNumber,
	}
	switch kind {
	case Grant:
		c.TTL = m.terms.TTL
	case Write, Renew, Revoke:
		c.Lease = m.lease
	case Read:
	}
	if kind == Revoke && m.releaseBy.IsZero() {
		m.releaseBy = now.Add(m.terms.TTL)
	}
	return c, true
}

// Completed records the result of a call.
func (m *Machine) Completed(now time.Time, c Call, r Result) {
	if c.number == 0 || c.number != m.outstanding {
		return
	}
	m.outstanding = 0
	m.tenure.lapse(now, m.lastNumber)
	if r.Err == nil {
		m.ObserveEra(now, r.Entry.Era)
	}
	switch c.Kind {
	case Grant:
		m.granted(now, c, r)
	case Write:
		m.written(now, c, r)
	case Read:
		m.read(now, c, r)
	case Renew:
		m.renewed(now, c, r)
	case Revoke:
		m.revoked(now, r)
	}
}

func (m *Machine) failed(now time.Time) {
	m.notBefore = now.Add(backoff)
}

func (m *Machine) granted(now time.Time, c Call, r Result) {
	if r.Err != nil {
		// A lease that was granted nevertheless has no key and expires.
		m.failed(now)
		return
	}
	m.lease = r.Lease
	ttl := m.terms.TTL
	if r.TTL > 0 {
		ttl = min(ttl, r.TTL)
	}
	m.leaseTo = c.SentAt.Add(ttl - m.terms.Margin)
	m.phase = leased
	if c.number <= m.eraBarrier {
		// The lease may be one of the earlier era.
		m.release()
	}
}

func (m *Machine) written(now time.Time, c Call, r Result) {
	switch {
	case r.Err == nil && r.Entry.Era >= m.era:
		m.begin(now, c.SentAt, r.Entry.Era, r.Entry.Revision)
	case errors.Is(r.Err, waxwingpick.ErrUnavailable):
		m.failed(now)
	case errors.Is(r.Err, waxwingpick.ErrLeaseExpired):
		m.startOver(now)
		m.failed(now)
	default:
		// A conflict is resolved the same way: the read tells who holds the key.
		m.phase = resolving
		m.failed(now)
	}
}

func (m *Machine) read(now time.Time, c Call, r Result) {
	e := r.Entry
	if r.Err != nil || e.Exists() && e.Era < m.era {
		m.failed(now)
		return
	}
	m.learn(now, e)
	own := e.Exists() && m.own(m.record)
	switch m.phase {
	case resolving:
		if own {
			m.begin(now, c.SentAt, e.Era, e.Revision)
		} else {
			// A delayed write finds no lease.
			m.release()
		}
	case holding:
		m.reread(now, c, own)
	case idle:
		// The next poll is counted from this read.
		if m.seen == present {
			m.seenAt = now
		}
	case leased, releasing:
	}
}

// reread handles the read of a holder.
func (m *Machine) reread(now time.Time, c Call, own bool) {
	t := &m.tenure
	if !own {
		m.release()
		return
	}
	if c.number <= t.barrier || t.renewSentAt.IsZero() {
		return
	}
	t.readSentAt = c.SentAt
	t.readTo = c.SentAt.Add(m.terms.TTL - m.terms.Margin)
	if !t.extend(now, m.era) {
		m.release()
	}
}

func (m *Machine) renewed(now time.Time, c Call, r Result) {
	t := &m.tenure
	switch {
	case m.phase != holding:
	case errors.Is(r.Err, waxwingpick.ErrLeaseExpired):
		m.startOver(now)
	case r.Err != nil:
		m.failed(now)
	case c.number > t.barrier:
		t.renewSentAt = c.SentAt
		t.renewedTo = c.SentAt.Add(min(r.TTL, m.terms.TTL) - m.terms.Margin)
		if !t.extend(now, m.era) {
			m.release()
		}
	}
}

func (m *Machine) revoked(now time.Time, r Result) {
	if r.Err != nil {
		m.failed(now)
	}
	// A lease that could not be revoked has expired after the TTL, since nobody renews it.
	if r.Err != nil && !errors.Is(r.Err, waxwingpick.ErrLeaseExpired) && now.Before(m.releaseBy) {
		return
	}
	m.startOver(now)
}

// startOver continues without a lease. The key is read before the next attempt, unless another's is known.
func (m *Machine) startOver(now time.Time) {
	m.phase = idle
	m.tenure = tenure{}
	m.lease = 0
	m.releaseBy = time.Time{}
	if m.seen == present && m.own(m.record) {
		m.seen = unknown
		m.seenAt = now
	}
	m.attempt = 0
}
