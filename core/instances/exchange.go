package instances

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// Errors of changes that are not taken.
var (
	// ErrMismatch says that changes of another process do not lead to the list that they were made for.
	ErrMismatch = eris.New("changes do not fit the list")
	// ErrOutdated says that the list changed between the question and the answer; it matches ErrMismatch.
	ErrOutdated = fmt.Errorf("another list is held by now: %w", ErrMismatch)
)

// Status tells other processes which list is held and how old it is.
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

// ageMillis rounds up, so that an age never shrinks on its way through several processes.
func ageMillis(age time.Duration) int64 {
	return int64((max(age, 0) + time.Millisecond - 1) / time.Millisecond)
}

// Newer reports whether another process that told its status just now holds another list that is younger.
func (l *List) Newer(now time.Time, other waxwingpick.ListStatus) bool {
	return !other.Unknown && (!l.known || other.Sum != l.current.sum) && l.newer(readAt(now, other))
}

// Changes returns what turns the list of another process into the own one; ok is false where the own one is not younger.
func (l *List) Changes(now time.Time, other waxwingpick.ListStatus) (c waxwingpick.ListChanges, ok bool) {
	if !l.known || !other.Unknown && (other.Sum == l.current.sum || l.Status(now).AgeMillis >= other.AgeMillis) {
		return waxwingpick.ListChanges{}, false
	}
	if base, held := l.at(other); held {
		c.Base = other.Sum
		c.Rows, c.Removed = base.changesTo(l.current)
		return c, true
	}
	c.Whole = true
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

// Take takes the status and the changes, nil for none, that another process answered to a question of the given time,
// and reports whether the list changed.
func (l *List) Take(asked, now time.Time, other waxwingpick.ListStatus, c *waxwingpick.ListChanges) (bool, error) {
	at := readAt(asked, other)
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

// changed returns the list with the changes, where they lead to the sum.
func (l *List) changed(sum uint64, c waxwingpick.ListChanges) (version, error) {
	base := l.current
	if c.Whole {
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

// readAt returns a time at or before which the list was read that another process told of after the given time.
func readAt(asked time.Time, other waxwingpick.ListStatus) time.Time {
	return asked.Add(-time.Duration(other.AgeMillis) * time.Millisecond)
}
