package executor

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/core/kvcall"
)

// KeyPrefix is the prefix of the targets' ownership keys in the key-value service.
const KeyPrefix = "waxwingpick/sidecar/"

// Key returns the ownership key of a target.
func Key(target waxwingpick.TargetID) string {
	return KeyPrefix + string(target)
}

// claim is the value of an ownership key.
type claim struct {
	// Process is the name of the process that wrote the claim.
	Process string `json:"process"`
	// Held means that the process may send orders. A claim that is not held was released by its writer.
	Held bool `json:"held"`
}

type ownershipPhase uint8

const (
	claimNone ownershipPhase = iota
	claimGranting
	claimWriting
	claimHeld
	claimReleasing
)

// ownership is the lease on a target's key. Its holder is the only process that sends orders to an engine that ignores
// fencing numbers. It is acquired for one order and released after it, so that an idle fleet makes no calls.
type ownership struct {
	key     string
	process string
	ttl     time.Duration

	phase ownershipPhase
	// released means that the predecessor released its claim, so that none of its orders is in transit.
	released bool
	expected int64
	lease    waxwingpick.LeaseID
	// grantedAt is when the last grant or renewal was requested. The lease lasts at least until grantedAt plus ttl.
	grantedAt time.Time
	// usableAt is when a predecessor's lease has certainly expired.
	usableAt time.Time
	retryAt  time.Time
	// failures is the number of consecutive failed calls.
	failures int
}

// deadline returns the time until which the process may rely on the lease.
func (o *ownership) deadline() time.Time {
	return o.grantedAt.Add(o.ttl)
}

// held reports whether the lease lasts beyond a time.
func (o *ownership) held(until time.Time) bool {
	return o.phase == claimHeld && until.Before(o.deadline())
}

// acquire returns the next call needed for a usable lease that lasts for the duration need. ok is false if the lease is
// usable.
func (o *ownership) acquire(now time.Time, need time.Duration) (call kvcall.Call, ok bool) {
	if o.phase == claimHeld && !now.Before(o.deadline()) {
		o.reset(now)
	}
	if now.Before(o.retryAt) {
		return kvcall.WaitUntil(o.retryAt), true
	}
	switch o.phase {
	case claimNone:
		return kvcall.Read(o.key), true
	case claimGranting:
		return kvcall.Call{
			Kind: kvcall.Grant,
			TTL:  o.ttl,
		}, true
	case claimWriting:
		return o.write(true, o.lease), true
	case claimHeld:
		return o.renew(now, need)
	case claimReleasing:
		return o.write(false, 0), true
	}
	panic("unknown ownership phase")
}

// renew renews the lease while its holder waits until its predecessor's lease has expired.
func (o *ownership) renew(now time.Time, need time.Duration) (kvcall.Call, bool) {
	renewal := o.grantedAt.Add(o.ttl / 3)
	if !o.held(now.Add(need)) || (now.Before(o.usableAt) && !now.Before(renewal)) {
		return kvcall.Call{
			Kind:  kvcall.KeepAlive,
			Lease: o.lease,
		}, true
	}
	if now.Before(o.usableAt) {
		return kvcall.WaitUntil(earlier(o.usableAt, renewal)), true
	}
	return kvcall.Call{}, false
}

func (o *ownership) write(held bool, lease waxwingpick.LeaseID) kvcall.Call {
	value, err := json.Marshal(claim{
		Process: o.process,
		Held:    held,
	})
	if err != nil {
		panic(fmt.Sprintf("encode claim: %v", err))
	}
	return kvcall.Call{
		Kind:     kvcall.CompareAndSwap,
		Key:      o.key,
		Expected: o.expected,
		Value:    value,
		Lease:    lease,
	}
}

// apply handles the result of the call. delay is the wait before the next attempt after a failure.
func (o *ownership) apply(now time.Time, call kvcall.Call, r kvcall.Result, delay time.Duration) {
	if r.Err != nil && !errors.Is(r.Err, waxwingpick.ErrConflict) {
		o.failures++
	}
	if r.Err != nil {
		o.applyError(now, call, r.Err, delay)
		return
	}
	o.failures = 0
	switch call.Kind {
	case kvcall.Get:
		o.applyRead(now, r.Entry, delay)
	case kvcall.Grant:
		o.lease = r.Lease
		o.grantedAt = r.Started
		o.phase = claimWriting
	case kvcall.KeepAlive:
		o.grantedAt = r.Started
	case kvcall.CompareAndSwap:
		o.applyWrite(now, r.Entry.Revision)
	case kvcall.Wait, kvcall.Revoke:
	}
}

func (o *ownership) applyRead(now time.Time, e waxwingpick.Entry, delay time.Duration) {
	o.expected = e.Revision
	o.released = false
	if e.Exists() {
		var c claim
		if json.Unmarshal(e.Value, &c) != nil || c.Held {
			o.retryAt = now.Add(delay)
			return
		}
		o.released = true
	}
	o.phase = claimGranting
}

func (o *ownership) applyWrite(now time.Time, revision int64) {
	if o.phase == claimReleasing {
		o.reset(now)
		return
	}
	o.phase = claimHeld
	o.expected = revision
	o.usableAt = now
	if !o.released {
		o.usableAt = now.Add(o.ttl)
	}
}

// applyError resets the claim when its state is uncertain. A claim whose write got no response expires with its lease.
func (o *ownership) applyError(now time.Time, call kvcall.Call, err error, delay time.Duration) {
	renewal := call.Kind == kvcall.KeepAlive
	if renewal && !errors.Is(err, waxwingpick.ErrLeaseExpired) {
		o.retryAt = now.Add(min(delay, o.ttl/6))
		return
	}
	o.reset(now.Add(delay))
}

// release releases the claim. The process sends no order under it from here on, even if the write fails.
func (o *ownership) release() {
	if o.phase == claimHeld {
		o.phase = claimReleasing
		o.retryAt = time.Time{}
	}
}

func (o *ownership) reset(retryAt time.Time) {
	o.phase = claimNone
	o.lease = 0
	o.retryAt = retryAt
}

// busy reports whether a claim is held or being released.
func (o *ownership) busy() bool {
	return o.phase == claimHeld || o.phase == claimReleasing
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
