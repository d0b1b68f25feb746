package limitfleet

import (
	"fmt"
	"time"
)

const (
	// Window is the span in which requests are counted.
	Window = 4 * time.Second
	// Contact is the time after a limit was first stated from which it has to be held.
	Contact = 3 * time.Second
	// Grace is the time after which a process that has received a limit counts.
	Grace = 500 * time.Millisecond
	// Tolerance is the factor of what a limit allows in a window.
	Tolerance = 1.5
	// Slack is the number of requests in a window beyond Tolerance.
	Slack = 5
)

// Received returns the largest number of requests that a target received in a window from processes that knew its limit.
func (f *Fleet) Received(i int) float64 { return f.Worst(i, 0) }

// Worst returns the largest number of requests that a target received in a window beyond the given multiple of its limit,
// from processes that knew the limit. It is negative if every window held fewer.
func (f *Fleet) Worst(i int, multiple float64) float64 {
	t := f.targets[i]
	worst := -multiple * Window.Seconds()
	for n, s := range t.periods {
		end := s.to
		if end.IsZero() {
			end = f.now
		}
		begin := s.from.Add(Contact)
		highest := s.perSecond
		// After a change, the windows that reach back before it may hold what the former limit allowed.
		if n > 0 && t.periods[n-1].to.Equal(s.from) {
			highest = max(highest, t.periods[n-1].perSecond)
			begin = s.from.Add(Grace)
		}
		var counted []time.Time
		for _, a := range t.arrivals {
			if !f.counts(a) || a.at.Before(s.from) || a.at.After(end) {
				continue
			}
			counted = append(counted, a.at)
			for counted[0].Before(a.at.Add(-Window)) {
				counted = counted[1:]
			}
			if !a.at.Before(begin) {
				worst = max(worst, float64(len(counted))-multiple*highest*Window.Seconds())
			}
		}
	}
	return worst
}

// counts reports whether the sender of a request knew the limit and was not disturbed.
func (f *Fleet) counts(a arrival) bool {
	switch {
	case a.learnedAt.IsZero() || a.at.Sub(a.learnedAt) < Grace:
		return false
	case a.from.started != a.started || !a.from.alive():
		return false
	case a.from.excused.After(a.learnedAt):
		return false
	}
	return true
}

// Check returns an error if a target received more requests in a window than its limit allows.
func (f *Fleet) Check() error {
	for i := range f.targets {
		if beyond := f.Worst(i, Tolerance); beyond > Slack {
			return fmt.Errorf("target %d got %.1f requests beyond %v times its limit in %v, %d allowed (%d processes)",
				i, beyond, Tolerance, Window, Slack, len(f.processes))
		}
	}
	return nil
}

// Used returns the part of a target's limits that was sent to it. It counts from the given time after the target first
// stated a limit.
func (f *Fleet) Used(i int, after time.Duration) float64 {
	t := f.targets[i]
	used, allowed := 0.0, 0.0
	for n, s := range t.periods {
		from, end := s.from, s.to
		if n == 0 || !t.periods[n-1].to.Equal(s.from) {
			from = from.Add(after)
		}
		if end.IsZero() {
			end = f.now
		}
		if !end.After(from) {
			continue
		}
		allowed += s.perSecond * end.Sub(from).Seconds()
		for _, a := range t.arrivals {
			if a.at.After(from) && !a.at.After(end) {
				used++
			}
		}
	}
	return used / max(1, allowed)
}
