package memkv

import (
	"context"
	"fmt"
	"sync"
	"time"

	"waxwingpick"
)

var _ waxwingpick.KeyValue = (*Client)(nil)

// Client is the connection of one process to the service, with its own faults.
type Client struct {
	store *Store

	mu   sync.Mutex
	cut  bool
	fate func(kind waxwingpick.KeyValueCall) Fault
}

// SetPartitioned partitions the client from the service, or ends that. Calls then fail without reaching the service.
func (c *Client) SetPartitioned(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// SetFault makes fn decide the fault of each call of the client. With nil no call has a fault.
func (c *Client) SetFault(fn func(kind waxwingpick.KeyValueCall) Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fate = fn
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (waxwingpick.Entry, error) {
	return c.GetSince(ctx, key, 0)
}

// List reads at most limit keys with the prefix in key order.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]waxwingpick.Entry, error) {
	return c.ListSince(ctx, prefix, 0, limit)
}

// GetSince reads a key that was written after a revision.
func (c *Client) GetSince(ctx context.Context, key string, after int64) (waxwingpick.Entry, error) {
	return run(ctx, c, waxwingpick.CallGet, func() (waxwingpick.Entry, error) {
		return c.store.get(key, after), nil
	})
}

// ListSince reads at most limit keys with the prefix that were written after a revision, in key order.
func (c *Client) ListSince(ctx context.Context, prefix string, after int64, limit int) ([]waxwingpick.Entry, error) {
	return run(ctx, c, waxwingpick.CallList, func() ([]waxwingpick.Entry, error) {
		return c.store.list(prefix, after, limit), nil
	})
}

// CompareAndSwap writes the key if its revision is the expected one.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease waxwingpick.LeaseID) (waxwingpick.Entry, error) {
	return run(ctx, c, waxwingpick.CallSwap, func() (waxwingpick.Entry, error) {
		return c.store.swap(key, expected, value, lease)
	})
}

// CompareAndDelete removes the key if its revision is the expected one.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expected int64) error {
	_, err := run(ctx, c, waxwingpick.CallDelete, func() (struct{}, error) {
		return struct{}{}, c.store.remove(key, expected)
	})
	return err
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (waxwingpick.LeaseID, error) {
	return run(ctx, c, waxwingpick.CallGrant, func() (waxwingpick.LeaseID, error) {
		return c.store.grant(ttl)
	})
}

// KeepAlive renews a lease once and returns the remaining time. The duration of the call is subtracted.
func (c *Client) KeepAlive(ctx context.Context, lease waxwingpick.LeaseID) (time.Duration, error) {
	start := c.store.timers.Now()
	ttl, err := run(ctx, c, waxwingpick.CallKeepAlive, func() (time.Duration, error) {
		return c.store.keepAlive(lease)
	})
	if err != nil {
		return 0, err
	}
	return ttl - c.store.timers.Now().Sub(start), nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease waxwingpick.LeaseID) error {
	_, err := run(ctx, c, waxwingpick.CallRevoke, func() (struct{}, error) {
		return struct{}{}, c.store.revoke(lease)
	})
	return err
}

// Watch calls changed for each changed key with the prefix, until ctx ends or the watch breaks.
func (c *Client) Watch(ctx context.Context, prefix string, changed func(key string)) error {
	w, err := c.Open(ctx, prefix)
	if err != nil {
		return err
	}
	defer w.Close()
	for {
		keys, err := w.Next(ctx)
		if err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
		for _, key := range keys {
			changed(key)
		}
	}
}

// Open opens a watch on the keys with the prefix. The caller has to close it.
func (c *Client) Open(ctx context.Context, prefix string) (*Watch, error) {
	return run(ctx, c, waxwingpick.CallWatch, func() (*Watch, error) {
		return c.store.open(prefix), nil
	})
}

// admit returns the fault of a call. A fault of the service takes precedence over one of the client, unless the client
// is partitioned or rejects the call.
func (c *Client) admit(kind waxwingpick.KeyValueCall) (Fault, time.Duration, error) {
	c.mu.Lock()
	cut, fate := c.cut, c.fate
	c.mu.Unlock()
	if cut {
		return FaultUnavailable, 0, waxwingpick.ErrUnavailable
	}
	clientFate := FaultNone
	if fate != nil {
		clientFate = fate(kind)
	}
	if clientFate == FaultUnavailable {
		return clientFate, 0, waxwingpick.ErrUnavailable
	}
	service, delay, err := c.store.admit(kind)
	if service != FaultNone {
		return service, delay, err
	}
	return clientFate, delay, nil
}

// run runs a call with its fault.
func run[T any](ctx context.Context, c *Client, kind waxwingpick.KeyValueCall, op func() (T, error)) (T, error) {
	var none T
	if err := ctx.Err(); err != nil {
		return none, fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrUnavailable, err)
	}
	fate, delay, refusal := c.admit(kind)
	switch fate {
	case FaultNone:
		return delayed(ctx, c.store, kind, delay, op)
	case FaultUnavailable:
		return none, fmt.Errorf("%s: %w", kind, refusal)
	case FaultLoseRequest:
		return none, lostError(kind)
	case FaultLoseResponse:
		_, _ = delayed(ctx, c.store, kind, delay, op)
		return none, lostError(kind)
	case FaultDefer:
		c.store.deferCall(func() {
			_, _ = op()
		})
		return none, lostError(kind)
	}
	panic("unknown fault of a call")
}

// delayed runs op after the delay, even if ctx ends first.
func delayed[T any](ctx context.Context, s *Store, kind waxwingpick.KeyValueCall, delay time.Duration, op func() (T, error)) (T, error) {
	if delay <= 0 {
		return op()
	}
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	s.timers.After(delay, func(time.Time) {
		value, err := op()
		results <- result{
			value: value,
			err:   err,
		}
	})
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, fmt.Errorf("%w: %w", lostError(kind), ctx.Err())
	}
}

// lostError returns the error of a call whose response did not arrive.
func lostError(kind waxwingpick.KeyValueCall) error {
	if kind.Writes() {
		return fmt.Errorf("%s: %w", kind, waxwingpick.ErrUnknownOutcome)
	}
	return fmt.Errorf("%s: %w", kind, waxwingpick.ErrUnavailable)
}
