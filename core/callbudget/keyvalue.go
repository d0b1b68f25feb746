package callbudget

import (
	"context"
	"time"

	"waxwingpick"
)

// pass sends one call if the budget admits it.
func pass[T any](c *Client, kind waxwingpick.KeyValueCall, call func() (T, error)) (T, error) {
	if err := c.admit(kind); err != nil {
		var none T
		return none, err
	}
	value, err := call()
	c.record(kind, err)
	return value, err
}

// passError sends one call that returns only an error.
func passError(c *Client, kind waxwingpick.KeyValueCall, call func() error) error {
	_, err := pass(c, kind, func() (struct{}, error) {
		return struct{}{}, call()
	})
	return err
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (waxwingpick.Entry, error) {
	return pass(c, waxwingpick.CallGet, func() (waxwingpick.Entry, error) {
		return c.kv.Get(ctx, key)
	})
}

// List reads at most limit keys with the prefix in key order.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]waxwingpick.Entry, error) {
	return pass(c, waxwingpick.CallList, func() ([]waxwingpick.Entry, error) {
		return c.kv.List(ctx, prefix, limit)
	})
}

// GetSince reads a key that was written after a revision.
func (c *Client) GetSince(ctx context.Context, key string, after int64) (waxwingpick.Entry, error) {
	return pass(c, waxwingpick.CallGet, func() (waxwingpick.Entry, error) {
		return c.kv.GetSince(ctx, key, after)
	})
}

// ListSince reads at most limit keys with the prefix that were written after a revision, in key order.
func (c *Client) ListSince(ctx context.Context, prefix string, after int64, limit int) ([]waxwingpick.Entry, error) {
	return pass(c, waxwingpick.CallList, func() ([]waxwingpick.Entry, error) {
		return c.kv.ListSince(ctx, prefix, after, limit)
	})
}

// CompareAndSwap writes the key if its revision is the expected one.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease waxwingpick.LeaseID) (waxwingpick.Entry, error) {
	return pass(c, waxwingpick.CallSwap, func() (waxwingpick.Entry, error) {
		return c.kv.CompareAndSwap(ctx, key, expected, value, lease)
	})
}

// CompareAndDelete removes the key if its revision is the expected one.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expected int64) error {
	return passError(c, waxwingpick.CallDelete, func() error {
		return c.kv.CompareAndDelete(ctx, key, expected)
	})
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (waxwingpick.LeaseID, error) {
	return pass(c, waxwingpick.CallGrant, func() (waxwingpick.LeaseID, error) {
		return c.kv.Grant(ctx, ttl)
	})
}

// KeepAlive renews a lease once.
func (c *Client) KeepAlive(ctx context.Context, lease waxwingpick.LeaseID) (time.Duration, error) {
	return pass(c, waxwingpick.CallKeepAlive, func() (time.Duration, error) {
		return c.kv.KeepAlive(ctx, lease)
	})
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease waxwingpick.LeaseID) error {
	return passError(c, waxwingpick.CallRevoke, func() error {
		return c.kv.Revoke(ctx, lease)
	})
}

// Watch watches the keys with the prefix. A broken watch says nothing about other calls, so it does not change the
// circuit's state. While the circuit is not closed, it is rejected.
func (c *Client) Watch(ctx context.Context, prefix string, changed func(key string)) error {
	if err := c.admit(waxwingpick.CallWatch); err != nil {
		return err
	}
	return c.kv.Watch(ctx, prefix, changed)
}
