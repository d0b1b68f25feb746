package feed

import "waxwingpick"

const (
	// timesTold is in how many messages a change is told, since messages may be lost.
	timesTold = 4
	// mostChanges and mostBytes bound the changes of one message; who misses older ones reads them from the service.
	mostChanges = 256
	mostBytes   = 256 << 10
	// changeBytes is what a change takes besides its key and value.
	changeBytes = 32
)

// tail is the newest changes, which are still told.
type tail struct {
	// base is the revision of the newest change that is not in the tail any more.
	base    int64
	changes []toldChange
	bytes   int
}

type toldChange struct {
	change waxwingpick.KeyChange
	left   int
}

func (c toldChange) bytes() int {
	return len(c.change.Key) + len(c.change.Value) + changeBytes
}

// reset forgets all changes up to a revision.
func (t *tail) reset(revision int64) {
	*t = tail{
		base: revision,
	}
}

func (t *tail) add(c waxwingpick.KeyChange) {
	added := toldChange{
		change: c,
		left:   timesTold,
	}
	t.changes = append(t.changes, added)
	t.bytes += added.bytes()
	for len(t.changes) > mostChanges || t.bytes > mostBytes {
		t.drop()
	}
}

// drop forgets the oldest revision, of which a transaction may have changed several keys.
func (t *tail) drop() {
	t.base = t.changes[0].change.Revision
	for len(t.changes) > 0 && t.changes[0].change.Revision == t.base {
		t.bytes -= t.changes[0].bytes()
		t.changes = t.changes[1:]
	}
}

// tell returns the changes after a revision for one message, and forgets those that were told often enough.
func (t *tail) tell() (base int64, changes []waxwingpick.KeyChange) {
	base = t.base
	for i := range t.changes {
		changes = append(changes, t.changes[i].change)
		t.changes[i].left--
	}
	for len(t.changes) > 0 && t.changes[0].left <= 0 {
		t.drop()
	}
	return base, changes
}
