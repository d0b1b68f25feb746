package prometheus

import (
	"context"
	"errors"
	"time"

	"waxwingpick"
	"waxwingpick/core/callbudget"
)

// keyValue is a key-value client that counts calls.
type keyValue struct {
	inner   waxwingpick.KeyValue
	metrics *Metrics
}

// KeyValue returns a client that counts the calls of inner by kind and result. If inner is a Budget, its state is exported
// as well.
func (m *Metrics) KeyValue(inner waxwingpick.KeyValue) waxwingpick.KeyValue {
	if b, ok := inner.(Budget); ok {
		// Register fails only for a second budget of the process. The first one stays registered.
		_ = m.registry.Register(newBudgetCollector(b))
	}
	return keyValue{
		inner:   inner,
		metrics: m,
	}
}

func (k keyValue) Get(ctx context.Context, key string) (waxwingpick.Entry, error) {
	entry, err := k.inner.Get(ctx, key)
	return entry, k.count(waxwingpick.CallGet, err)
}

func (k keyValue) List(ctx context.Context, prefix string, limit int) ([]waxwingpick.Entry, error) {
	entries, err := k.inner.List(ctx, prefix, limit)
	return entries, k.count(waxwingpick.CallList, err)
}

func (k keyValue) GetSince(ctx context.Context, key string, after int64) (waxwingpick.Entry, error) {
	entry, err := k.inner.GetSince(ctx, key, after)
	return entry, k.count(waxwingpick.CallGet, err)
}

func (k keyValue) ListSince(ctx context.Context, prefix string, after int64, limit int) ([]waxwingpick.Entry, error) {
	entries, err := k.inner.ListSince(ctx, prefix, after, limit)
	return entries, k.count(waxwingpick.CallList, err)
}

func (k keyValue) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease waxwingpick.LeaseID) (waxwingpick.Entry, error) {
	entry, err := k.inner.CompareAndSwap(ctx, key, expected, value, lease)
	return entry, k.count(waxwingpick.CallSwap, err)
}

func (k keyValue) CompareAndDelete(ctx context.Context, key string, expected int64) error {
	return k.count(waxwingpick.CallDelete, k.inner.CompareAndDelete(ctx, key, expected))
}

func (k keyValue) Grant(ctx context.Context, ttl time.Duration) (waxwingpick.LeaseID, error) {
	lease, err := k.inner.Grant(ctx, ttl)
	return lease, k.count(waxwingpick.CallGrant, err)
}

func (k keyValue) KeepAlive(ctx context.Context, lease waxwingpick.LeaseID) (time.Duration, error) {
	left, err := k.inner.KeepAlive(ctx, lease)
	return left, k.count(waxwingpick.CallKeepAlive, err)
}

func (k keyValue) Revoke(ctx context.Context, lease waxwingpick.LeaseID) error {
	return k.count(waxwingpick.CallRevoke, k.inner.Revoke(ctx, lease))
}

func (k keyValue) Watch(ctx context.Context, prefix string, changed func(key string)) error {
	return k.count(waxwingpick.CallWatch, k.inner.Watch(ctx, prefix, changed))
}

// count counts a call and returns its error unchanged, since callers compare it with errors.Is.
func (k keyValue) count(call waxwingpick.KeyValueCall, err error) error {
	k.metrics.calls.WithLabelValues(call.String(), callResult(err)).Inc()
	return err
}

func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, waxwingpick.ErrConflict):
		return "conflict"
	case errors.Is(err, callbudget.ErrOverBudget), errors.Is(err, callbudget.ErrCircuitOpen):
		return "refused"
	case errors.Is(err, waxwingpick.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, waxwingpick.ErrUnknownOutcome):
		return "unknownOutcome"
	case errors.Is(err, waxwingpick.ErrLeaseExpired):
		return "leaseExpired"
	case errors.Is(err, waxwingpick.ErrValueTooLarge):
		return "valueTooLarge"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	}
	return OtherLabel
}
