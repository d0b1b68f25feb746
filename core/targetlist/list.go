package targetlist

import (
	"cmp"
	"slices"
	"time"

	"waxwingpick"
)

// RemovalGrace is the delay of removals that coincide with an outage. Entries of live targets reappear within about two
// seconds of the service's return. After that, a missing entry means a removed target.
const RemovalGrace = 1900 * time.Millisecond

// List is one process's copy of the platform's list. It is not safe for concurrent use.
type List struct {
	rows        map[waxwingpick.TargetID]row
	unavailable bool
	// availableSince is when the service last returned from an outage; zero if it has been available all the time.
	availableSince time.Time
}

type row struct {
	target waxwingpick.Target
	// missingSince is when the entry was found to be missing; zero if it is present.
	missingSince time.Time
}

// New returns an empty list.
func New() *List {
	return &List{
		rows: make(map[waxwingpick.TargetID]row),
	}
}

// MarkUnavailable records that the service does not respond.
func (l *List) MarkUnavailable() {
	l.unavailable = true
}

// MarkAvailable records that the service responds.
func (l *List) MarkAvailable(now time.Time) {
	if l.unavailable {
		l.unavailable = false
		l.availableSince = now
	}
}

// Put adds or replaces the entry of a target.
func (l *List) Put(t waxwingpick.Target) {
	l.rows[t.ID] = row{
		target: t,
	}
}

// Remove records that the entry of a target is missing.
func (l *List) Remove(now time.Time, id waxwingpick.TargetID) {
	r, ok := l.rows[id]
	if !ok {
		return
	}
	if !l.inGracePeriod(now) || r.target.Leaving {
		delete(l.rows, id)
		return
	}
	if r.missingSince.IsZero() {
		r.missingSince = now
		l.rows[id] = r
	}
}

// Replace applies a complete reading of the list.
func (l *List) Replace(now time.Time, targets []waxwingpick.Target) {
	named := waxwingpick.NewSet[waxwingpick.TargetID]()
	for _, t := range targets {
		named.Add(t.ID)
		l.Put(t)
	}
	for id := range l.rows {
		if !named.Has(id) {
			l.Remove(now, id)
		}
	}
}

// Expire removes the targets whose entries are still missing after the grace period and reports whether there were any.
func (l *List) Expire(now time.Time) bool {
	if l.inGracePeriod(now) {
		return false
	}
	dropped := false
	for id, r := range l.rows {
		if !r.missingSince.IsZero() {
			delete(l.rows, id)
			dropped = true
		}
	}
	return dropped
}

// inGracePeriod reports whether entries of live targets may be missing.
func (l *List) inGracePeriod(now time.Time) bool {
	return l.unavailable || !l.availableSince.IsZero() && now.Sub(l.availableSince) < RemovalGrace
}

// Targets returns all targets, sorted by ID.
func (l *List) Targets() []waxwingpick.Target {
	targets := make([]waxwingpick.Target, 0, len(l.rows))
	for _, r := range l.rows {
		targets = append(targets, r.target)
	}
	slices.SortFunc(targets, func(a, b waxwingpick.Target) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return targets
}
