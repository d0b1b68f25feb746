package kvcall

import (
	"context"
	"time"

	"waxwingpick"
)

// Kind tells which operation a Call names.
type Kind uint8

// The kinds of calls.
const (
	// Wait asks for no call until Call.Until.
	Wait Kind = iota
	Get
	CompareAndSwap
	Grant
	KeepAlive
	Revoke
)

// String returns the operation's name for logs and metrics.
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

// Call is one operation; only the fields of its kind are set.
type Call struct {
	Kind     Kind
	Until    time.Time
	Key      string
	Expected int64
	Value    []byte
	Lease    waxwingpick.LeaseID
	TTL      time.Duration
}

// Result is what came of a Call.
type Result struct {
	Entry waxwingpick.Entry
	Lease waxwingpick.LeaseID
	// Started is when the call was asked for; a lease's remaining time counts from it. The state machine sets it.
	Started time.Time
	Err     error
}

// WaitUntil returns the call that asks for nothing until a time.
func WaitUntil(until time.Time) Call {
	return Call{
		Kind:  Wait,
		Until: until,
	}
}

// Read returns the call that reads a key.
func Read(key string) Call {
	return Call{
		Kind: Get,
		Key:  key,
	}
}

// Do makes the call on a key-value service.
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
