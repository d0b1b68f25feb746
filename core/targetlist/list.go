package targetlist

import (
	"cmp"
	"slices"
	"time"

	"waxwingpick"
)

// ReturnGrace is how long a removal that came with an outage is held back: entries of live targets are back within about
// two seconds of the service's return, and what is missing after them counts as gone.
const ReturnGrace = 1900 * time.Millisecond

// List is one process's copy of the platform's list; it is not safe for concurrent use.
type List struct {
	rows map[waxwingpick.TargetID]row
	away bool
	// back is when the service answered again after an outage; zero where it never was away.
	back time.Time
}

type row struct {
	target waxwingpick.Target
	// missing is when the entry was seen to be gone; zero where it is there.
	missing time.Time
}

// New returns a list without targets.
func New() *List {
	return &List{
		rows: make(map[waxwingpick.TargetID]row),
	}
}

// Lost notes that the service does not answer.
func (l *List) Lost() {
	l.away = true
}

// Back notes that the service answers.
func (l *List) Back(now time.Time) {
	if l.away {
		l.away = false
		l.back = now
	}
}

// Put takes the newest entry of a target.
func (l *List) Put(t waxwingpick.Target) {
	l.rows[t.ID] = row{
		target: t,
	}
}

// Remove takes that a target's entry is gone.
func (l *List) Remove(now time.Time, id waxwingpick.TargetID) {
	r, ok := l.rows[id]
	if !ok {
		return
	}
	if !l.settling(now) || r.target.Leaving {
		delete(l.rows, id)
		return
	}
	if r.missing.IsZero() {
		r.missing = now
		l.rows[id] = r
	}
}

// Replace takes the whole list as it was read.
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

// Expire drops the targets whose entries did not come back and reports whether there were any.
func (l *List) Expire(now time.Time) bool {
	if l.settling(now) {
		return false
	}
	dropped := false
	for id, r := range l.rows {
		if !r.missing.IsZero() {
			delete(l.rows, id)
			dropped = true
		}
	}
	return dropped
}

// settling reports whether entries may be missing whose targets live.
func (l *List) settling(now time.Time) bool {
	return l.away || !l.back.IsZero() && now.Sub(l.back) < ReturnGrace
}

// Targets returns all targets in the order of their IDs.
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
