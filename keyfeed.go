package waxwingpick

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryCompacted means that the key-value service no longer has the changes after a revision. The client has to
// read all keys again.
var ErrHistoryCompacted = eris.New("key-value history compacted")

// KeyFeed is the client interface to a key-value service that streams changes with their values.
type KeyFeed interface {
	// Snapshot returns all keys with the prefix as of a revision; later changes may be missing.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// Changes waits up to the given time for changes after the revision. It returns them in order, with the revision to
	// continue from. A removed key has no value, and Removed is set.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []KeyChange, revision int64, err error)
}

// KeyChange is a change of one key.
type KeyChange struct {
	Entry
	Removed bool
}
