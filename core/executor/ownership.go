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
	// Process names the process that wrote the claim.
	Process string `json:"process"`
	// Held says that the process may send orders; a claim that is not held was given up by its writer.
	Held bool `json:"held"`
}

type ownershipPhase uint8

const (
	ownNone ownershipPhase = iota
	ownGrant
	ownTake
	ownHeld
	ownRelease
)

// ownership is the lease on a target's key: whoever holds it is the only process that sends orders to an engine that
// ignores fencing numbers. It is taken for one order and released after it, so that an idle fleet makes no calls.
type ownership struct {
	key     string
	process string
	ttl     time.Duration

	phase ownershipPhase
	// free says that the predecessor gave its claim up, so that its orders are over.
	free     bool
	expected int64
	lease    waxwingpick.LeaseID
	// grantedAt is when the last grant or renewal was asked for; the lease lasts at least until grantedAt plus ttl.
	grantedAt time.Time
	// usableAt is when no predecessor can believe any more that it holds the lease.
	usableAt time.Time
	retryAt  time.Time
	// failures counts the failed calls since the last good one.
	failures int
}

// deadline is the time until which the process may count on the lease.
func (o *ownership) deadline() time.Time {
	return o.grantedAt.Add(o.ttl)
}

// held reports whether the lease lasts at least until a time.
func (o *ownership) held(until time.Time) bool {
	return o.phase == ownHeld && until.Before(o.deadline())
}

// acquire returns the next call towards a usable lease that lasts for need; ok is false where it is usable.
func (o *ownership) acquire(now time.Time, need time.Duration) (call kvcall.Call, ok bool) {
	if o.phase == ownHeld && !now.Before(o.deadline()) {
		o.drop(now)
	}
	if now.Before(o.retryAt) {
		return kvcall.WaitUntil(o.retryAt), true
	}
	switch o.phase {
	case ownNone:
		return kvcall.Read(o.key), true
	case ownGrant:
		return kvcall.Call{
			Kind: kvcall.Grant,
			TTL:  o.ttl,
		}, true
	case ownTake:
		return o.write(true, o.lease), true
	case ownHeld:
		return o.keep(now, need)
	case ownRelease:
		return o.write(false, 0), true
	}
	panic("unknown ownership phase")
}

// keep renews the lease while its holder waits for its predecessor's time to end.
func (o *ownership) keep(now time.Time, need time.Duration) (kvcall.Call, bool) {
	renewal := o.grantedAt.Add(o.ttl / 3)
	if !o.held(now.Add(need)) || (now.Before(o.usableAt) && !now.Before(renewal)) {
		return kvcall.Call{
			Kind:  kvcall.KeepAlive,
			Lease: o.lease,
		}, true
	}
	if now.Before(o.usableAt) {
		return kvcall.WaitUntil(sooner(o.usableAt, renewal)), true
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

// apply takes the result of the call; delay is the wait before the next try after a failure.
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
		o.phase = ownTake
	case kvcall.KeepAlive:
		o.grantedAt = r.Started
	case kvcall.CompareAndSwap:
		o.applyWrite(now, r.Entry.Revision)
	case kvcall.Wait, kvcall.Revoke:
	}
}

func (o *ownership) applyRead(now time.Time, e waxwingpick.Entry, delay time.Duration) {
	o.expected = e.Revision
	o.free = false
	if e.Exists() {
		var c claim
		if json.Unmarshal(e.Value, &c) != nil || c.Held {
			o.retryAt = now.Add(delay)
			return
		}
		o.free = true
	}
	o.phase = ownGrant
}

func (o *ownership) applyWrite(now time.Time, revision int64) {
	if o.phase == ownRelease {
		o.drop(now)
		return
	}
	o.phase = ownHeld
	o.expected = revision
	o.usableAt = now
	if !o.free {
		o.usableAt = now.Add(o.ttl)
	}
}

// applyError gives up what is uncertain: a claim whose write was not answered lapses with its lease.
func (o *ownership) applyError(now time.Time, call kvcall.Call, err error, delay time.Duration) {
	renewal := call.Kind == kvcall.KeepAlive
	if renewal && !errors.Is(err, waxwingpick.ErrLeaseExpired) {
		o.retryAt = now.Add(min(delay, o.ttl/6))
		return
	}
	o.drop(now.Add(delay))
}

// release gives the claim up; the process sends no order under it from here on, whatever becomes of the write.
func (o *ownership) release() {
	if o.phase == ownHeld {
		o.phase = ownRelease
		o.retryAt = time.Time{}
	}
}

func (o *ownership) drop(retryAt time.Time) {
	o.phase = ownNone
	o.lease = 0
	o.retryAt = retryAt
}

// busy reports whether a claim is held or on its way out.
func (o *ownership) busy() bool {
	return o.phase == ownHeld || o.phase == ownRelease
}

func sooner(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
