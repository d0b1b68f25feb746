package etcd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"waxwingpick"
	"waxwingpick/internal/etcdwire"
)

// call sends one request and decodes its response.
func call[Res any](ctx context.Context, c *Client, kind waxwingpick.KeyValueCall, path string, req any) (Res, error) {
	var res Res
	if err := ctx.Err(); err != nil {
		return res, fmt.Errorf("%s: %w: %w", kind, waxwingpick.ErrUnavailable, err)
	}
	body, err := json.Marshal(req)
	if err != nil {
		return res, fmt.Errorf("%s: encode request: %w", kind, err)
	}
	status, content, err := c.exchange(ctx, path, body)
	if err != nil {
		return res, exchangeError(kind, err)
	}
	if status != http.StatusOK {
		return res, responseError(kind, newStatusError(status, content))
	}
	if err := json.Unmarshal(content, &res); err != nil {
		return res, exchangeError(kind, fmt.Errorf("decode response: %w", err))
	}
	return res, nil
}

// Get returns the entry of a key by a linearizable read.
func (c *Client) Get(ctx context.Context, key string) (waxwingpick.Entry, error) {
	return c.GetSince(ctx, key, 0)
}

// GetSince returns the entry of a key by a linearizable read, empty if it was last written at or before the revision
// after.
func (c *Client) GetSince(ctx context.Context, key string, after int64) (waxwingpick.Entry, error) {
	res, err := call[etcdwire.RangeResponse](ctx, c, waxwingpick.CallGet, etcdwire.PathRange, etcdwire.RangeRequest{
		Key:            []byte(key),
		MinModRevision: minRevision(after),
	})
	if err != nil {
		return waxwingpick.Entry{}, err
	}
	if len(res.Kvs) == 0 {
		return waxwingpick.Entry{
			Key: key,
		}, nil
	}
	return entry(res.Kvs[0]), nil
}

// List returns at most limit entries whose keys have the prefix, in key order.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]waxwingpick.Entry, error) {
	return c.ListSince(ctx, prefix, 0, limit)
}

// minRevision returns the minimum modification revision of entries written after the given revision. Zero means no
// minimum.
func minRevision(after int64) int64 {
	if after <= 0 {
		return 0
	}
	return after + 1
}

// ListSince returns at most limit entries whose keys have the prefix and that were written after a revision, in key
// order.
func (c *Client) ListSince(ctx context.Context, prefix string, after int64, limit int) ([]waxwingpick.Entry, error) {
	if limit <= 0 {
		return nil, nil
	}
	req := prefixRange(prefix)
	req.Limit = int64(limit)
	req.MinModRevision = minRevision(after)
	res, err := call[etcdwire.RangeResponse](ctx, c, waxwingpick.CallList, etcdwire.PathRange, req)
	if err != nil {
		return nil, err
	}
	entries := make([]waxwingpick.Entry, 0, len(res.Kvs))
	for _, kv := range res.Kvs {
		entries = append(entries, entry(kv))
	}
	return entries, nil
}

// CompareAndSwap writes the key if its modification revision equals expected.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease waxwingpick.LeaseID) (waxwingpick.Entry, error) {
	if len(value) > waxwingpick.MaxValueSize {
		return waxwingpick.Entry{}, fmt.Errorf("swap of %d bytes: %w", len(value), waxwingpick.ErrValueTooLarge)
	}
	res, err := c.txn(ctx, waxwingpick.CallSwap, key, expected, etcdwire.RequestOp{
		RequestPut: &etcdwire.PutRequest{
			Key:   []byte(key),
			Value: value,
			Lease: int64(lease),
		},
	})
	if err != nil {
		return waxwingpick.Entry{}, err
	}
	return waxwingpick.Entry{
		Key:      key,
		Value:    append([]byte(nil), value...),
		Revision: res.Header.Revision,
	}, nil
}

// CompareAndDelete deletes the key if its modification revision equals expected.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expected int64) error {
	_, err := c.txn(ctx, waxwingpick.CallDelete, key, expected, etcdwire.RequestOp{
		RequestDeleteRange: &etcdwire.DeleteRangeRequest{
			Key: []byte(key),
		},
	})
	return err
}

func (c *Client) txn(ctx context.Context, kind waxwingpick.KeyValueCall, key string, expected int64, op etcdwire.RequestOp) (etcdwire.TxnResponse, error) {
	res, err := call[etcdwire.TxnResponse](ctx, c, kind, etcdwire.PathTxn, etcdwire.TxnRequest{
		Compare: []etcdwire.Compare{
			{
				Result:      etcdwire.ResultEqual,
				Target:      etcdwire.TargetMod,
				Key:         []byte(key),
				ModRevision: expected,
			},
		},
		Success: []etcdwire.RequestOp{op},
	})
	if err != nil {
		return res, err
	}
	if !res.Succeeded {
		return res, fmt.Errorf("%s %s at %d: %w", kind, key, expected, waxwingpick.ErrConflict)
	}
	return res, nil
}

// Grant creates a lease. The TTL is rounded up to full seconds, the unit of the service.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (waxwingpick.LeaseID, error) {
	res, err := call[etcdwire.Lease](ctx, c, waxwingpick.CallGrant, etcdwire.PathGrant, etcdwire.Lease{
		TTL: int64((ttl + time.Second - 1) / time.Second),
	})
	if err != nil {
		return 0, err
	}
	return waxwingpick.LeaseID(res.ID), nil
}

// KeepAlive renews a lease once and returns its remaining time, reduced by the duration of the call.
func (c *Client) KeepAlive(ctx context.Context, lease waxwingpick.LeaseID) (time.Duration, error) {
	start := c.timers.Now()
	res, err := call[etcdwire.KeepAliveResponse](ctx, c, waxwingpick.CallKeepAlive, etcdwire.PathKeepAlive, etcdwire.Lease{
		ID: int64(lease),
	})
	if err != nil {
		return 0, err
	}
	left := time.Duration(res.Result.TTL)*time.Second - c.timers.Now().Sub(start)
	if left <= 0 {
		return 0, fmt.Errorf("lease %d: %w", lease, waxwingpick.ErrLeaseExpired)
	}
	return left, nil
}

// Revoke revokes a lease, which deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease waxwingpick.LeaseID) error {
	_, err := call[struct{}](ctx, c, waxwingpick.CallRevoke, etcdwire.PathRevoke, etcdwire.Lease{
		ID: int64(lease),
	})
	return err
}

func entry(kv etcdwire.KeyValue) waxwingpick.Entry {
	return waxwingpick.Entry{
		Key:      string(kv.Key),
		Value:    kv.Value,
		Revision: kv.ModRevision,
	}
}

func prefixRange(prefix string) etcdwire.RangeRequest {
	key := []byte(prefix)
	if len(key) == 0 {
		key = []byte{0}
	}
	return etcdwire.RangeRequest{
		Key:      key,
		RangeEnd: etcdwire.PrefixEnd(prefix),
	}
}
