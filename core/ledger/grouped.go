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
	// groupTries bounds the writes of one group against other entries.
	groupTries = 6
	// groupCallTimeout bounds one call for a group, whose members' contexts do not bind it.
	groupCallTimeout = 2 * time.Second
	// claimBudgetWait bounds the wait for the key-value budget; an owner's answer has to come within handoverTimeout.
	claimBudgetWait = time.Second
	// heldGroups is the number of records that are held between writes.
	heldGroups = 64
)

// grouped commits the claims of keys with an issue time in groups: while one write of a record is
// under way or waits for the budget, the claims that arrive for it are collected for the next.
// All other calls pass through.
type grouped struct {
	waxwingpick.KeyValue
	wait func(ctx context.Context) error
	work background.Group
	// owners and hand are nil where every entry writes its own claims.
	owners *Owners
	hand   HandoverFunc
	now    func() time.Time

	mu     sync.Mutex
	queues map[queueKey][]*groupCall
	held   *lru.Cache[string, heldGroup]
}

// queueKey names the calls that go together: to the owner of their record, or where it is empty into the record itself.
type queueKey struct {
	record string
	owner  waxwingpick.InstanceID
}

// heldGroup is a record as this process last saw it, which may be out of date.
type heldGroup struct {
	record   *groupRecord
	revision int64
	fresh    bool
}

// groupCall is one claim write that waits for its group.
type groupCall struct {
	write groupWrite
	path  string
	done  chan groupResult
}

type groupResult struct {
	entry waxwingpick.Entry
	err   error
}

// newGrouped returns kv with grouped claims; wait delays each write of a record for the key-value budget.
func newGrouped(kv waxwingpick.KeyValue, wait func(ctx context.Context) error) *grouped {
	held, err := lru.New[string, heldGroup](heldGroups)
	if err != nil {
		panic(err) // The size is positive.
	}
	return &grouped{
		KeyValue: kv,
		wait:     wait,
		queues:   make(map[queueKey][]*groupCall),
		held:     held,
	}
}

// Get reads a claim out of its record.
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

// CompareAndSwap writes a claim together with others of its record.
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

// await returns the call's result; what becomes of it after ctx ends is unknown.
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

// close waits for the groups that are under way.
func (g *grouped) close() {
	g.work.Close()
}

// enqueue adds a call to its queue and starts a writer where none is at work.
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
		answerAll([]*groupCall{call}, fmt.Errorf("the ledger is closed: %w", waxwingpick.ErrUnavailable))
	}
}

// drain writes groups, or hands them over, until the queue is empty.
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
			answerAll(calls, err)
		case key.owner != "":
			g.handOver(key, calls)
		default:
			g.flush(key.record, calls)
		}
	}
}

// take empties the queue; an empty one ends its writer.
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
	ctx, cancel := context.WithTimeout(context.Background(), claimBudgetWait)
	defer cancel()
	if err := g.wait(ctx); err != nil {
		return fmt.Errorf("wait for the key-value budget: %w: %w", waxwingpick.ErrUnavailable, err)
	}
	return nil
}

// flush commits the calls in one write, again after each conflict with another entry.
func (g *grouped) flush(path string, calls []*groupCall) {
	err := error(waxwingpick.ErrUnavailable)
	for try := range groupTries {
		if try > 0 {
			if err := g.budget(); err != nil {
				answerAll(calls, err)
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
		err = fmt.Errorf("too many entries write the record: %w", waxwingpick.ErrUnavailable)
	}
	answerAll(calls, err)
}

// commit tries one write and answers the calls that it settles; it returns the rest.
func (g *grouped) commit(path string, calls []*groupCall) ([]*groupCall, error) {
	held, err := g.load(path)
	if err != nil {
		return calls, err
	}
	// The record is changed in place: whatever goes wrong from here on, it is not held any longer.
	errs := make([]error, len(calls))
	for i, call := range calls {
		errs[i] = held.record.apply(call.write)
	}
	if !held.fresh && errors.Join(errs...) != nil {
		// What is held may be out of date, so it refuses nothing.
		g.held.Remove(path)
		return calls, waxwingpick.ErrConflict
	}
	calls = answerFailed(calls, errs)
	if len(calls) == 0 {
		return nil, nil
	}
	return g.swap(path, held, calls)
}

func (g *grouped) swap(path string, held heldGroup, calls []*groupCall) ([]*groupCall, error) {
	ctx, cancel := context.WithTimeout(context.Background(), groupCallTimeout)
	defer cancel()
	e, err := g.KeyValue.CompareAndSwap(ctx, path, held.revision, held.record.lines, 0)
	if err != nil {
		g.held.Remove(path)
		return calls, fmt.Errorf("write claims: %w", err)
	}
	g.held.Add(path, heldGroup{
		record:   held.record,
		revision: e.Revision,
	})
	for _, call := range calls {
		call.done <- groupResult{
			entry: held.record.entry(call.path, call.write.hash),
		}
	}
	return nil, nil
}

// load returns the record as held, or reads it.
func (g *grouped) load(path string) (heldGroup, error) {
	if held, ok := g.held.Get(path); ok {
		return held, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupCallTimeout)
	defer cancel()
	e, err := g.KeyValue.Get(ctx, path)
	if err != nil {
		return heldGroup{}, fmt.Errorf("read claims: %w", err)
	}
	record, err := decodeGroup(e.Value)
	if err != nil {
		return heldGroup{}, err
	}
	return heldGroup{
		record:   record,
		revision: e.Revision,
		fresh:    true,
	}, nil
}

// answerFailed answers the calls that have an error and returns the others.
func answerFailed(calls []*groupCall, errs []error) []*groupCall {
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

func answerAll(calls []*groupCall, err error) {
	for _, call := range calls {
		call.done <- groupResult{
			err: err,
		}
	}
}
