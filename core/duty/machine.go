package duty

import (
	"math/rand/v2"
	"time"

	"waxwingpick"
)

const (
	// backoff is the pause after a failed call.
	backoff = 300 * time.Millisecond
	// rankWait is the additional wait of each rank before it tries to acquire an absent key, maxRankWait its limit.
	rankWait    = 300 * time.Millisecond
	maxRankWait = 2 * time.Second
	// renewDivisor and readDivisor divide the TTL into the intervals at which a holder renews its lease and reads its
	// key. Each leaves room for one failed call.
	renewDivisor = 4
	readDivisor  = 2
	// pollingRanks is the number of processes that read the key although another holds it, since watch events may be
	// missed. It is a constant so that the reads don't grow with the fleet.
	pollingRanks = 2
	// pollTTLs is the interval of these reads in TTLs.
	pollTTLs = 2
)

// Terms are the durations that apply to a duty.
type Terms struct {
	// TTL is the duration of the lease.
	TTL time.Duration
	// Quiet is the time within which holders must not act in the order A, B, A.
	Quiet time.Duration
	// Margin is the time before the end of the lease at which the right to act ends.
	Margin time.Duration
}

type phase uint8

const (
	// idle: no lease.
	idle phase = iota
	// leased: the lease exists and the key was not written.
	leased
	// resolving: the key may have been written, and has to be read.
	resolving
	// holding: the key was written under the lease.
	holding
	// releasing: the lease has to be revoked.
	releasing
)

// view is what is known about the key.
type view uint8

const (
	unknown view = iota
	absent
	present
)

// Machine is the state machine of one process for one duty. It is not safe for concurrent use.
type Machine struct {
	self      waxwingpick.InstanceID
	terms     Terms
	startedAt time.Time
	attempts  func() uint64
	rank      int

	phase    phase
	stopping bool
	// outstanding is the number of the call without a result; zero if there is none.
	outstanding uint64
	lastNumber  uint64
	notBefore   time.Time

	era int64
	// eraAt is when the era became known; zero for era 0.
	eraAt time.Time
	// eraBarrier is the number of the last call that was sent before.
	eraBarrier uint64

	seen   view
	seenAt time.Time
	// watchedAbsent means that the latest observation by watch was an absent key.
	watchedAbsent bool
	record        Record
	highest       int64

	lease   waxwingpick.LeaseID
	leaseTo time.Time
	// releaseBy is when the lease that is being revoked has expired at the latest; zero before the first attempt.
	releaseBy time.Time
	attempt   uint64
	tenure    tenure

	acted     bool
	callEnd   time.Time
	grantedTo time.Time
}

// Option configures a Machine.
type Option func(*Machine)

// WithAttempts sets the source of the random numbers that identify writes.
func WithAttempts(next func() uint64) Option {
	return func(m *Machine) {
		m.attempts = next
	}
}

// New returns the machine of a process that started at the given time.
func New(self waxwingpick.InstanceID, terms Terms, startedAt time.Time, options ...Option) *Machine {
	m := &Machine{
		self:      self,
		terms:     terms,
		startedAt: startedAt,
		attempts:  rand.Uint64,
		seenAt:    startedAt,
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// SetRank sets the position of this process among the live processes, 0 first.
func (m *Machine) SetRank(rank int) {
	m.rank = max(0, rank)
}

// Observe records the key as watched, which may be out of date.
func (m *Machine) Observe(now time.Time, e waxwingpick.Entry) {
	m.ObserveEra(now, e.Era)
	repeated := m.watchedAbsent && !e.Exists()
	m.watchedAbsent = !e.Exists()
	if m.phase != holding {
		if !e.Exists() || e.Era >= m.era {
			m.learn(now, e)
		}
		return
	}
	r := decode(e.Value)
	switch {
	case !e.Exists():
		// The event may be older than the own write, so the key is read before the duty is given up. An absent key that
		// was watched before the write is no news.
		if !repeated {
			m.tenure.unconfirm(m.lastNumber)
		}
	case m.own(r) || TokenOf(e.Era, e.Revision) < m.tenure.token:
	default:
		m.learn(now, e)
		m.release()
	}
}

// ObserveEra records the era of the service as watched.
func (m *Machine) ObserveEra(now time.Time, era int64) {
	if era <= m.era {
		return
	}
	m.era = era
	m.eraAt = now
	m.eraBarrier = m.lastNumber
	m.tenure.unconfirm(m.lastNumber)
	// A lease of an earlier era may be gone or end earlier.
	m.leaseTo = time.Time{}
}

// learn records the state of the key.
func (m *Machine) learn(now time.Time, e waxwingpick.Entry) {
	if !e.Exists() {
		if m.seen != absent {
			m.seenAt = now
		}
		m.seen = absent
		m.record = Record{}
		return
	}
	r := decode(e.Value)
	if m.seen != present || r != m.record {
		m.seenAt = now
	}
	m.seen = present
	m.record = r
	if !m.own(r) {
		m.highest = max(m.highest, TokenOf(e.Era, e.Revision))
	}
}

// own reports whether the record is that of the latest write of this process.
func (m *Machine) own(r Record) bool {
	return m.attempt != 0 && r.Holder == m.self && r.Attempt == m.attempt
}

// release gives up the duty and the lease.
func (m *Machine) release() {
	m.phase = releasing
	m.tenure = tenure{}
}

// Stop ends the duty: the machine releases it once and acquires no other.
func (m *Machine) Stop(time.Time) {
	m.stopping = true
}

// Stopped reports whether the machine was stopped and has released the duty.
func (m *Machine) Stopped() bool {
	return m.stopping && m.phase == idle && m.outstanding == 0
}

// Holder returns the holder as far as known.
func (m *Machine) Holder() (Record, bool) {
	return m.record, m.seen == present
}

// Holds reports whether the process holds the key as far as known, with or without the right to act now.
func (m *Machine) Holds() bool {
	return m.phase == holding
}

// HeldToken returns the token of the held duty, with or without the right to act now; zero if the process does not hold it.
func (m *Machine) HeldToken() int64 {
	return m.tenure.token
}

// Fenced gives the duty up, since a higher token was used.
func (m *Machine) Fenced(time.Time) {
	if m.phase == holding {
		m.release()
	}
}

// Era returns the latest known era of the service.
func (m *Machine) Era() int64 {
	return m.era
}
