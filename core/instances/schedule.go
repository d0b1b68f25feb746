package instances

import (
	"math/rand/v2"
	"time"

	"waxwingpick"
)

const (
	// zonePeriod is the mean time between two reads of the list by all readers of an availability zone together.
	zonePeriod = time.Second
	// rowsPerReader is the length of the list for each entry of the zone up to which the entries alone read it; beyond it
	// all processes of the zone do. It is also the number of rows that a process reads in zonePeriod at most.
	rowsPerReader = 50
	// StaleAfter is the least age at which a process that hears of no younger list reads it itself.
	StaleAfter = 4 * time.Second
	// MaxStaleAfter bounds the age that it waits for.
	MaxStaleAfter = 8 * time.Second
	// AgingAfter is the age from which a process asks its peers more often.
	AgingAfter = 2 * time.Second
	// retryDelay is the first delay after a failed read; it doubles up to MaxRetryDelay.
	retryDelay = 500 * time.Millisecond
	// MaxRetryDelay bounds the mean delay after a failed read.
	MaxRetryDelay = 10 * time.Second
	maxDoublings  = 5
	// warmUpDelay is the mean time from an entry's first read to its second; it doubles up to the entry's share of the
	// zone's reads, as the first list may not hold those that started with it yet.
	warmUpDelay = 250 * time.Millisecond
)

// Schedule decides when a process reads the platform's list. It is not safe for concurrent use.
type Schedule struct {
	self   waxwingpick.Instance
	random *rand.Rand
	alone  bool

	turn time.Time
	// taking says that the process reads in turn.
	taking   bool
	stale    time.Duration
	notUntil time.Time
	failures int
	// reads counts the reads that succeeded, up to maxDoublings.
	reads int
}

// NewSchedule returns the schedule of the process on an instance, which reads at once.
func NewSchedule(self waxwingpick.Instance, random *rand.Rand) *Schedule {
	return &Schedule{
		self:   self,
		random: random,
		taking: self.Kind == waxwingpick.KindEntry,
	}
}

// ReadAlone makes the process read in zonePeriod, as it hears of no list from others.
func (s *Schedule) ReadAlone() {
	s.alone = true
}

// Next returns when the list is to be read, as far as the list held tells; it is due when that has come.
func (s *Schedule) Next(l *List) time.Time {
	next := s.notUntil
	if l.Known() {
		s.join(l)
		next = later(next, s.due(l))
	}
	return next
}

// Succeeded notes a read at the given time.
func (s *Schedule) Succeeded(now time.Time, l *List) {
	s.failures = 0
	s.notUntil = now
	s.plan(now, l)
	s.reads = min(s.reads+1, maxDoublings)
}

// Failed notes a read that failed at the given time.
func (s *Schedule) Failed(now time.Time, l *List) {
	s.notUntil = now.Add(s.jitter(min(retryDelay<<min(s.failures, maxDoublings), MaxRetryDelay)))
	s.failures++
	s.plan(now, l)
}

// due returns when the list is read for its age, or as it is this entry's turn.
func (s *Schedule) due(l *List) time.Time {
	if s.alone {
		return s.turn
	}
	due := l.ReadAt().Add(max(s.stale, StaleAfter))
	if s.taking && s.turn.Before(due) {
		return s.turn
	}
	return due
}

// join draws a turn for a process that has to read now that the list is long, as many join at once.
func (s *Schedule) join(l *List) {
	taking := s.self.Kind == waxwingpick.KindEntry || s.long(l)
	if taking && !s.taking {
		s.turn = l.ReadAt().Add(s.jitter(s.share(l)))
	}
	s.taking = taking
}

// plan draws the times of the next read. The readers of a zone need not know each other's: together they read once in
// zonePeriod, each the more seldom the more there are.
func (s *Schedule) plan(now time.Time, l *List) {
	s.stale = StaleAfter + time.Duration(s.random.Int64N(int64(MaxStaleAfter-StaleAfter)))
	share := zonePeriod
	if !s.alone {
		share = s.share(l)
	}
	if s.self.Kind == waxwingpick.KindEntry && s.reads < maxDoublings {
		share = min(share, warmUpDelay<<s.reads)
	}
	s.turn = now.Add(s.jitter(share))
}

// share returns the mean time between two reads by one of the zone's readers.
func (s *Schedule) share(l *List) time.Duration {
	readers := max(1, s.count(l, waxwingpick.KindEntry))
	if !s.long(l) {
		return zonePeriod * time.Duration(readers)
	}
	readers += s.count(l, waxwingpick.KindTarget)
	return zonePeriod * time.Duration(max(readers, len(l.Instances())/rowsPerReader))
}

// long reports whether the list is too long for the zone's entries alone.
func (s *Schedule) long(l *List) bool {
	return len(l.Instances()) > rowsPerReader*max(1, s.count(l, waxwingpick.KindEntry))
}

// count returns the number of instances of a kind in the own availability zone, this one included where it is one.
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

// jitter returns a random duration between half of d and d and a half.
func (s *Schedule) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random.Int64N(int64(d)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
