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
	// peerLeaseTTL is how long a gateway stays listed after it ends.
	peerLeaseTTL = 12 * time.Second
	// renewInterval is the time between two renewals of the entry; one may fail before the lease ends.
	renewInterval = 4 * time.Second
	// registerRetryDelay is the delay before writing or renewing the entry is retried.
	registerRetryDelay = time.Second
	// registerCheckInterval is the time between two checks whether a renewal is due.
	registerCheckInterval = 200 * time.Millisecond
	// registerTimeout bounds the calls for one registration.
	registerTimeout = 2 * time.Second
)

// registration keeps this process's address listed for the other gateways, under a lease.
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

// entryRemoved schedules the entry to be written again immediately.
func (r *registration) entryRemoved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = 0
	r.due = time.Time{}
}

// renewIfDue writes or renews the entry when that is due.
func (r *registration) renewIfDue(now time.Time) {
	r.mu.Lock()
	if r.busy || now.Before(r.due) {
		r.mu.Unlock()
		return
	}
	r.busy = true
	lease := r.lease
	r.mu.Unlock()

	ctx, cancel := context.WithTimeout(r.process.lifecycle, registerTimeout)
	defer cancel()
	next, err := r.write(ctx, lease)
	if err != nil {
		r.process.log.WithField("error", err.Error()).Debug("registration of the peer address failed")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
	if r.lease == lease {
		r.lease = next
	}
	r.due = now.Add(renewInterval)
	if err != nil || r.lease == 0 {
		r.due = now.Add(registerRetryDelay)
	}
}

// write renews the lease of the entry, or writes the entry under a new lease. It returns the lease in use.
func (r *registration) write(ctx context.Context, lease waxwingpick.LeaseID) (waxwingpick.LeaseID, error) {
	if lease != 0 {
		_, err := r.kv.KeepAlive(ctx, lease)
		switch {
		case err == nil:
			return lease, nil
		case !errors.Is(err, waxwingpick.ErrLeaseExpired):
			return lease, fmt.Errorf("renew registration: %w", err)
		}
	}
	lease, err := r.kv.Grant(ctx, peerLeaseTTL)
	if err != nil {
		return 0, fmt.Errorf("register address: %w", err)
	}
	_, err = r.kv.CompareAndSwap(ctx, r.key, 0, []byte(r.addr), lease)
	if errors.Is(err, waxwingpick.ErrConflict) {
		var current waxwingpick.Entry
		if current, err = r.kv.Get(ctx, r.key); err == nil {
			_, err = r.kv.CompareAndSwap(ctx, r.key, current.Revision, []byte(r.addr), lease)
		}
	}
	if err != nil {
		return 0, fmt.Errorf("register address: %w", err)
	}
	return lease, nil
}
