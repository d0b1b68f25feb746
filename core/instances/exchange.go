package instances

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// Errors for changes that are not applied.
var (
	// ErrMismatch is returned if changes from another process do not result in the announced list.
	ErrMismatch = eris.New("changes do not result in the announced list")
	// ErrOutdated is returned if the list changed between the request and the response. It matches ErrMismatch.
	ErrOutdated = fmt.Errorf("list changed since the request: %w", ErrMismatch)
)

// Status returns the hash and the age of the list for other processes.
func (l *List) Status(now time.Time) waxwingpick.ListStatus {
	if !l.known {
		return waxwingpick.ListStatus{
			Unknown: true,
		}
	}
	return waxwingpick.ListStatus{
		Sum:       l.current.sum,
		AgeMillis: ageMillis(now.Sub(l.readAt)),
	}
}

// ageMillis rounds up, so that forwarding a list through several processes never reduces its age.
func ageMillis(age time.Duration) int64 {
	return int64((max(age, 0) + time.Millisecond - 1) / time.Millisecond)
}

// Newer reports whether another process has a different and younger list, according to the status that it has just sent.
func (l *List) Newer(now time.Time, other waxwingpick.ListStatus) bool {
	return !other.Unknown && (!l.known || other.Sum != l.current.sum) && l.newer(readAt(now, other))
}

// Changes returns the changes from the list of another process to this one. It returns false if this list is not
// younger.
func (l *List) Changes(now time.Time, other waxwingpick.ListStatus) (c waxwingpick.ListChanges, ok bool) {
	if !l.known || !other.Unknown && (other.Sum == l.current.sum || l.Status(now).AgeMillis >= other.AgeMillis) {
		return waxwingpick.ListChanges{}, false
	}
	if base, held := l.at(other); held {
		c.Base = other.Sum
		c.Rows, c.Removed = base.changesTo(l.current)
		return c, true
	}
	c.Complete = true
	c.Rows = l.current.rows
	return c, true
}

func (l *List) at(other waxwingpick.ListStatus) (version, bool) {
	if other.Unknown {
		return version{}, false
	}
	for _, v := range l.earlier {
		if v.sum == other.Sum {
			return v, true
		}
	}
	return version{}, false
}

// Apply applies the status and the changes, nil for none, in the response of another process to a request that was sent
// at the given time. It reports whether the list changed.
func (l *List) Apply(requestedAt, now time.Time, other waxwingpick.ListStatus, c *waxwingpick.ListChanges) (bool, error) {
	at := readAt(requestedAt, other)
	if other.Unknown || !l.newer(at) {
		return false, nil
	}
	if l.known && other.Sum == l.current.sum {
		l.readAt = at
		return false, nil
	}
	if c == nil {
		return false, nil
	}
	next, err := l.changed(other.Sum, *c)
	if err != nil {
		return false, err
	}
	return l.set(at, now, next), nil
}

// changed returns the list with the changes applied. It fails if the result does not have the given hash.
func (l *List) changed(sum uint64, c waxwingpick.ListChanges) (version, error) {
	base := l.current
	if c.Complete {
		base = version{}
	} else if !l.known || c.Base != base.sum {
		return version{}, fmt.Errorf("changes of list %x: %w", c.Base, ErrOutdated)
	}
	next := base.apply(c.Rows, c.Removed)
	if next.sum != sum {
		return version{}, fmt.Errorf("changes to list %x lead to %x: %w", sum, next.sum, ErrMismatch)
	}
	return next, nil
}

// readAt returns a lower bound of the time at which another process's list was read from the platform, given a time
// before that process sent its status.
func readAt(requestedAt time.Time, other waxwingpick.ListStatus) time.Time {
	return requestedAt.Add(-time.Duration(other.AgeMillis) * time.Millisecond)
}
