package waxwingpick

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueSize is the largest value that the key-value service holds, in bytes.
const MaxValueSize = 1 << 20

// Errors of the key-value port; callers match them with errors.Is.
var (
	// ErrConflict says that the key's revision was not the expected one.
	ErrConflict = eris.New("key-value revision conflict")
	// ErrUnavailable says that the service refused or could not be reached, so the call had no effect.
	ErrUnavailable = eris.New("key-value service unavailable")
	// ErrUnknownOutcome says that the answer was lost, so a write may have taken effect.
	ErrUnknownOutcome = eris.New("key-value write outcome unknown")
	// ErrLeaseExpired says that the lease does not exist any more.
	ErrLeaseExpired = eris.New("key-value lease expired")
	// ErrValueTooLarge says that the value exceeds MaxValueSize.
	ErrValueTooLarge = eris.New("key-value value too large")
)

// LeaseID names a lease of the key-value service; zero means no lease.
type LeaseID int64

// Entry is a key of the key-value service with its value.
type Entry struct {
	Key string
	// Value is nil where the key is absent.
	Value []byte
	// Revision is the key's modification revision; zero where the key is absent.
	Revision int64
}

// Exists reports whether the key is present.
func (e Entry) Exists() bool {
	return e.Revision != 0
}

// KeyValue is the port to the platform's key-value service.
type KeyValue interface {
	// Get reads a key linearizably; an absent key is an Entry with Revision 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads at most limit keys with the prefix in key order.
	List(ctx context.Context, prefix string, limit int) ([]Entry, error)
	// GetSince is Get of a key that was written after a revision; else the Entry is that of an absent key.
	GetSince(ctx context.Context, key string, after int64) (Entry, error)
	// ListSince is List of the keys that were written after a revision.
	ListSince(ctx context.Context, prefix string, after int64, limit int) ([]Entry, error)
	// CompareAndSwap writes the key if its revision is still the expected one (0: absent) and returns
	// the new entry; it fails with ErrConflict, ErrUnavailable, ErrUnknownOutcome, ErrLeaseExpired or ErrValueTooLarge.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (Entry, error)
	// CompareAndDelete removes the key if its revision is still the expected one.
	CompareAndDelete(ctx context.Context, key string, expected int64) error
	// Grant creates a lease that lasts for ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its new remaining time, counted from before the call; ErrLeaseExpired if it is gone.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls changed for each key with the prefix that was written or deleted, until ctx ends or the
	// watch breaks; events may be missed, so the receiver reads the record again.
	Watch(ctx context.Context, prefix string, changed func(key string)) error
}
