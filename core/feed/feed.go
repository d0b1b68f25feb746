package feed

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// Relays is the number of processes per availability zone that read changes for it. One may fail without a delay.
	Relays = 2
	// UpdatePeriod is the time between two messages of a relay that has no changes.
	UpdatePeriod = 250 * time.Millisecond
	// relayTimeout is how long a relay counts as live after its last message; some messages may be lost.
	relayTimeout = 800 * time.Millisecond
	// currentTTL is how long a relay counts as current after the last response of the service. It exceeds the wait of a call for
	// changes, the interval between calls and the latency of a slow service.
	currentTTL = 1200 * time.Millisecond
	// minOutage is the shortest time without contact to the service that counts as an outage. Entries of live targets expire after
	// several heartbeats only, and a relay may be behind by currentTTL.
	minOutage = currentTTL
	// responseTTL is how long a response of the service shows that this process reaches it. It exceeds the wait of a call
	// for changes.
	responseTTL = 2 * time.Second
	// gapTimeout is how long a process waits for missing changes to be sent again before it reads them itself.
	gapTimeout = 300 * time.Millisecond
	// Jitter is the maximum random delay of processes that lose their relays at the same time.
	Jitter = 200 * time.Millisecond
	// maxRelays limits the number of tracked relays.
	maxRelays = 256
)

// Update is an update that a relay sends to the processes of its availability zone.
type Update struct {
	From waxwingpick.InstanceID
	Zone waxwingpick.AvailabilityZone
	// ServiceReachable means that the service responds to the relay.
	ServiceReachable bool
	// Base and Revision are the range of the update, in one era. A receiver that holds everything up to Base, or up to a
	// later revision, holds everything up to Revision after it has applied Changes.
	Era      int64
	Base     int64
	Revision int64
	Changes  []waxwingpick.KeyChange
	// SinceRecovery is the time since the service recovered from a recent outage, SinceEra that since it returned in a recent
	// era.
	SinceRecovery waxwingpick.Option[time.Duration]
	SinceEra      waxwingpick.Option[time.Duration]
}

// Mode is how a process obtains changes.
type Mode uint8

// The modes.
const (
	// ModeRead means reading changes from the service, as a relay does.
	ModeRead Mode = iota
	// ModeReceive means receiving changes from relays.
	ModeReceive
)

// String returns the name used in logs and metrics.
func (m Mode) String() string {
	if m == ModeReceive {
		return "hears"
	}
	return "reads"
}

// relay is the state of another process that reads changes.
type relay struct {
	lastMessage time.Time
	rank        uint64
	// current means that it reached the service and held at least the local revision at its last message.
	current bool
}

// Feed is the state of one process. It is not safe for concurrent use.
//
// In a fleet of hundreds of processes, the service would receive several requests per second from each process if all
// of them read changes.
type Feed struct {
	self   waxwingpick.InstanceID
	zone   waxwingpick.AvailabilityZone
	rank   uint64
	jitter time.Duration

	relays   map[waxwingpick.InstanceID]relay
	synced   bool
	position waxwingpick.Position
	// resyncAt is when a process that received an update of a new era reads all keys, nextEraSince when that era began, if the
	// update told.
	resyncAt     time.Time
	nextEraSince waxwingpick.Option[time.Time]
	// keyRevisions holds the latest revision of each key, since the pages of a snapshot may be newer than its revision.
	keyRevisions map[string]int64
	tail         tail

	// reachable means that the service responded to this process's last call. lastContact is when it last responded to this process,
	// or a relay last told that it reaches it, and failed means that a call of this process has failed since.
	reachable   bool
	lastContact time.Time
	failed      bool
	// unreachableUpdates counts the updates since the last response that told that the service does not respond.
	unreachableUpdates int
	// returned is when the service last recovered from an outage, eraSince when it returned in the current era.
	returned   time.Time
	eraSince   time.Time
	lastSynced time.Time
	// lastResponse is when the service last responded to this process.
	lastResponse time.Time
	// gapSince is when an update first did not continue the local revision, gapBase the base of that update.
	gapSince time.Time
	gapBase  int64
}

// New returns the initial state of a process. jitter is its random share of Jitter.
func New(self waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone, jitter time.Duration) *Feed {
	return &Feed{
		self:         self,
		zone:         zone,
		rank:         rankOf(self),
		jitter:       jitter,
		relays:       make(map[waxwingpick.InstanceID]relay),
		keyRevisions: make(map[string]int64),
		reachable:    true,
	}
}

// rankOf returns the rank of a process in its availability zone; the smallest value is the highest rank.
func rankOf(id waxwingpick.InstanceID) uint64 {
	return xxhash.Sum64String(string(id))
}

// Synced reports whether the process has read all keys and can follow changes.
func (f *Feed) Synced() bool {
	return f.synced
}

// Position returns the position up to which all changes are applied.
func (f *Feed) Position() waxwingpick.Position {
	return f.position
}

// Mode returns how the process should obtain changes now.
func (f *Feed) Mode(now time.Time) Mode {
	if !f.synced && now.Before(f.resyncAt) {
		return ModeReceive
	}
	if !f.synced || !f.gapSince.IsZero() && now.Sub(f.gapSince) >= gapTimeout+f.jitter {
		return ModeRead
	}
	better := 0
	for id, r := range f.relays {
		switch {
		case now.Sub(r.lastMessage) > relayTimeout+f.jitter:
			delete(f.relays, id)
		case r.current && (r.rank < f.rank || r.rank == f.rank && id < f.self):
			better++
		}
	}
	if better < Relays {
		return ModeRead
	}
	return ModeReceive
}

// Age returns the time since the process was last known to hold all changes, by its own call or by a relay's update;
// zero before the first one.
func (f *Feed) Age(now time.Time) time.Duration {
	if f.lastSynced.IsZero() {
		return 0
	}
	return now.Sub(f.lastSynced)
}

// Failed records that the service did not respond to this process.
func (f *Feed) Failed() {
	f.reachable = false
	f.failed = true
}

// Unavailable reports whether neither this process nor a relay has reached the service lately. The failed calls of this process
// alone may be due to a partition.
func (f *Feed) Unavailable(now time.Time) bool {
	return f.failed && now.Sub(f.lastContact) > minOutage
}

// serviceResponded records a response of the service to this process after which no change is missing.
func (f *Feed) serviceResponded(now time.Time) {
	f.recordResponse(now)
	f.lastSynced = now
}

// recordResponse records that the service responded to this process.
func (f *Feed) recordResponse(now time.Time) {
	f.contact(now)
	f.reachable = true
	f.unreachableUpdates = 0
	f.lastResponse = now
}

// contact records that the service responds to this process or to one of its relays.
func (f *Feed) contact(now time.Time) {
	if f.Unavailable(now) {
		f.returned = now
	}
	f.lastContact = now
	f.failed = false
}

// HistoryCompacted records the response that the service no longer has the changes after the local revision, so that all
// keys must be read.
func (f *Feed) HistoryCompacted(now time.Time) {
	f.synced = false
	f.recordResponse(now)
}

// ApplySnapshot applies a reading of all keys whose first page was read at the position. It returns false if the process
// has applied a later position in the meantime. The first snapshot of a new era counts as the end of an outage, since the
// service was away before it.
func (f *Feed) ApplySnapshot(now time.Time, entries []waxwingpick.Entry, at waxwingpick.Position) bool {
	f.serviceResponded(now)
	if at.Before(f.position) {
		return false
	}
	if f.position.Era != 0 && at.Era > f.position.Era {
		f.eraSince = f.nextEraSince.OrElse(now)
	}
	if at.Era != f.position.Era {
		f.closeGap()
		f.nextEraSince = waxwingpick.None[time.Time]()
	}
	f.keyRevisions = make(map[string]int64, len(entries))
	for _, e := range entries {
		f.keyRevisions[e.Key] = e.Revision
	}
	f.synced = true
	f.tail.reset(at.Revision)
	f.advance(at)
	return true
}

// ApplyChanges applies the service's changes after a position and returns the new ones. If the service has not reached
// that position, the process received a wrong update, and has to read all keys next. A response of an earlier era is
// discarded.
func (f *Feed) ApplyChanges(now time.Time, after waxwingpick.Position, changes []waxwingpick.KeyChange, at waxwingpick.Position) []waxwingpick.KeyChange {
	f.serviceResponded(now)
	if at.Era < f.position.Era {
		return nil
	}
	if at.Before(after) {
		f.synced = false
		f.position.Revision = 0
		f.closeGap()
		return nil
	}
	return f.apply(changes, at)
}

// ApplyUpdate applies a relay's update and returns the changes that are new.
func (f *Feed) ApplyUpdate(now time.Time, n Update) []waxwingpick.KeyChange {
	if n.From == f.self || n.Zone != f.zone {
		return nil
	}
	at := waxwingpick.Position{
		Era:      n.Era,
		Revision: n.Revision,
	}
	if _, ok := f.relays[n.From]; ok || len(f.relays) < maxRelays {
		f.relays[n.From] = relay{
			lastMessage: now,
			rank:        rankOf(n.From),
			current:     n.ServiceReachable && f.synced && !at.Before(f.position),
		}
	}
	partitioned, lastContact := f.failed, f.lastContact
	if n.ServiceReachable && n.Era >= f.position.Era {
		f.contact(now)
	}
	if !f.synced || !n.ServiceReachable || at.Before(f.position) {
		return nil
	}
	if n.Era > f.position.Era {
		f.synced = false
		f.resyncAt = now.Add(f.jitter)
		f.nextEraSince = waxwingpick.None[time.Time]()
		if ago, ok := n.SinceEra.Get(); ok {
			f.nextEraSince = waxwingpick.Some(now.Add(-ago))
		}
		return nil
	}
	if n.Base > f.position.Revision {
		if f.gapSince.IsZero() {
			f.gapSince = now
			f.gapBase = n.Base
			if partitioned {
				// Changes that were made in a partition are not sent again.
				f.gapSince = now.Add(-gapTimeout)
			}
		}
		return nil
	}
	if ago, ok := n.SinceRecovery.Get(); ok {
		f.recordReturn(now, now.Add(-ago), lastContact)
	}
	f.lastSynced = now
	return f.apply(n.Changes, at)
}

// recordReturn records another process's report that the service recovered. For this process, there was an outage only
// if neither it nor its relays reached the service shortly before. Otherwise the other process may have been
// partitioned.
func (f *Feed) recordReturn(now, at, lastContact time.Time) {
	responsive := f.reachable && now.Sub(f.lastResponse) < responseTTL
	if !responsive && at.Sub(lastContact) > minOutage && at.After(f.returned) {
		f.returned = at
	}
}

// RecoveredAt returns when the service last recovered from an outage or returned from an older copy, as far as known; zero if
// neither happened.
func (f *Feed) RecoveredAt() time.Time {
	if f.eraSince.After(f.returned) {
		return f.eraSince
	}
	return f.returned
}

// apply applies changes up to a position that continue the local one, and returns the latest new change of each key, and the
// one before a removal: what an entry last said may decide how its removal is taken.
func (f *Feed) apply(changes []waxwingpick.KeyChange, to waxwingpick.Position) []waxwingpick.KeyChange {
	var newest []waxwingpick.KeyChange
	at := make(map[string]int)
	for _, c := range changes {
		if c.Revision <= f.position.Revision || c.Revision > to.Revision || c.Revision < f.keyRevisions[c.Key] {
			continue
		}
		f.tail.add(c)
		if c.Removed {
			delete(f.keyRevisions, c.Key)
		} else {
			f.keyRevisions[c.Key] = c.Revision
		}
		if i, ok := at[c.Key]; ok && (!c.Removed || newest[i].Removed) {
			newest[i] = c
			continue
		}
		at[c.Key] = len(newest)
		newest = append(newest, c)
	}
	f.advance(to)
	return newest
}

func (f *Feed) advance(to waxwingpick.Position) {
	if f.position.Before(to) {
		f.position = to
	}
	if f.position.Revision >= f.gapBase {
		f.gapSince = time.Time{}
	}
}

// closeGap discards a gap that was noticed before.
func (f *Feed) closeGap() {
	f.gapBase = 0
	f.gapSince = time.Time{}
}

// returnReportPeriod is how long after an outage relays report the recovery of the service.
const returnReportPeriod = 5 * time.Second

// NextUpdate returns the next update from a process that reads changes to the others of its availability zone. It
// returns false if there is nothing to send.
func (f *Feed) NextUpdate(now time.Time) (Update, bool) {
	if !f.synced || f.unreachableUpdates >= changeRepeats {
		return Update{}, false
	}
	reachable := f.reachable && now.Sub(f.lastResponse) < currentTTL
	if !reachable {
		f.unreachableUpdates++
	}
	n := Update{
		From:             f.self,
		Zone:             f.zone,
		ServiceReachable: reachable,
		Era:              f.position.Era,
		Revision:         f.position.Revision,
	}
	if ago := now.Sub(f.returned); !f.returned.IsZero() && ago < returnReportPeriod {
		n.SinceRecovery = waxwingpick.Some(ago)
	}
	if ago := now.Sub(f.eraSince); !f.eraSince.IsZero() && ago < returnReportPeriod {
		n.SinceEra = waxwingpick.Some(ago)
	}
	n.Base, n.Changes = f.tail.next()
	return n, true
}
