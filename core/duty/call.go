package duty

import (
	"fmt"
	"time"

	"waxwingpick"
)

// Kind is the kind of a Call.
type Kind uint8

// The kinds of calls.
const (
	// Grant creates a lease of the TTL.
	Grant Kind = iota + 1
	// Write writes the key under the lease if its revision is the expected one.
	Write
	// Read reads the key.
	Read
	// Renew renews the lease.
	Renew
	// Revoke ends the lease.
	Revoke
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Grant:
		return "grant"
	case Write:
		return "write"
	case Read:
		return "read"
	case Renew:
		return "renew"
	case Revoke:
		return "revoke"
	default:
		return fmt.Sprintf("Kind(%d)", uint8(k))
	}
}

// Call is a call to the key-value service.
type Call struct {
	Kind Kind
	// Lease is set for Write, Renew and Revoke.
	Lease waxwingpick.LeaseID
	// Expected and Value are the compare-and-swap of Write.
	Expected int64
	Value    []byte
	// TTL is the duration of the lease of Grant.
	TTL time.Duration
	// SentAt is the time at which Next returned the call.
	SentAt time.Time
	// number identifies the call among those of its machine.
	number uint64
}

// Result is the result of a Call.
type Result struct {
	// Entry is the result of Write and Read.
	Entry waxwingpick.Entry
	// Lease is the result of Grant.
	Lease waxwingpick.LeaseID
	// TTL is the remaining time of the lease after Renew, counted from before the call. After Grant it is the granted time, or zero
	// for the time that was asked for.
	TTL time.Duration
	// Err is nil or one of the errors of waxwingpick.KeyValue. Any other error counts as an unknown outcome.
	Err error
}
