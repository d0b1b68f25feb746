package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Conviction is a convicted candidate as processes report it to each other.
type Conviction struct {
	Candidate    Candidate
	LastCrash    time.Time
	FailedTrials int
}

// Merge records a conviction that another process reports. It returns true if the candidate was cleared since, with the
// time, so that the other process has to be notified, and a change if the candidate was not convicted before.
func (b *Blame) Merge(now time.Time, r Conviction) (clearedAt time.Time, refuted bool, changes []Change) {
	completed := b.completed.last(r.Candidate)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, r.Candidate)
	s.completedAt = latest(s.completedAt, completed)
	if !r.LastCrash.After(s.completedAt) {
		return s.completedAt, true, nil
	}
	s.lastCrash = latest(s.lastCrash, r.LastCrash)
	s.failedTrials = max(s.failedTrials, min(max(0, r.FailedTrials), len(trialPauses)-1))
	if !s.convicted {
		s.convicted = true
		changes = append(changes, Change{
			Candidate: r.Candidate,
			Crashes:   s.strikes.crashIDs(),
		})
	}
	return time.Time{}, false, changes
}

// Convictions returns the convicted candidates, latest crash first, at most n.
func (b *Blame) Convictions(n int) []Conviction {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Conviction
	for c, s := range b.states {
		if s.convicted {
			all = append(all, Conviction{
				Candidate:    c,
				LastCrash:    s.lastCrash,
				FailedTrials: s.failedTrials,
			})
		}
	}
	slices.SortFunc(all, func(x, y Conviction) int {
		return cmp.Or(y.LastCrash.Compare(x.LastCrash), cmp.Compare(x.Candidate.sum, y.Candidate.sum))
	})
	return all[:min(n, len(all))]
}

// Counts returns the numbers of suspected and of convicted candidates.
func (b *Blame) Counts(now time.Time) (suspected, convicted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		switch {
		case s.convicted:
			convicted++
		case len(s.strikes) > 0 && now.Sub(s.newest()) <= suspicionTTL:
			suspected++
		}
	}
	return suspected, convicted
}
