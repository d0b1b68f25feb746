package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// clearedTTL is the time for which a cleared candidate is remembered, so that older reports do not convict it again.
	clearedTTL = 10 * time.Minute
	// maxCandidates bounds the candidates with strikes, convicted and cleared ones.
	maxCandidates = 4096
)

// state is what is known of one candidate.
type state struct {
	strikes strikes
	// completedAt is when a response with the candidate was last known to be complete.
	completedAt time.Time
	// completes means that responses with the candidate were complete, possibly long ago.
	completes bool
	convicted bool
	// lastCrash is the latest crash of a convicted candidate, trial and trialAt its running trial.
	lastCrash    time.Time
	trial        uint64
	trialAt      time.Time
	failedTrials int
}

// strike adds a strike.
func (s *state) strike(now time.Time, added Strike) {
	if !s.convicted {
		s.strikes = slices.DeleteFunc(s.strikes, func(one Strike) bool { return now.Sub(one.LostAt) > suspicionTTL })
	}
	s.strikes = s.strikes.with(added)
	s.lastCrash = latest(s.lastCrash, added.LostAt)
	if s.convicted && !s.trialAt.IsZero() && !added.SentAt.Before(s.trialAt) {
		s.failedTrials = min(s.failedTrials+1, len(trialPauses)-1)
		s.trialAt = time.Time{}
		s.trial = 0
	}
}

// clear discards the strikes of requests that were sent before a complete response. It reports whether that changes
// anything, and whether the candidate was convicted and is not any longer.
func (s *state) clear(at time.Time) (changed, convicted bool) {
	if !at.After(s.completedAt) {
		return false, false
	}
	s.completedAt = at
	s.completes = true
	before := len(s.strikes)
	s.strikes = s.strikes.since(at)
	if !s.convicted || s.lastCrash.After(at) {
		return before > len(s.strikes), false
	}
	s.convicted = false
	s.failedTrials = 0
	s.trialAt = time.Time{}
	return true, true
}

// state returns the state of a candidate, and creates it if there is none.
func (b *Blame) state(now time.Time, c Candidate) *state {
	s, ok := b.states[c]
	if !ok {
		if len(b.states) >= maxCandidates {
			b.evict(now)
		}
		s = &state{}
		b.states[c] = s
	}
	return s
}

// evict removes the candidates that have expired, or else a quarter of all, convicted ones last.
func (b *Blame) evict(now time.Time) {
	order := make([]Candidate, 0, len(b.states))
	for c, s := range b.states {
		if s.expired(now) {
			delete(b.states, c)
			continue
		}
		order = append(order, c)
	}
	if len(b.states) < maxCandidates {
		return
	}
	slices.SortFunc(order, func(x, y Candidate) int {
		a, b := b.states[x], b.states[y]
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.newest().Compare(b.newest()), cmp.Compare(x.sum, y.sum))
	})
	for _, c := range order[:len(order)/4] {
		delete(b.states, c)
	}
}

// rank orders candidates by how much is lost if they are removed.
func (s *state) rank() int {
	switch {
	case s.convicted:
		return 2
	case len(s.strikes) > 0:
		return 1
	}
	return 0
}

// newest returns the time of the latest knowledge.
func (s *state) newest() time.Time {
	at := latest(s.completedAt, s.lastCrash)
	if n := len(s.strikes); n > 0 {
		at = latest(at, s.strikes[n-1].LostAt)
	}
	return at
}

func (s *state) expired(now time.Time) bool {
	return !s.convicted && now.Sub(s.newest()) > clearedTTL
}
