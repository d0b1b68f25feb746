package feed

import "waxwingpick"

const (
	// changeRepeats is the number of updates that contain a change, since messages may be lost.
	changeRepeats = 4
	// maxChanges and maxBytes limit the changes of one update. A process that misses older ones reads them from the
	// service.
	maxChanges = 256
	maxBytes   = 256 << 10
	// changeBytes is the size of a change in addition to its key and value.
	changeBytes = 32
)

// tail holds the latest changes, which are still being sent.
type tail struct {
	// base is the revision of the latest change that was removed from the tail.
	base    int64
	changes []pendingChange
	bytes   int
}

type pendingChange struct {
	change waxwingpick.KeyChange
	left   int
}

func (c pendingChange) bytes() int {
	return len(c.change.Key) + len(c.change.Value) + changeBytes
}

// reset removes all changes and sets the base.
func (t *tail) reset(revision int64) {
	*t = tail{
		base: revision,
	}
}

func (t *tail) add(c waxwingpick.KeyChange) {
	added := pendingChange{
		change: c,
		left:   changeRepeats,
	}
	t.changes = append(t.changes, added)
	t.bytes += added.bytes()
	for len(t.changes) > maxChanges || t.bytes > maxBytes {
		t.drop()
	}
}

// drop removes all changes of the oldest revision; a transaction may have changed several keys.
func (t *tail) drop() {
	t.base = t.changes[0].change.Revision
	for len(t.changes) > 0 && t.changes[0].change.Revision == t.base {
		t.bytes -= t.changes[0].bytes()
		t.changes = t.changes[1:]
	}
}

// next returns the changes after a base revision for one update, and removes those that have been sent often enough.
func (t *tail) next() (base int64, changes []waxwingpick.KeyChange) {
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
