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
	// HoldTime is how long an entry is held back that brings a leaving or removed incarnation back. Targets that live write their
	// entries again meanwhile, and those of others expire.
	HoldTime = 6 * time.Second
	// goneTTL is how long removed targets are remembered. It exceeds the age of a copy of the list, and the time after which the
	// service executes a write that it has not answered.
	goneTTL = time.Minute
	// maxGone bounds the removed targets that are remembered.
	maxGone = 4096
)

// List is one process's copy of the platform's list. It is not safe for concurrent use.
//
// An entry may be older than what is known of its target: the service executes a write late that it has not answered, or returns from
// an older copy of the list. Such an entry is ignored. One that is newer, but brings a leaving or removed incarnation back, is held
// back until the target has written again.
type List struct {
	rows map[waxwingpick.TargetID]row
	// gone holds the targets that were removed lately, held the entries that are held back.
	gone        map[waxwingpick.TargetID]removal
	held        map[waxwingpick.TargetID]heldEntry
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
	// EventOutdated means that an entry was ignored since it is older than what is known of its target.
	EventOutdated
	// EventHeld means that an entry is held back since it brings a leaving or removed incarnation back.
	EventHeld
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
	case EventReturned:
		return "returned"
	case EventOutdated:
		return "outdated"
	case EventHeld:
		return "held"
	}
	return "unknown"
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

// heldEntry is an entry that is held back.
type heldEntry struct {
	target waxwingpick.Target
	since  time.Time
}

// New returns an empty list.
func New() *List {
	return &List{
		rows: make(map[waxwingpick.TargetID]row),
		gone: make(map[waxwingpick.TargetID]removal),
		held: make(map[waxwingpick.TargetID]heldEntry),
	}
}

// compareWrites compares two entries of a target by the time at which it wrote them: first its starts, then its writes since then.
func compareWrites(a, b waxwingpick.Target) int {
	return cmp.Or(cmp.Compare(a.StartUnixMillis, b.StartUnixMillis), cmp.Compare(a.Sequence, b.Sequence))
}

// latest returns the latest entry that is known of a target, and whether the target was removed since.
func (l *List) latest(now time.Time, id waxwingpick.TargetID) (t waxwingpick.Target, removed, ok bool) {
	if r, ok := l.rows[id]; ok {
		return r.target, false, true
	}
	if r, ok := l.gone[id]; ok && now.Sub(r.at) < goneTTL {
		return r.target, true, true
	}
	return waxwingpick.Target{}, false, false
}

// verdict is what becomes of an entry.
type verdict uint8

const (
	apply verdict = iota
	ignore
	hold
)

// judge decides what becomes of an entry, given what is known of its target.
func (l *List) judge(now time.Time, t waxwingpick.Target) verdict {
	known, removed, ok := l.latest(now, t.ID)
	if !ok {
		return apply
	}
	held, isHeld := l.held[t.ID]
	switch {
	case t.StartUnixMillis == 0 && known.StartUnixMillis == 0:
		// Entries of no known incarnation have no order.
		return apply
	case compareWrites(t, known) < 0:
		return ignore
	case t.StartUnixMillis > known.StartUnixMillis:
		return apply
	case !removed && (!known.Leaving || t.Leaving):
		return apply
	case isHeld && compareWrites(t, held.target) > 0:
		return apply
	}
	return hold
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

// Put records the entry of a target, which is added or replaced unless the entry is outdated or held back.
func (l *List) Put(now time.Time, t waxwingpick.Target) {
	switch l.judge(now, t) {
	case apply:
		l.put(t)
	case ignore:
		l.record(EventOutdated, t, 0)
	case hold:
		l.hold(now, t)
	}
}

// put adds or replaces the entry of a target.
func (l *List) put(t waxwingpick.Target) {
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

// hold keeps what is known of a target, and its entry until the target has written again.
func (l *List) hold(now time.Time, t waxwingpick.Target) {
	if _, ok := l.held[t.ID]; !ok {
		l.held[t.ID] = heldEntry{
			target: t,
			since:  now,
		}
		l.record(EventHeld, t, 0)
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
		l.Put(now, t)
	}
	for id := range l.rows {
		if !named.Has(id) {
			l.Remove(now, id)
		}
	}
	maps.DeleteFunc(l.held, func(id waxwingpick.TargetID, _ heldEntry) bool { return !named.Has(id) })
}

// Expire removes the targets whose entries are still missing after the grace period, applies the entries that were held back
// for long enough, and reports whether there were any.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for _, h := range l.held {
		if now.Sub(h.since) >= HoldTime {
			l.put(h.target)
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
