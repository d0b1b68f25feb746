package instances

import (
	"slices"
	"time"

	"waxwingpick"
)

const (
	// keptVersions is the number of earlier versions that changes are told against.
	keptVersions = 8
	// LeaveHold is how long an instance that was listed as leaving still counts as leaving after a list says otherwise,
	// since lists that lag differently may alternate.
	LeaveHold = 5 * time.Second
)

// version is one state of the list, in the order of the instances' IDs.
type version struct {
	sum  uint64
	rows []waxwingpick.Instance
}

// heldLeave is a leave that a newer list does not show any more.
type heldLeave struct {
	by    time.Time
	until time.Time
}

// List is a process's copy of the platform's list. It is not safe for concurrent use.
type List struct {
	known   bool
	readAt  time.Time
	current version
	earlier []version
	held    map[waxwingpick.InstanceID]heldLeave
	merged  []waxwingpick.Instance
}

// NewList returns a list of which nothing is known yet.
func NewList() *List {
	return &List{
		held: make(map[waxwingpick.InstanceID]heldLeave),
	}
}

// Known reports whether any list was taken.
func (l *List) Known() bool {
	return l.known
}

// ReadAt returns a time at or before which the platform was asked for the list; zero where none is known.
func (l *List) ReadAt() time.Time {
	return l.readAt
}

// Aging reports whether peers are to be asked more often for a younger list.
func (l *List) Aging(now time.Time) bool {
	return now.Sub(l.readAt) > AgingAfter
}

// Instances returns the newest known list in the order of the instances' IDs; it must not be changed.
func (l *List) Instances() []waxwingpick.Instance {
	return l.merged
}

// Read takes a list that the platform was asked for at the given time, and reports whether it changed anything.
func (l *List) Read(asked, now time.Time, rows []waxwingpick.Instance) bool {
	if !l.newer(asked) {
		return false
	}
	return l.set(asked, now, newVersion(rows))
}

// Expire ends the leaves that were held long enough, and reports whether that changed anything.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for id, h := range l.held {
		if !now.Before(h.until) {
			delete(l.held, id)
			changed = true
		}
	}
	if changed {
		l.merge()
	}
	return changed
}

func (l *List) newer(readAt time.Time) bool {
	return !l.known || readAt.After(l.readAt)
}

// set makes a version the current one and reports whether it differs from the former.
func (l *List) set(readAt, now time.Time, v version) bool {
	l.readAt = readAt
	if l.known && v.sum == l.current.sum {
		return false
	}
	l.holdLeaves(now, v)
	if l.known {
		l.earlier = append(l.earlier[max(0, len(l.earlier)-keptVersions+1):], l.current)
	}
	l.known = true
	l.current = v
	l.merge()
	return true
}

// holdLeaves notes the leaves that a version does not show any more.
func (l *List) holdLeaves(now time.Time, next version) {
	for _, before := range l.current.rows {
		if !before.Leaving {
			continue
		}
		l.held[before.ID] = heldLeave{
			by:    before.LeaveBy,
			until: now.Add(LeaveHold),
		}
	}
	for id := range l.held {
		before, known := l.current.find(id)
		after, stays := next.find(id)
		// Another address means another process, which nobody announced.
		if !stays || after.Leaving || known && before.Control != after.Control {
			delete(l.held, id)
		}
	}
}

// merge computes the list with the held leaves.
func (l *List) merge() {
	l.merged = l.current.rows
	if len(l.held) == 0 {
		return
	}
	l.merged = slices.Clone(l.current.rows)
	for i := range l.merged {
		h, ok := l.held[l.merged[i].ID]
		if !ok {
			continue
		}
		l.merged[i].Leaving = true
		l.merged[i].LeaveBy = h.by
	}
}
