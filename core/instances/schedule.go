package instances

import (
	"math/rand/v2"
	"time"

	"waxwingpick"
)

const (
	// zonePeriod is the mean time between two reads of the list by any reader in an availability zone.
	zonePeriod = time.Second
	// rowsPerReader is the maximum number of rows per entry in the zone for which only the entries read the list. All
	// processes in the zone read a longer list. It is also the maximum mean number of rows that a process reads per
	// zonePeriod.
	rowsPerReader = 50
	// StaleAfter is the minimum age at which a process that receives no younger list reads the platform itself.
	StaleAfter = 4 * time.Second
	// MaxStaleAfter is the maximum age at which it does so.
	MaxStaleAfter = 8 * time.Second
	// AgingAfter is the age from which a process polls its peers more often.
	AgingAfter = 2 * time.Second
	// retryDelay is the mean delay after the first failed read. It doubles with each failure up to MaxRetryDelay.
	retryDelay = 500 * time.Millisecond
	// MaxRetryDelay is the maximum mean delay after a failed read.
	MaxRetryDelay = 10 * time.Second
	maxDoublings  = 5
	// warmUpDelay is the mean time between an entry's first and second read. It doubles up to the entry's share of the
	// zone's reads. The early reads are needed because the first list may lack processes that started at the same time.
	warmUpDelay = 250 * time.Millisecond
)

// Schedule determines when a process reads the platform's list. It is not safe for concurrent use.
type Schedule struct {
	self       waxwingpick.Instance
	random     *rand.Rand
	standalone bool

	regularAt time.Time
	// sharing is set if the process takes part in the zone's regular reads.
	sharing    bool
	staleAfter time.Duration
	earliest   time.Time
	failures   int
	// reads counts the successful reads, up to maxDoublings.
	reads int
}

// NewSchedule returns the schedule of the process on an instance. The first read is due immediately.
func NewSchedule(self waxwingpick.Instance, random *rand.Rand) *Schedule {
	return &Schedule{
		self:    self,
		random:  random,
		sharing: self.Kind == waxwingpick.KindEntry,
	}
}

// SetStandalone makes the process read every zonePeriod, because it receives no lists from other processes.
func (s *Schedule) SetStandalone() {
	s.standalone = true
}

// Next returns the time at which the next read is due, given the current list.
func (s *Schedule) Next(l *List) time.Time {
	next := s.earliest
	if l.Known() {
		s.join(l)
		next = later(next, s.due(l))
	}
	return next
}

// Succeeded records a successful read.
func (s *Schedule) Succeeded(now time.Time, l *List) {
	s.failures = 0
	s.earliest = now
	s.plan(now, l)
	s.reads = min(s.reads+1, maxDoublings)
}

// Failed records a failed read.
func (s *Schedule) Failed(now time.Time, l *List) {
	s.earliest = now.Add(s.jitter(min(retryDelay<<min(s.failures, maxDoublings), MaxRetryDelay)))
	s.failures++
	s.plan(now, l)
}

// due returns the time of the next read, caused by the age of the list or by the zone's regular reads.
func (s *Schedule) due(l *List) time.Time {
	if s.standalone {
		return s.regularAt
	}
	due := l.ReadAt().Add(max(s.staleAfter, StaleAfter))
	if s.sharing && s.regularAt.Before(due) {
		return s.regularAt
	}
	return due
}

// join schedules the first regular read of a process that starts to take part because the list has become long. The
// time is random, because many processes start at once.
func (s *Schedule) join(l *List) {
	sharing := s.self.Kind == waxwingpick.KindEntry || s.long(l)
	if sharing && !s.sharing {
		s.regularAt = l.ReadAt().Add(s.jitter(s.readPeriod(l)))
	}
	s.sharing = sharing
}

// plan chooses random times for the next read. The readers of a zone do not coordinate: each one's mean period is
// proportional to the number of readers, so that together they read once per zonePeriod.
func (s *Schedule) plan(now time.Time, l *List) {
	s.staleAfter = StaleAfter + time.Duration(s.random.Int64N(int64(MaxStaleAfter-StaleAfter)))
	readPeriod := zonePeriod
	if !s.standalone {
		readPeriod = s.readPeriod(l)
	}
	if s.self.Kind == waxwingpick.KindEntry && s.reads < maxDoublings {
		readPeriod = min(readPeriod, warmUpDelay<<s.reads)
	}
	s.regularAt = now.Add(s.jitter(readPeriod))
}

// readPeriod returns the mean time between two reads by one reader of the zone.
func (s *Schedule) readPeriod(l *List) time.Duration {
	readers := max(1, s.count(l, waxwingpick.KindEntry))
	if !s.long(l) {
		return zonePeriod * time.Duration(readers)
	}
	readers += s.count(l, waxwingpick.KindTarget)
	return zonePeriod * time.Duration(max(readers, len(l.Instances())/rowsPerReader))
}

// long reports whether the list is too long to be read by the zone's entries only.
func (s *Schedule) long(l *List) bool {
	return len(l.Instances()) > rowsPerReader*max(1, s.count(l, waxwingpick.KindEntry))
}

// count returns the number of instances of a kind in this process's availability zone, including its own instance if
// that is of the kind.
func (s *Schedule) count(l *List, kind waxwingpick.InstanceKind) int {
	n := 0
	if s.self.Kind == kind {
		n++
	}
	for _, i := range l.Instances() {
		if i.Kind == kind && i.Zone == s.self.Zone && i.ID != s.self.ID && !i.Leaving {
			n++
		}
	}
	return n
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (s *Schedule) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random.Int64N(int64(d)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
