package instances

import (
	"slices"
	"time"

	"waxwingpick"
)

const (
	// keptVersions is the number of earlier versions from which changes can be computed.
	keptVersions = 8
	// LeaveHold is how long an instance still counts as leaving after a list no longer shows it as leaving. The platform's
	// replicas lag differently, so that older and newer lists may alternate.
	LeaveHold = 5 * time.Second
)

// version is one state of the list. Its rows are sorted by instance ID.
type version struct {
	sum  uint64
	rows []waxwingpick.Instance
}

// retainedLeave is a leave that the newest list no longer shows.
type retainedLeave struct {
	by    time.Time
	until time.Time
}

// List is a process's copy of the platform's list. It is not safe for concurrent use.
type List struct {
	known    bool
	readAt   time.Time
	current  version
	earlier  []version
	retained map[waxwingpick.InstanceID]retainedLeave
	merged   []waxwingpick.Instance
}

// NewList returns an empty List.
func NewList() *List {
	return &List{
		retained: make(map[waxwingpick.InstanceID]retainedLeave),
	}
}

// Known reports whether a list has been received.
func (l *List) Known() bool {
	return l.known
}

// ReadAt returns a lower bound of the time at which the list was read from the platform. It is zero if there is no list.
func (l *List) ReadAt() time.Time {
	return l.readAt
}

// Aging reports whether to request a younger list from peers more often.
func (l *List) Aging(now time.Time) bool {
	return now.Sub(l.readAt) > AgingAfter
}

// Instances returns the newest list sorted by instance ID. The caller must not modify it.
func (l *List) Instances() []waxwingpick.Instance {
	return l.merged
}

// Read applies a list from the platform that was requested at the given time, and reports whether the list changed.
func (l *List) Read(requestedAt, now time.Time, rows []waxwingpick.Instance) bool {
	if !l.newer(requestedAt) {
		return false
	}
	return l.set(requestedAt, now, newVersion(rows))
}

// Expire drops retained leaves after LeaveHold, and reports whether the list changed.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for id, h := range l.retained {
		if !now.Before(h.until) {
			delete(l.retained, id)
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

// set replaces the current version and reports whether the new one differs.
func (l *List) set(readAt, now time.Time, v version) bool {
	l.readAt = readAt
	if l.known && v.sum == l.current.sum {
		return false
	}
	l.retainLeaves(now, v)
	if l.known {
		l.earlier = append(l.earlier[max(0, len(l.earlier)-keptVersions+1):], l.current)
	}
	l.known = true
	l.current = v
	l.merge()
	return true
}

// retainLeaves records the leaves that the next version no longer shows.
func (l *List) retainLeaves(now time.Time, next version) {
	for _, before := range l.current.rows {
		if !before.Leaving {
			continue
		}
		l.retained[before.ID] = retainedLeave{
			by:    before.LeaveBy,
			until: now.Add(LeaveHold),
		}
	}
	for id := range l.retained {
		before, known := l.current.find(id)
		after, stays := next.find(id)
		// Another address means another process, for which no leave was announced.
		if !stays || after.Leaving || known && before.Control != after.Control {
			delete(l.retained, id)
		}
	}
}

// merge computes the list with the retained leaves.
func (l *List) merge() {
	l.merged = l.current.rows
	if len(l.retained) == 0 {
		return
	}
	l.merged = slices.Clone(l.current.rows)
	for i := range l.merged {
		h, ok := l.retained[l.merged[i].ID]
		if !ok {
			continue
		}
		l.merged[i].Leaving = true
		l.merged[i].LeaveBy = h.by
	}
}
