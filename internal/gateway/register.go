package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"waxwingpick"
)

const (
	// peerLease is how long a gateway that ended stays listed.
	peerLease = 12 * time.Second
	// renewPeriod is the time between two renewals of the own entry; one may fail before the lease ends.
	renewPeriod = 4 * time.Second
	// registerRetry is the time before an entry that could not be written or renewed is tried again.
	registerRetry = time.Second
	// registerCheck is the time between two looks whether that is due.
	registerCheck = 200 * time.Millisecond
	// storeTime bounds the calls for one registration.
	storeTime = 2 * time.Second
)

// registration keeps the own address listed for the other gateways, under a lease.
type registration struct {
	process *Process
	kv      waxwingpick.KeyValue
	key     string
	addr    string

	mu    sync.Mutex
	lease waxwingpick.LeaseID
	due   time.Time
	busy  bool
}

func newRegistration(p *Process) *registration {
	return &registration{
		process: p,
		kv:      p.options.KeyValue,
		key:     peerKey(p.options.Zone, p.options.Instance),
		addr:    p.options.PeerAddr,
	}
}

// lapsed has the entry written anew at once, since it is gone.
func (r *registration) lapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = 0
	r.due = time.Time{}
}

// look writes or renews the entry where that is due.
func (r *registration) look(now time.Time) {
	r.mu.Lock()
	if r.busy || now.Before(r.due) {
		r.mu.Unlock()
		return
	}
	r.busy = true
	lease := r.lease
	r.mu.Unlock()

	ctx, cancel := context.WithTimeout(r.process.lifecycle, storeTime)
	defer cancel()
	next, err := r.write(ctx, lease)
	if err != nil {
		r.process.log.WithField("error", err.Error()).Debug("own address not listed for other gateways")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
	if r.lease == lease {
		r.lease = next
	}
	r.due = now.Add(renewPeriod)
	if err != nil || r.lease == 0 {
		r.due = now.Add(registerRetry)
	}
}

// write renews the lease of the entry, or writes the entry under a new one, and returns the lease.
func (r *registration) write(ctx context.Context, lease waxwingpick.LeaseID) (waxwingpick.LeaseID, error) {
	if lease != 0 {
		_, err := r.kv.KeepAlive(ctx, lease)
		switch {
		case err == nil:
			return lease, nil
		case !errors.Is(err, waxwingpick.ErrLeaseExpired):
			return lease, fmt.Errorf("renew own address: %w", err)
		}
	}
	lease, err := r.kv.Grant(ctx, peerLease)
	if err != nil {
		return 0, fmt.Errorf("list own address: %w", err)
	}
	_, err = r.kv.CompareAndSwap(ctx, r.key, 0, []byte(r.addr), lease)
	if errors.Is(err, waxwingpick.ErrConflict) {
		var before waxwingpick.Entry
		if before, err = r.kv.Get(ctx, r.key); err == nil {
			_, err = r.kv.CompareAndSwap(ctx, r.key, before.Revision, []byte(r.addr), lease)
		}
	}
	if err != nil {
		return 0, fmt.Errorf("list own address: %w", err)
	}
	return lease, nil
}
