package authority_test

import (
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
)

// leaseHolder is a naive authority. It writes the plan whenever it holds the lease, and reads the plan again after a
// failed write. It relies on the lease and never raises the plan's epoch.
type leaseHolder struct {
	self    waxwingpick.InstanceID
	nextID  func() string
	lease   waxwingpick.LeaseID
	held    bool
	base    plan.Record
	known   bool
	rev     int64
	desired plan.Desired
	pending kvcall.Call
	renewAt time.Time
}

func newLeaseHolder(self waxwingpick.InstanceID, ids func() string) *leaseHolder {
	return &leaseHolder{
		self:   self,
		nextID: ids,
	}
}

func (l *leaseHolder) Holds() bool {
	return l.held
}

func (l *leaseHolder) SetDesired(d plan.Desired) {
	l.desired = d
}

func (l *leaseHolder) Hint(plan.Record) {}

func (l *leaseHolder) Next(now time.Time) kvcall.Call {
	l.pending = l.choose(now)
	return l.pending
}

func (l *leaseHolder) choose(now time.Time) kvcall.Call {
	switch {
	case l.lease == 0:
		return kvcall.Call{
			Kind: kvcall.Grant,
			TTL:  plan.DefaultLeaseTTL,
		}
	case !l.held:
		return kvcall.Call{
			Kind:  kvcall.CompareAndSwap,
			Key:   plan.AuthorityKey(service),
			Value: []byte(l.self),
			Lease: l.lease,
		}
	case !now.Before(l.renewAt):
		return kvcall.Call{
			Kind:  kvcall.KeepAlive,
			Lease: l.lease,
		}
	case !l.known:
		return kvcall.Read(plan.Key(service))
	}
	next, changed := plan.Reconcile(l.base, l.desired)
	if !changed {
		return kvcall.WaitUntil(l.renewAt)
	}
	next.Service = service
	next.Revision++
	next.Epoch = max(next.Epoch, 1)
	next.Holder = "any"
	next.ChangeID = l.nextID()
	return kvcall.Call{
		Kind:     kvcall.CompareAndSwap,
		Key:      plan.Key(service),
		Expected: l.rev,
		Value:    mustJSON(next),
	}
}

func (l *leaseHolder) Apply(now time.Time, r kvcall.Result) {
	switch {
	case errors.Is(r.Err, waxwingpick.ErrLeaseExpired):
		l.lease = 0
		l.held = false
		l.known = false
	case l.pending.Kind == kvcall.Grant:
		l.lease = r.Lease
	case l.pending.Kind == kvcall.KeepAlive:
		l.renewAt = now.Add(time.Second)
	case l.pending.Kind == kvcall.Get && r.Err == nil:
		l.known = true
		l.rev = r.Entry.Revision
		if rec, err := plan.Decode(service, r.Entry.Value); err == nil {
			l.base = rec
		} else {
			l.base.NextOrder = 1
		}
	case l.pending.Key == plan.Key(service):
		l.known = false
	case l.pending.Key == plan.AuthorityKey(service):
		l.held = r.Err == nil
	}
}
