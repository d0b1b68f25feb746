package waxwingpick

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrHistoryCompacted means that the key-value service no longer has the changes after a position. The client has to
	// read all keys again.
	ErrHistoryCompacted = eris.New("key-value history compacted")
	// ErrNewEra means that the key-value service has begun a new era. It accompanies ErrHistoryCompacted, ErrLeaseExpired or
	// ErrUnavailable.
	ErrNewEra = eris.New("key-value service returned from an older copy")
)

// KeyFeed is the client interface to a key-value service that streams changes with their values.
type KeyFeed interface {
	// Probe returns nil if the service responds on a new connection. It is cheap for the service, and says nothing of its keys.
	Probe(ctx context.Context) error
	// Snapshot returns all keys with the prefix as of a position; later changes may be missing.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, at Position, err error)
	// Changes waits up to the given time for changes after the position. It returns them in order, with the position to
	// continue from, which is of the same era. A removed key has no value, and Removed is set.
	Changes(ctx context.Context, prefix string, after Position, wait time.Duration) (changes []KeyChange, at Position, err error)
}

// KeyChange is a change of one key.
type KeyChange struct {
	Entry
	Removed bool
}
