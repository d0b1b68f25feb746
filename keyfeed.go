package waxwingpick

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone says that the key-value service no longer has the changes after a revision, so all keys have to be
// read again.
var ErrHistoryGone = eris.New("key-value history is gone")

// KeyFeed is the port to a key-value service that tells changes with their values.
type KeyFeed interface {
	// Snapshot reads all keys with the prefix; changes after the returned revision are not in it for certain.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// Changes waits for changes after the revision, at most the given time, and returns them in order with the revision
	// to go on from. A removed key has no value and Removed set.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []KeyChange, revision int64, err error)
}

// KeyChange is one change of a key.
type KeyChange struct {
	Entry
	Removed bool
}
