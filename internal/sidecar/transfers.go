package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/legs"
)

var errNoTransfer = eris.New("no transfer of KV cache in time")

// transfers hosts the bound on the engine's transfers in one direction.
type transfers struct {
	timers  waxwingpick.Timers
	mu      sync.Mutex
	bound   *legs.Transfers
	waiting map[string]chan legs.Verdict
	ends    map[string]func()
	wake    func()
}

func newTransfers(timers waxwingpick.Timers) (*transfers, error) {
	bound, err := legs.NewTransfers()
	if err != nil {
		return nil, fmt.Errorf("create transfers: %w", err)
	}
	return &transfers{
		timers:  timers,
		bound:   bound,
		waiting: make(map[string]chan legs.Verdict),
		ends:    make(map[string]func()),
		wake:    func() {},
	}, nil
}

// begin waits for a place; it fails with ErrEngineRefused where the transfer would come too late or is ended meanwhile.
// Once it has failed, has ended or its time is over, ended is called once.
func (t *transfers) begin(ctx context.Context, next legs.Transfer, ended func()) error {
	decided, ok := t.offer(next, ended)
	if !ok {
		ended()
		return refusedTransfer(next, errNoTransfer)
	}
	select {
	case verdict := <-decided:
		if verdict == legs.VerdictStart {
			return nil
		}
		t.end(next.ID)
		return refusedTransfer(next, errNoTransfer)
	case <-ctx.Done():
		t.end(next.ID)
		return refusedTransfer(next, ctx.Err())
	}
}

// offer asks for a place; the channel tells the decision. It reports false where the transfer is refused at once.
func (t *transfers) offer(next legs.Transfer, ended func()) (<-chan legs.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timers.Now()
	verdict := t.bound.Offer(now, next)
	if verdict == legs.VerdictRefuse {
		return nil, false
	}
	decided := make(chan legs.Verdict, 1)
	if verdict == legs.VerdictStart {
		decided <- verdict
	} else {
		t.waiting[next.ID] = decided
	}
	stop := t.timers.After(next.By.Sub(now), func(time.Time) {
		t.end(next.ID)
	})
	t.ends[next.ID] = func() {
		stop()
		ended()
	}
	t.pump()
	return decided, true
}

func refusedTransfer(next legs.Transfer, cause error) error {
	return fmt.Errorf("transfer %s: %w: %w", next.ID, waxwingpick.ErrEngineRefused, cause)
}

// end frees a transfer's place, or withdraws one that waits; an unknown ID changes nothing.
func (t *transfers) end(id string) {
	t.mu.Lock()
	ended, ok := t.ends[id]
	delete(t.ends, id)
	if decided, waits := t.waiting[id]; waits {
		delete(t.waiting, id)
		decided <- legs.VerdictRefuse
	}
	t.bound.End(id)
	t.pump()
	t.mu.Unlock()
	if ok {
		ended()
	}
}

// pump hands out decisions and arranges for the next one that time alone brings; the lock is held.
func (t *transfers) pump() {
	now := t.timers.Now()
	for {
		d, ok := t.bound.Next(now)
		if !ok {
			break
		}
		t.waiting[d.ID] <- d.Verdict
		delete(t.waiting, d.ID)
	}
	t.wake()
	t.wake = func() {}
	if at, ok := t.bound.Wake(now); ok && len(t.waiting) > 0 {
		t.wake = t.timers.After(at.Sub(now), func(time.Time) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.pump()
		})
	}
}

// predict returns the time until a transfer of some tokens would have ended.
func (t *transfers) predict(tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bound.Predict(t.timers.Now(), tokens)
}

// limit returns how long a transfer of some tokens may take.
func (t *transfers) limit(tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bound.Limit(t.timers.Now(), tokens)
}

// measured takes the time that a transfer has taken.
func (t *transfers) measured(tokens int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bound.Measured(t.timers.Now(), tokens, took)
}
