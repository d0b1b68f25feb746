package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingpick"
	"waxwingpick/core/background"
)

const (
	// maxGroupWrites is the maximum number of writes tried for one group when other entries write the same record.
	maxGroupWrites = 6
	// groupCallTimeout is the time-out of one key-value call for a group. The contexts of the group's members don't bound it.
	groupCallTimeout = 2 * time.Second
	// claimBudgetTimeout is the time-out of the wait for the key-value budget. It is shorter than forwardTimeout, within
	// which an owner has to respond.
	claimBudgetTimeout = time.Second
	// cachedGroups is the number of records cached between writes.
	cachedGroups = 64
)

// grouped commits the claims of keys with an issue time in groups. While one write of a record is in progress or waits
// for the budget, the claims that arrive for that record are collected for the next write. All other calls pass through.
type grouped struct {
	waxwingpick.KeyValue
	wait func(ctx context.Context) error
	work background.Group
	// owners and forward are nil where every entry writes its own claims.
	owners  *Owners
	forward ForwardFunc
	now     func() time.Time

	mu     sync.Mutex
	queues map[queueKey][]*groupCall
	cached *lru.Cache[string, cachedGroup]
}

// queueKey identifies the calls that are sent together: to the owner of their record, or, if owner is empty, directly to
// the record in the key-value service.
type queueKey struct {
	record string
	owner  waxwingpick.InstanceID
}

// cachedGroup is a record as this process last read or wrote it, which may be out of date.
// The field fresh is set where the record was read for the current commit.
type cachedGroup struct {
	record   *groupRecord
	revision int64
	fresh    bool
}

// groupCall is one claim write that waits to be committed with its group.
type groupCall struct {
	write groupWrite
	path  string
	done  chan groupResult
}

type groupResult struct {
	entry waxwingpick.Entry
	err   error
}

// newGrouped returns kv with grouped claims. Each write of a record first calls wait for the key-value budget.
func newGrouped(kv waxwingpick.KeyValue, wait func(ctx context.Context) error) *grouped {
	cached, err := lru.New[string, cachedGroup](cachedGroups)
	if err != nil {
		panic(err) // Cannot fail: the size is positive.
	}
	return &grouped{
		KeyValue: kv,
		wait:     wait,
		queues:   make(map[queueKey][]*groupCall),
		cached:   cached,
	}
}

// Get reads a claim from its record.
func (g *grouped) Get(ctx context.Context, key string) (waxwingpick.Entry, error) {
	path, hash, ok := groupPath(key)
	if !ok {
		return g.KeyValue.Get(ctx, key)
	}
	e, err := g.KeyValue.Get(ctx, path)
	if err != nil {
		return waxwingpick.Entry{}, fmt.Errorf("read claims: %w", err)
	}
	record, err := decodeGroup(e.Value)
	if err != nil {
		return waxwingpick.Entry{}, err
	}
	return record.entry(key, hash), nil
}

// CompareAndSwap writes a claim together with other claims of the same record.
func (g *grouped) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease waxwingpick.LeaseID) (waxwingpick.Entry, error) {
	path, hash, ok := groupPath(key)
	if !ok {
		return g.KeyValue.CompareAndSwap(ctx, key, expected, value, lease)
	}
	call := newGroupCall(key, hash, expected, value)
	g.enqueue(queueKey{
		record: path,
		owner:  g.owner(hash),
	}, call)
	result := call.await(ctx)
	return result.entry, result.err
}

func newGroupCall(path, hash string, expected int64, value []byte) *groupCall {
	return &groupCall{
		write: groupWrite{
			hash:     hash,
			expected: expected,
			value:    value,
		},
		path: path,
		done: make(chan groupResult, 1),
	}
}

// await returns the call's result. If ctx ends first, the outcome of the write is unknown.
func (c *groupCall) await(ctx context.Context) groupResult {
	select {
	case result := <-c.done:
		return result
	case <-ctx.Done():
		return groupResult{
			err: fmt.Errorf("write claim: %w: %w", waxwingpick.ErrUnknownOutcome, ctx.Err()),
		}
	}
}

// close waits until the groups in progress are done.
func (g *grouped) close() {
	g.work.Close()
}

// enqueue adds a call to its queue and starts a writer if none is active.
func (g *grouped) enqueue(key queueKey, call *groupCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue, active := g.queues[key]
	g.queues[key] = append(queue, call)
	if active {
		return
	}
	if !g.work.Start(func() { g.drain(key) }) {
		delete(g.queues, key)
		respondAll([]*groupCall{call}, fmt.Errorf("ledger is closed: %w", waxwingpick.ErrUnavailable))
	}
}

// drain writes or forwards groups until the queue is empty.
func (g *grouped) drain(key queueKey) {
	for {
		var err error
		if key.owner == "" {
			err = g.budget()
		}
		calls := g.take(key)
		switch {
		case len(calls) == 0:
			return
		case err != nil:
			respondAll(calls, err)
		case key.owner != "":
			g.forwardAll(key, calls)
		default:
			g.flush(key.record, calls)
		}
	}
}

// take removes and returns the queue's calls. If there are none, it removes the queue, which ends its writer.
func (g *grouped) take(key queueKey) []*groupCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := g.queues[key]
	if len(calls) == 0 {
		delete(g.queues, key)
		return nil
	}
	g.queues[key] = nil
	return calls
}

func (g *grouped) budget() error {
	ctx, cancel := context.WithTimeout(context.Background(), claimBudgetTimeout)
	defer cancel()
	if err := g.wait(ctx); err != nil {
		return fmt.Errorf("wait for the key-value budget: %w: %w", waxwingpick.ErrUnavailable, err)
	}
	return nil
}

// flush commits the calls in one write, and tries again after each conflict with another entry.
func (g *grouped) flush(path string, calls []*groupCall) {
	err := error(waxwingpick.ErrUnavailable)
	for try := range maxGroupWrites {
		if try > 0 {
			if err := g.budget(); err != nil {
				respondAll(calls, err)
				return
			}
		}
		if calls, err = g.commit(path, calls); len(calls) == 0 {
			return
		}
		if err != nil && !errors.Is(err, waxwingpick.ErrConflict) {
			break
		}
	}
	if errors.Is(err, waxwingpick.ErrConflict) {
		err = fmt.Errorf("too many conflicts with other entries on the record: %w", waxwingpick.ErrUnavailable)
	}
	respondAll(calls, err)
}

// commit tries one write, responds to the calls that it settles and returns the others.
func (g *grouped) commit(path string, calls []*groupCall) ([]*groupCall, error) {
	cached, err := g.load(path)
	if err != nil {
		return calls, err
	}
	// The record is changed in place, so it leaves the cache after any error from here on.
	errs := make([]error, len(calls))
	for i, call := range calls {
		errs[i] = cached.record.apply(call.write)
	}
	if !cached.fresh && errors.Join(errs...) != nil {
		// A cached record may be out of date, so no write is rejected because of it.
		g.cached.Remove(path)
		return calls, waxwingpick.ErrConflict
	}
	calls = respondFailed(calls, errs)
	if len(calls) == 0 {
		return nil, nil
	}
	return g.swap(path, cached, calls)
}

func (g *grouped) swap(path string, cached cachedGroup, calls []*groupCall) ([]*groupCall, error) {
	ctx, cancel := context.WithTimeout(context.Background(), groupCallTimeout)
	defer cancel()
	e, err := g.KeyValue.CompareAndSwap(ctx, path, cached.revision, cached.record.lines, 0)
	if err != nil {
		g.cached.Remove(path)
		return calls, fmt.Errorf("write claims: %w", err)
	}
	g.cached.Add(path, cachedGroup{
		record:   cached.record,
		revision: e.Revision,
	})
	for _, call := range calls {
		call.done <- groupResult{
			entry: cached.record.entry(call.path, call.write.hash),
		}
	}
	return nil, nil
}

// load returns the record from the cache or reads it.
func (g *grouped) load(path string) (cachedGroup, error) {
	if cached, ok := g.cached.Get(path); ok {
		return cached, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupCallTimeout)
	defer cancel()
	e, err := g.KeyValue.Get(ctx, path)
	if err != nil {
		return cachedGroup{}, fmt.Errorf("read claims: %w", err)
	}
	record, err := decodeGroup(e.Value)
	if err != nil {
		return cachedGroup{}, err
	}
	return cachedGroup{
		record:   record,
		revision: e.Revision,
		fresh:    true,
	}, nil
}

// respondFailed sends the calls that failed their errors and returns the others.
func respondFailed(calls []*groupCall, errs []error) []*groupCall {
	var rest []*groupCall
	for i, call := range calls {
		if errs[i] == nil {
			rest = append(rest, call)
			continue
		}
		call.done <- groupResult{
			err: errs[i],
		}
	}
	return rest
}

func respondAll(calls []*groupCall, err error) {
	for _, call := range calls {
		call.done <- groupResult{
			err: err,
		}
	}
}
