package feed

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingpick"
)

const (
	// Relays is how many processes of an availability zone read changes for it: one may be lost without a delay.
	Relays = 2
	// TellPeriod is the time between two messages of a relay that has nothing new.
	TellPeriod = 250 * time.Millisecond
	// silence is how long a relay counts after its last message; some of these may be lost.
	silence = 800 * time.Millisecond
	// answerKept is how long an answer of the service shows that this process reaches it: longer than a call for changes waits.
	answerKept = 2 * time.Second
	// gapPatience is how long a process waits for missing changes to be told again before it reads them itself.
	gapPatience = 300 * time.Millisecond
	// Jitter spreads processes that stop hearing their relays at the same moment.
	Jitter = 200 * time.Millisecond
	// mostRelays bounds the processes whose messages are remembered.
	mostRelays = 256
)

// News is what a relay tells the processes of its availability zone.
type News struct {
	From waxwingpick.InstanceID
	Zone waxwingpick.AvailabilityZone
	// Touch says that the service answers the relay.
	Touch bool
	// Base and Revision say what the message covers: one who knows all up to Base, or a later revision, knows with Changes all
	// up to Revision.
	Base     int64
	Revision int64
	Changes  []waxwingpick.KeyChange
	// Returned is how long ago the service returned from an outage, where that was lately.
	Returned waxwingpick.Option[time.Duration]
}

// Mode is how a process learns of changes.
type Mode uint8

// The modes.
const (
	// ModeReads is reading changes from the service, as a relay does.
	ModeReads Mode = iota
	// ModeHears is hearing them from relays.
	ModeHears
)

// String returns the name used in logs and metrics.
func (m Mode) String() string {
	if m == ModeHears {
		return "hears"
	}
	return "reads"
}

// relay is what is known of another process that reads changes.
type relay struct {
	at   time.Time
	rank uint64
	// fresh says that it reached the service and knew as much as this process.
	fresh bool
}

// Feed is the state of one process; it is not safe for concurrent use.
//
// The load pattern is a fleet of hundreds of processes, of which each would ask the service several times a second.
type Feed struct {
	self   waxwingpick.InstanceID
	zone   waxwingpick.AvailabilityZone
	rank   uint64
	jitter time.Duration

	relays   map[waxwingpick.InstanceID]relay
	known    bool
	revision int64
	// keys holds the newest revision of each key, since the pages of a snapshot may be newer than its revision.
	keys map[string]int64
	tail tail

	// touch says that the service answered this process's last call, away that nobody it hears has reached it since one failed.
	touch bool
	away  bool
	// untouched counts the messages that told of an outage.
	untouched int
	returned  time.Time
	heard     time.Time
	// answeredAt is when the service last answered this process.
	answeredAt time.Time
	// gap is when a message first did not continue the own revision, gapBase what it continued.
	gap     time.Time
	gapBase int64
}

// New returns the state of a process that knows nothing; jitter is its own part of Jitter.
func New(self waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone, jitter time.Duration) *Feed {
	return &Feed{
		self:   self,
		zone:   zone,
		rank:   rankOf(self),
		jitter: jitter,
		relays: make(map[waxwingpick.InstanceID]relay),
		keys:   make(map[string]int64),
		touch:  true,
	}
}

// rankOf orders the processes of an availability zone; the least is the best.
func rankOf(id waxwingpick.InstanceID) uint64 {
	return xxhash.Sum64String(string(id))
}

// Known reports whether the process has read all keys once.
func (f *Feed) Known() bool {
	return f.known
}

// Revision returns the revision up to which everything is known.
func (f *Feed) Revision() int64 {
	return f.revision
}

// Mode returns how the process is to learn of changes now.
func (f *Feed) Mode(now time.Time) Mode {
	if !f.known || !f.gap.IsZero() && now.Sub(f.gap) >= gapPatience+f.jitter {
		return ModeReads
	}
	better := 0
	for id, r := range f.relays {
		switch {
		case now.Sub(r.at) > silence+f.jitter:
			delete(f.relays, id)
		case r.fresh && (r.rank < f.rank || r.rank == f.rank && id < f.self):
			better++
		}
	}
	if better < Relays {
		return ModeReads
	}
	return ModeHears
}

// Age returns how long ago the process last learned that it knows everything: by its own reading, or by a relay's message;
// zero as long as it knows nothing.
func (f *Feed) Age(now time.Time) time.Duration {
	if f.heard.IsZero() {
		return 0
	}
	return now.Sub(f.heard)
}

// Failed notes that the service did not answer this process.
func (f *Feed) Failed() {
	f.touch = false
	f.away = true
}

// answered notes that the service answered this process.
func (f *Feed) answered(now time.Time) {
	f.touch = true
	f.untouched = 0
	f.answeredAt = now
	f.reached(now)
}

// reached notes that the service answers, this process or a relay that it hears.
func (f *Feed) reached(now time.Time) {
	if f.away {
		f.away = false
		f.returned = now
	}
	f.heard = now
}

// HistoryGone notes that the service has no changes after the own revision any more, so that all keys are to be read.
func (f *Feed) HistoryGone() {
	f.known = false
}

// TakeSnapshot takes that all keys were read, of which the first were as of a revision. It returns false where the process
// has learned of a later one meanwhile.
func (f *Feed) TakeSnapshot(now time.Time, entries []waxwingpick.Entry, revision int64) bool {
	f.answered(now)
	if revision < f.revision {
		return false
	}
	f.keys = make(map[string]int64, len(entries))
	for _, e := range entries {
		f.keys[e.Key] = e.Revision
	}
	f.known = true
	f.tail.reset(revision)
	f.advance(revision)
	return true
}

// TakeChanges takes what the service told of the changes after a revision, and returns those that are new. Where the service
// is not as far as that revision, the process was told wrongly, and reads all keys next.
func (f *Feed) TakeChanges(now time.Time, after int64, changes []waxwingpick.KeyChange, revision int64) []waxwingpick.KeyChange {
	f.answered(now)
	if revision < after {
		f.known = false
		f.revision = 0
		f.gapBase = 0
		f.gap = time.Time{}
		return nil
	}
	return f.take(changes, revision)
}

// Heard takes a relay's message, and returns the changes that are new.
func (f *Feed) Heard(now time.Time, n News) []waxwingpick.KeyChange {
	if n.From == f.self || n.Zone != f.zone {
		return nil
	}
	if _, ok := f.relays[n.From]; ok || len(f.relays) < mostRelays {
		f.relays[n.From] = relay{
			at:    now,
			rank:  rankOf(n.From),
			fresh: n.Touch && f.known && n.Revision >= f.revision,
		}
	}
	if !f.known || !n.Touch || n.Revision < f.revision {
		return nil
	}
	if n.Base > f.revision {
		if f.gap.IsZero() {
			f.gap = now
			f.gapBase = n.Base
		}
		return nil
	}
	if ago, ok := n.Returned.Get(); ok {
		f.learnReturn(now, now.Add(-ago))
	}
	f.reached(now)
	return f.take(n.Changes, n.Revision)
}

// learnReturn takes that the service returned for another process. It was away for this one only if nobody reached it
// shortly before: the other may have been cut off alone.
func (f *Feed) learnReturn(now, at time.Time) {
	reads := f.touch && now.Sub(f.answeredAt) < answerKept
	if !reads && at.Sub(f.heard) > silence && at.After(f.returned) {
		f.returned = at
	}
}

// Returned returns when the service last returned from an outage, as far as that is known; zero where it was never away.
func (f *Feed) Returned() time.Time {
	return f.returned
}

// take takes changes up to a revision that continue the own one, and returns the newest new one of each key.
func (f *Feed) take(changes []waxwingpick.KeyChange, revision int64) []waxwingpick.KeyChange {
	var news []waxwingpick.KeyChange
	at := make(map[string]int)
	for _, c := range changes {
		if c.Revision <= f.revision || c.Revision > revision || c.Revision < f.keys[c.Key] {
			continue
		}
		f.tail.add(c)
		if c.Removed {
			delete(f.keys, c.Key)
		} else {
			f.keys[c.Key] = c.Revision
		}
		if i, ok := at[c.Key]; ok {
			news[i] = c
			continue
		}
		at[c.Key] = len(news)
		news = append(news, c)
	}
	f.advance(revision)
	return news
}

func (f *Feed) advance(revision int64) {
	f.revision = max(f.revision, revision)
	if f.revision >= f.gapBase {
		f.gap = time.Time{}
	}
}

// returnTold is how long after an outage of the service relays tell of it.
const returnTold = 5 * time.Second

// News returns what a process that reads changes tells the others of its availability zone; false where it knows nothing
// that they don't.
func (f *Feed) News(now time.Time) (News, bool) {
	if !f.known || f.untouched >= timesTold {
		return News{}, false
	}
	if !f.touch {
		f.untouched++
	}
	n := News{
		From:     f.self,
		Zone:     f.zone,
		Touch:    f.touch,
		Revision: f.revision,
	}
	if ago := now.Sub(f.returned); !f.returned.IsZero() && ago < returnTold {
		n.Returned = waxwingpick.Some(ago)
	}
	n.Base, n.Changes = f.tail.tell()
	return n, true
}
