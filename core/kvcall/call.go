package kvcall

import (
	"context"
	"time"

	"waxwingpick"
)

// Kind is the operation of a Call.
type Kind uint8

// The operations of a Call.
const (
	// Wait means that no call is needed until Call.Until.
	Wait Kind = iota
	Get
	CompareAndSwap
	Grant
	KeepAlive
	Revoke
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Wait:
		return "wait"
	case Get:
		return "get"
	case CompareAndSwap:
		return "compareAndSwap"
	case Grant:
		return "grant"
	case KeepAlive:
		return "keepAlive"
	case Revoke:
		return "revoke"
	}
	return "unknown"
}

// Call is one operation. Only the fields of its kind are set.
type Call struct {
	Kind     Kind
	Until    time.Time
	Key      string
	Expected int64
	Value    []byte
	Lease    waxwingpick.LeaseID
	TTL      time.Duration
}

// Result is the result of a Call.
type Result struct {
	Entry waxwingpick.Entry
	Lease waxwingpick.LeaseID
	// Started is when the call was requested; the remaining time of a lease counts from it. It is set by the state
	// machine.
	Started time.Time
	Err     error
}

// WaitUntil returns a Call that performs no operation until a time.
func WaitUntil(until time.Time) Call {
	return Call{
		Kind:  Wait,
		Until: until,
	}
}

// Read returns a Call that reads a key.
func Read(key string) Call {
	return Call{
		Kind: Get,
		Key:  key,
	}
}

// Do performs the call on a key-value service. Wait returns an empty Result immediately.
func (c Call) Do(ctx context.Context, kv waxwingpick.KeyValue) Result {
	var r Result
	switch c.Kind {
	case Wait:
	case Get:
		r.Entry, r.Err = kv.Get(ctx, c.Key)
	case CompareAndSwap:
		r.Entry, r.Err = kv.CompareAndSwap(ctx, c.Key, c.Expected, c.Value, c.Lease)
	case Grant:
		r.Lease, r.Err = kv.Grant(ctx, c.TTL)
	case KeepAlive:
		_, r.Err = kv.KeepAlive(ctx, c.Lease)
	case Revoke:
		r.Err = kv.Revoke(ctx, c.Lease)
	}
	return r
}
