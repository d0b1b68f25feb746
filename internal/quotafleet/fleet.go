package quotafleet

import (
	"fmt"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/quota"
)

// Lost says whether an ask of an entry, or the answer to it, is lost on its way.
type Lost func(asker *Entry, answer bool) bool

// mail is an ask on its way to its owner, or an answer on its way back.
type mail struct {
	from  *Entry
	ask   quota.Ask
	grant *quota.Grant
}

// repeat is a wait of an entry before it asks again by itself.
type repeat struct {
	at        time.Time
	entry     *Entry
	workspace waxwingpick.WorkspaceID
}

// Fleet is a number of entries that hold all workspaces to one limit.
type Fleet struct {
	limit   quota.Limit
	now     time.Time
	entries []*Entry
	mails   []mail
	repeats []repeat
	lost    Lost
	refused int
	asks    int
}

// New returns a fleet of entries that know one another.
func New(entries int, limit quota.Limit) *Fleet {
	f := &Fleet{
		limit: limit,
		now:   time.Unix(1_000_000, 0),
		lost: func(*Entry, bool) bool {
			return false
		},
	}
	var list []waxwingpick.InstanceID
	for i := range entries {
		id := waxwingpick.InstanceID(fmt.Sprintf("entry-%d", i))
		f.entries = append(f.entries, &Entry{
			id: id,
		})
		list = append(list, id)
	}
	for _, e := range f.entries {
		f.Restart(e, list)
	}
	return f
}

// Lose sets which messages are lost.
func (f *Fleet) Lose(lost Lost) { f.lost = lost }

// Entries returns the entries of the fleet.
func (f *Fleet) Entries() []*Entry { return f.entries }

// Limit returns the limit of every workspace.
func (f *Fleet) Limit() quota.Limit { return f.limit }

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Pass lets time pass.
func (f *Fleet) Pass(d time.Duration) { f.now = f.now.Add(d) }

// Restart gives an entry fresh state, as a kill does; its messages are lost.
func (f *Fleet) Restart(e *Entry, list []waxwingpick.InstanceID) {
	f.mails = slices.DeleteFunc(f.mails, func(m mail) bool {
		return m.from == e
	})
	e.checker = newChecker()
	e.owner = newOwner(e.id)
	e.alone = false
	f.See(e, list)
}

// See lets an entry take a list.
func (f *Fleet) See(e *Entry, list []waxwingpick.InstanceID) {
	e.view = slices.Clone(list)
	e.checker.SetEntries(e.view, len(e.view))
	e.owner.SetEntries(f.now, e.view)
}

// Request sends a request of a workspace through an entry.
func (f *Fleet) Request(e *Entry, workspace waxwingpick.WorkspaceID) quota.Verdict {
	v := e.checker.Check(f.now, workspace, f.limit)
	e.offered++
	if v.Admitted {
		e.admitted++
	} else {
		f.refused++
	}
	if v.Due {
		f.send(e, v.Ask)
	}
	return v
}

// Mails returns the number of messages on their way.
func (f *Fleet) Mails() int { return len(f.mails) }

// Forget drops all messages, and nobody tells those who wait for an answer.
func (f *Fleet) Forget() { f.mails = nil }

// Deliver hands over one message; a lost one, or one to an entry that does not own the rate, makes the ask fail.
func (f *Fleet) Deliver(i int) {
	m := f.mails[i]
	f.mails = slices.Delete(f.mails, i, i+1)
	lost := f.lost(m.from, m.grant != nil)
	if m.grant != nil || lost {
		f.answer(m, lost)
		return
	}
	g, err := f.entry(m.ask.Owner()).owner.Grant(f.now, m.ask, f.limit)
	if err != nil {
		f.answer(m, true)
		return
	}
	m.grant = &g
	f.mails = append(f.mails, m)
}

// Settle lets entries ask again whose waits are over, and delivers everything.
func (f *Fleet) Settle() {
	f.repeats = slices.DeleteFunc(f.repeats, func(r repeat) bool {
		if r.at.After(f.now) {
			return false
		}
		if ask, due := r.entry.checker.Repeat(f.now, r.workspace); due {
			f.send(r.entry, ask)
		}
		return true
	})
	for len(f.mails) > 0 {
		f.Deliver(0)
	}
}

// Admitted returns the number of requests that were admitted since the counts were reset.
func (f *Fleet) Admitted() int {
	n := 0
	for _, e := range f.entries {
		n += e.admitted
	}
	return n
}

// Refused returns the number of requests that were refused since the counts were reset.
func (f *Fleet) Refused() int { return f.refused }

// Asks returns the number of asks since the counts were reset.
func (f *Fleet) Asks() int { return f.asks }

// ResetCounts begins the counts anew.
func (f *Fleet) ResetCounts() {
	f.refused, f.asks = 0, 0
	for _, e := range f.entries {
		e.offered, e.admitted = 0, 0
	}
}

func (f *Fleet) send(e *Entry, ask quota.Ask) {
	f.asks++
	f.mails = append(f.mails, mail{
		from: e,
		ask:  ask,
	})
}

// entry returns the entry of a name, which has to be one of the fleet.
func (f *Fleet) entry(id waxwingpick.InstanceID) *Entry {
	return f.entries[slices.IndexFunc(f.entries, func(e *Entry) bool {
		return e.id == id
	})]
}

// answer ends an ask.
func (f *Fleet) answer(m mail, lost bool) {
	m.from.alone = lost
	if lost {
		m.from.checker.Failed(f.now, m.ask)
		return
	}
	if wait := m.from.checker.Granted(f.now, m.ask, *m.grant); wait > 0 {
		f.repeats = append(f.repeats, repeat{
			at:        f.now.Add(wait),
			entry:     m.from,
			workspace: m.ask.Workspace,
		})
	}
}
