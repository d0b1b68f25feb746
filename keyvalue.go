package waxwingpick

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueSize is the maximum size of a value in the key-value service, in bytes.
const MaxValueSize = 1 << 20

// Errors returned by the key-value service; match them with errors.Is.
var (
	// ErrConflict means that the key's revision differs from the expected one.
	ErrConflict = eris.New("key-value revision conflict")
	// ErrUnavailable means that the service rejected the call or could not be reached. The call had no effect.
	ErrUnavailable = eris.New("key-value service unavailable")
	// ErrUnknownOutcome means that the response was lost, so a write may have taken effect.
	ErrUnknownOutcome = eris.New("key-value write outcome unknown")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = eris.New("key-value lease expired")
	// ErrValueTooLarge means that the value exceeds MaxValueSize.
	ErrValueTooLarge = eris.New("key-value value too large")
)

// LeaseID identifies a lease of the key-value service; zero means no lease.
type LeaseID int64

// Entry is a key-value pair.
type Entry struct {
	Key string
	// Value is nil if the key is absent.
	Value []byte
	// Revision is the key's modification revision; zero if the key is absent.
	Revision int64
	// Era is the era of the service in which Revision was given out; zero if it names none.
	Era int64
}

// Exists reports whether the key is present.
func (e Entry) Exists() bool {
	return e.Revision != 0
}

// KeyValue is the client interface to the platform's key-value service.
type KeyValue interface {
	// Get reads a key linearizably. An absent key yields an Entry with Revision 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads at most limit keys with the prefix, in key order.
	List(ctx context.Context, prefix string, limit int) ([]Entry, error)
	// GetSince is like Get, but returns an absent Entry unless the key was written after the revision.
	GetSince(ctx context.Context, key string, after int64) (Entry, error)
	// ListSince is like List, but skips keys that were not written after the revision.
	ListSince(ctx context.Context, prefix string, after int64, limit int) ([]Entry, error)
	// CompareAndSwap writes the key if its revision equals expected (0 for an absent key) and returns the new entry.
	// It fails with ErrConflict, ErrUnavailable, ErrUnknownOutcome, ErrLeaseExpired or ErrValueTooLarge.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (Entry, error)
	// CompareAndDelete removes the key if its revision equals expected.
	CompareAndDelete(ctx context.Context, key string, expected int64) error
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its remaining time, counted from before the call. It returns
	// ErrLeaseExpired if the lease no longer exists.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls changed for each written or deleted key with the prefix, until ctx ends or the watch breaks.
	// Events may be missed, so the receiver has to read the record again.
	Watch(ctx context.Context, prefix string, changed func(key string)) error
}
