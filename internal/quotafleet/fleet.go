package quotafleet

import (
	"fmt"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/quota"
)

// LossFunc reports whether a token request of an entry, or the response to it, is lost.
type LossFunc func(requester *Entry, response bool) bool

// message is a token request in flight to its owner, or its response if grant is set.
type message struct {
	from    *Entry
	request quota.TokenRequest
	grant   *quota.Grant
}

// pendingRepeat is the time at which an entry repeats its token request for a workspace.
type pendingRepeat struct {
	at        time.Time
	entry     *Entry
	workspace waxwingpick.WorkspaceID
}

// Fleet is a set of entries that enforce the same limit for every workspace.
type Fleet struct {
	limit          quota.Limit
	now            time.Time
	entries        []*Entry
	messages       []message
	pendingRepeats []pendingRepeat
	lost           LossFunc
	refused        int
	tokenRequests  int
}

// New returns a fleet of entries that list one another.
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

// SetLoss sets the function that decides which messages are lost.
func (f *Fleet) SetLoss(lost LossFunc) { f.lost = lost }

// Entries returns the entries of the fleet.
func (f *Fleet) Entries() []*Entry { return f.entries }

// Limit returns the limit of every workspace.
func (f *Fleet) Limit() quota.Limit { return f.limit }

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Advance advances the virtual time by d.
func (f *Fleet) Advance(d time.Duration) { f.now = f.now.Add(d) }

// Restart resets an entry's state, as a crash does. Its messages are lost.
func (f *Fleet) Restart(e *Entry, list []waxwingpick.InstanceID) {
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		return m.from == e
	})
	e.checker = newChecker()
	e.owner = newOwner(e.id)
	e.lastRequestFailed = false
	f.SetList(e, list)
}

// SetList sets the list of an entry.
func (f *Fleet) SetList(e *Entry, list []waxwingpick.InstanceID) {
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
		f.send(e, v.Request)
	}
	return v
}

// InFlight returns the number of messages in flight.
func (f *Fleet) InFlight() int { return len(f.messages) }

// DropMessages drops all messages without failing the token requests that wait for a response.
func (f *Fleet) DropMessages() { f.messages = nil }

// Deliver delivers one message. The token request fails if the message is lost or its receiver does not own the rate.
func (f *Fleet) Deliver(i int) {
	m := f.messages[i]
	f.messages = slices.Delete(f.messages, i, i+1)
	lost := f.lost(m.from, m.grant != nil)
	if m.grant != nil || lost {
		f.finishRequest(m, lost)
		return
	}
	g, err := f.entry(m.request.Owner()).owner.Grant(f.now, m.request, f.limit)
	if err != nil {
		f.finishRequest(m, true)
		return
	}
	m.grant = &g
	f.messages = append(f.messages, m)
}

// Settle repeats the token requests that are due, and delivers all messages.
func (f *Fleet) Settle() {
	f.pendingRepeats = slices.DeleteFunc(f.pendingRepeats, func(r pendingRepeat) bool {
		if r.at.After(f.now) {
			return false
		}
		if request, due := r.entry.checker.Repeat(f.now, r.workspace); due {
			f.send(r.entry, request)
		}
		return true
	})
	for len(f.messages) > 0 {
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

// TokenRequests returns the number of token requests since the counts were reset.
func (f *Fleet) TokenRequests() int { return f.tokenRequests }

// ResetCounts sets all counts to zero.
func (f *Fleet) ResetCounts() {
	f.refused, f.tokenRequests = 0, 0
	for _, e := range f.entries {
		e.offered, e.admitted = 0, 0
	}
}

func (f *Fleet) send(e *Entry, request quota.TokenRequest) {
	f.tokenRequests++
	f.messages = append(f.messages, message{
		from:    e,
		request: request,
	})
}

// entry returns the entry with an ID, which must belong to the fleet.
func (f *Fleet) entry(id waxwingpick.InstanceID) *Entry {
	return f.entries[slices.IndexFunc(f.entries, func(e *Entry) bool {
		return e.id == id
	})]
}

// finishRequest applies the result of a token request.
func (f *Fleet) finishRequest(m message, lost bool) {
	m.from.lastRequestFailed = lost
	if lost {
		m.from.checker.Failed(f.now, m.request)
		return
	}
	if wait := m.from.checker.Granted(f.now, m.request, *m.grant); wait > 0 {
		f.pendingRepeats = append(f.pendingRepeats, pendingRepeat{
			at:        f.now.Add(wait),
			entry:     m.from,
			workspace: m.request.Workspace,
		})
	}
}
