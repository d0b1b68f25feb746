package targetlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"waxwingpick"
)

// RemovalGrace is the delay of removals that coincide with an outage. Entries of live targets reappear within about two
// seconds of the service's return. After that, a missing entry means a removed target.
const RemovalGrace = 1900 * time.Millisecond

const (
	// RestoreHold is how long entries of an older copy of the list are held back if they contradict what is known. Targets
	// that live write their entries again meanwhile, and those of others expire.
	RestoreHold = 6 * time.Second
	// goneTTL is how long removed targets are remembered. It exceeds the age of a copy and the time until it is read.
	goneTTL = time.Minute
	// maxGone bounds the removed targets that are remembered.
	maxGone = 4096
)

// List is one process's copy of the platform's list. It is not safe for concurrent use.
//
// The service may return from an older copy of the list. What is known of an incarnation of a target does not go back then: it
// stays leaving, removed or replaced by a later incarnation until it writes its entry again.
type List struct {
	rows map[waxwingpick.TargetID]row
	// gone holds the targets that were removed lately, held the entries of a copy that are held back.
	gone        map[waxwingpick.TargetID]removal
	held        map[waxwingpick.TargetID]waxwingpick.Target
	restoredAt  time.Time
	unavailable bool
	// availableSince is when the service last returned from an outage; zero if it has been available all the time.
	availableSince time.Time
	// events holds what happened since the last call of TakeEvents.
	events []Event
}

// EventKind is what happened to a target of the list.
type EventKind uint8

// The kinds of events.
const (
	// EventLeaving means that a target reported that it leaves.
	EventLeaving EventKind = iota
	// EventRemoved means that a target was removed.
	EventRemoved
	// EventRemovalDelayed means that an entry is missing, and that its target is removed after the grace period.
	EventRemovalDelayed
	// EventReturned means that a missing entry was written again within the grace period.
	EventReturned
)

// String returns the name used in logs and metrics.
func (k EventKind) String() string {
	switch k {
	case EventLeaving:
		return "leaving"
	case EventRemoved:
		return "removed"
	case EventRemovalDelayed:
		return "removalDelayed"
	default:
		return "returned"
	}
}

// Event is a change of what is known of a target.
type Event struct {
	Kind   EventKind
	Target waxwingpick.Target
	// Missing is how long the entry has been missing.
	Missing time.Duration
}

// maxEvents bounds the events that are kept; a list may be replaced completely.
const maxEvents = 1024

// TakeEvents returns the events since the last call, in order.
func (l *List) TakeEvents() []Event {
	events := l.events
	l.events = nil
	return events
}

func (l *List) record(kind EventKind, t waxwingpick.Target, missing time.Duration) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, Event{
			Kind:    kind,
			Target:  t,
			Missing: missing,
		})
	}
}

type row struct {
	target waxwingpick.Target
	// missingSince is when the entry was found to be missing; zero if it is present.
	missingSince time.Time
}

// removal is a removed target.
type removal struct {
	target waxwingpick.Target
	at     time.Time
}

// New returns an empty list.
func New() *List {
	return &List{
		rows: make(map[waxwingpick.TargetID]row),
		gone: make(map[waxwingpick.TargetID]removal),
		held: make(map[waxwingpick.TargetID]waxwingpick.Target),
	}
}

// MarkRestored records that the service has returned from an older copy of the list, which is read next.
func (l *List) MarkRestored(now time.Time) {
	l.restoredAt = now
}

// restored reports whether entries may be those of an older copy.
func (l *List) restored(now time.Time) bool {
	return !l.restoredAt.IsZero() && now.Sub(l.restoredAt) < RestoreHold
}

// contradicts reports whether an entry of an older copy contradicts what is known of its target.
func (l *List) contradicts(now time.Time, t waxwingpick.Target) bool {
	if known, ok := l.rows[t.ID]; ok {
		start := known.target.StartUnixMillis
		return t.StartUnixMillis < start || t.StartUnixMillis == start && known.target.Leaving && !t.Leaving
	}
	removed, ok := l.gone[t.ID]
	return ok && now.Sub(removed.at) < goneTTL && t.StartUnixMillis <= removed.target.StartUnixMillis
}

// follows reports whether an entry was written after another one of the same target.
func follows(t, earlier waxwingpick.Target) bool {
	if t.StartUnixMillis != earlier.StartUnixMillis {
		return t.StartUnixMillis > earlier.StartUnixMillis
	}
	return t.Sequence > earlier.Sequence
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
	if held, ok := l.held[t.ID]; ok && !follows(t, held) {
		l.held[t.ID] = t
		return
	}
	delete(l.held, t.ID)
	delete(l.gone, t.ID)
	known := l.rows[t.ID]
	l.rows[t.ID] = row{
		target: t,
	}
	if !known.missingSince.IsZero() {
		l.record(EventReturned, t, 0)
	}
	if t.Leaving && !known.target.Leaving {
		l.record(EventLeaving, t, 0)
	}
}

// Remove records that the entry of a target is missing.
func (l *List) Remove(now time.Time, id waxwingpick.TargetID) {
	delete(l.held, id)
	r, ok := l.rows[id]
	if !ok {
		return
	}
	if !l.inGracePeriod(now) || r.target.Leaving {
		l.delete(now, id)
		return
	}
	if r.missingSince.IsZero() {
		r.missingSince = now
		l.rows[id] = r
		l.record(EventRemovalDelayed, r.target, 0)
	}
}

// delete removes a target and remembers it.
func (l *List) delete(now time.Time, id waxwingpick.TargetID) {
	r := l.rows[id]
	if len(l.gone) >= maxGone {
		maps.DeleteFunc(l.gone, func(_ waxwingpick.TargetID, r removal) bool { return now.Sub(r.at) >= goneTTL })
	}
	if len(l.gone) < maxGone {
		l.gone[id] = removal{
			target: r.target,
			at:     now,
		}
	}
	missing := time.Duration(0)
	if !r.missingSince.IsZero() {
		missing = now.Sub(r.missingSince)
	}
	l.record(EventRemoved, r.target, missing)
	delete(l.rows, id)
}

// Replace applies a complete reading of the list.
func (l *List) Replace(now time.Time, targets []waxwingpick.Target) {
	named := waxwingpick.NewSet[waxwingpick.TargetID]()
	for _, t := range targets {
		named.Add(t.ID)
		if l.restored(now) && l.contradicts(now, t) {
			l.hold(t)
			continue
		}
		l.Put(t)
	}
	for id := range l.rows {
		if !named.Has(id) {
			l.Remove(now, id)
		}
	}
}

// hold keeps what is known of a target, whose entry is that of an older copy.
func (l *List) hold(t waxwingpick.Target) {
	l.held[t.ID] = t
	if known, ok := l.rows[t.ID]; ok {
		known.missingSince = time.Time{}
		l.rows[t.ID] = known
	}
}

// Expire removes the targets whose entries are still missing after the grace period, applies the entries that are no longer
// held back, and reports whether there were any.
func (l *List) Expire(now time.Time) bool {
	changed := false
	if !l.restored(now) {
		for id, t := range l.held {
			delete(l.held, id)
			l.Put(t)
			changed = true
		}
	}
	if l.inGracePeriod(now) {
		return changed
	}
	for id, r := range l.rows {
		if !r.missingSince.IsZero() {
			l.delete(now, id)
			changed = true
		}
	}
	return changed
}

// inGracePeriod reports whether entries of live targets may be missing.
func (l *List) inGracePeriod(now time.Time) bool {
	return l.unavailable || !l.availableSince.IsZero() && now.Sub(l.availableSince) < RemovalGrace
}

// Target returns the entry of a target.
func (l *List) Target(id waxwingpick.TargetID) (waxwingpick.Target, bool) {
	r, ok := l.rows[id]
	return r.target, ok
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
