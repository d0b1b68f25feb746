package suspect

import (
	"math"
	"time"

	"waxwingpick"
)

// trialTimeout is the time after which a trial without a known outcome is over.
const trialTimeout = 30 * time.Second

// trialPauses are the times between the last crash of a convicted candidate and its next trial, by the number of trials
// that failed. They allow three trials in a day.
var trialPauses = [...]time.Duration{2 * time.Minute, 30 * time.Minute, 450 * time.Minute, 24 * time.Hour}

// Decision is whether a request may run.
type Decision struct {
	// Status is StatusSuspect for the trial of a convicted candidate.
	Status Status
	// Candidate is the one for which the request is refused or tried; Trial identifies the trial.
	Candidate Candidate
	Trial     uint64
	// RetryAfter is the time until the next trial of a refused candidate. Crashes are its latest crashes.
	RetryAfter time.Duration
	Crashes    []string
}

// Decide returns whether a request with these candidates may run. A request that runs as a trial passes the number of its
// trial, zero otherwise.
func (b *Blame) Decide(now time.Time, candidates []Candidate, trial uint64) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := Decision{}
	var tried []*state
	for _, c := range candidates {
		s, ok := b.states[c]
		if !ok || !s.convicted || trial != 0 && s.trial == trial {
			continue
		}
		if wait := b.untilTrial(now, c, s); wait > 0 {
			return Decision{
				Status:     StatusRefused,
				Candidate:  c,
				RetryAfter: wait,
				Crashes:    s.strikes.crashIDs(),
			}
		}
		d.Status = StatusSuspect
		d.Candidate = c
		tried = append(tried, s)
	}
	if len(tried) > 0 {
		b.trials++
		d.Trial = b.trials
	}
	for _, s := range tried {
		s.trial = d.Trial
		s.trialAt = now
	}
	return d
}

// untilTrial returns the time until this process may try a convicted candidate.
func (b *Blame) untilTrial(now time.Time, c Candidate, s *state) time.Duration {
	pause := trialPauses[min(s.failedTrials, len(trialPauses)-1)]
	due := s.lastCrash.Add(pause + b.trialDelay(c, pause))
	if running := s.trialAt.Add(trialTimeout); !s.trialAt.IsZero() && running.After(due) {
		due = running
	}
	return due.Sub(now)
}

// trialDelay returns this process's share of a quarter of the pause, so that the trials of several processes are apart.
func (b *Blame) trialDelay(c Candidate, pause time.Duration) time.Duration {
	share := rendezvous(Fingerprint(c.sum), waxwingpick.TargetID(b.owner))
	return time.Duration(float64(pause/4) * (float64(share) / math.MaxUint64))
}

// TrialStarted records that another process tries a convicted candidate.
func (b *Blame) TrialStarted(at time.Time, c Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.states[c]; ok && s.convicted && at.After(s.trialAt) {
		s.trialAt = at
		s.trial = 0
	}
}
