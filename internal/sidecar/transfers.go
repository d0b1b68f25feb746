package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/stages"
)

var errTransferTimeout = eris.New("KV cache transfer not started in time")

// transfers limits the engine's concurrent KV cache transfers in one direction.
type transfers struct {
	timers     waxwingpick.Timers
	mu         sync.Mutex
	queue      *stages.Transfers
	waiting    map[string]chan stages.Verdict
	onEnd      map[string]func()
	cancelWake func()
}

func newTransfers(timers waxwingpick.Timers) (*transfers, error) {
	bound, err := stages.NewTransfers()
	if err != nil {
		return nil, fmt.Errorf("create transfers: %w", err)
	}
	return &transfers{
		timers:     timers,
		queue:      bound,
		waiting:    make(map[string]chan stages.Verdict),
		onEnd:      make(map[string]func()),
		cancelWake: func() {},
	}, nil
}

// begin waits until the transfer may start. It fails with ErrEngineRefused if the transfer would be too late or is ended
// while it waits. ended is called exactly once, when the transfer has failed, has ended or has passed its time limit.
func (t *transfers) begin(ctx context.Context, next stages.Transfer, ended func()) error {
	decided, ok := t.offer(next, ended)
	if !ok {
		ended()
		return refusedTransfer(next, errTransferTimeout)
	}
	select {
	case verdict := <-decided:
		if verdict == stages.VerdictStart {
			return nil
		}
		t.end(next.ID)
		return refusedTransfer(next, errTransferTimeout)
	case <-ctx.Done():
		t.end(next.ID)
		return refusedTransfer(next, ctx.Err())
	}
}

// offer adds a transfer to the queue and returns a channel for the decision, or false if it is refused immediately.
func (t *transfers) offer(next stages.Transfer, ended func()) (<-chan stages.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timers.Now()
	verdict := t.queue.Offer(now, next)
	if verdict == stages.VerdictRefuse {
		return nil, false
	}
	decided := make(chan stages.Verdict, 1)
	if verdict == stages.VerdictStart {
		decided <- verdict
	} else {
		t.waiting[next.ID] = decided
	}
	stop := t.timers.After(next.Deadline.Sub(now), func(time.Time) {
		t.end(next.ID)
	})
	t.onEnd[next.ID] = func() {
		stop()
		ended()
	}
	t.deliverDecisions()
	return decided, true
}

func refusedTransfer(next stages.Transfer, cause error) error {
	return fmt.Errorf("transfer %s: %w: %w", next.ID, waxwingpick.ErrEngineRefused, cause)
}

// end frees a transfer's slot, or withdraws a waiting transfer. An unknown ID changes nothing.
func (t *transfers) end(id string) {
	t.mu.Lock()
	ended, ok := t.onEnd[id]
	delete(t.onEnd, id)
	if decided, waits := t.waiting[id]; waits {
		delete(t.waiting, id)
		decided <- stages.VerdictRefuse
	}
	t.queue.End(id)
	t.deliverDecisions()
	t.mu.Unlock()
	if ok {
		ended()
	}
}

// deliverDecisions sends decisions to the waiting transfers, and schedules a wake-up for the next decision that depends
// only on time. The caller must hold t.mu.
func (t *transfers) deliverDecisions() {
	now := t.timers.Now()
	for {
		d, ok := t.queue.Next(now)
		if !ok {
			break
		}
		t.waiting[d.ID] <- d.Verdict
		delete(t.waiting, d.ID)
	}
	t.cancelWake()
	t.cancelWake = func() {}
	if at, ok := t.queue.NextWake(now); ok && len(t.waiting) > 0 {
		t.cancelWake = t.timers.After(at.Sub(now), func(time.Time) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.deliverDecisions()
		})
	}
}

// predict returns the predicted time until a transfer of the tokens would end, including its wait.
func (t *transfers) predict(tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Predict(t.timers.Now(), tokens)
}

// limit returns the time limit for a transfer of the tokens.
func (t *transfers) limit(tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queue.Limit(t.timers.Now(), tokens)
}

// recordDuration records the measured duration of a transfer.
func (t *transfers) recordDuration(tokens int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue.RecordDuration(t.timers.Now(), tokens, took)
}
