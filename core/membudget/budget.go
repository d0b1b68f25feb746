package membudget

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// shareDivisor divides what is free by the most that one request may hold. With n requests that take all they can get, a share
// of shareDivisor/(shareDivisor+n) stays free.
const shareDivisor = 4

// ErrLimit is returned for a budget of no bytes.
var ErrLimit = eris.New("memory budget needs a positive limit")

var _ waxwingpick.MemoryHold = (*Hold)(nil)

// Budget bounds the bytes that requests hold. It is safe for concurrent use.
//
// The rule is that of dynamic thresholds in shared buffers: a request may grow while it holds at most a share of what is free. The
// expected load is a few responses without end among many of some kilobytes. Each of the former gets less the more of them there
// are, so that those of normal size always find room.
type Budget struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Uint64
}

// New returns a budget of the given number of bytes.
func New(limit int64) (*Budget, error) {
	if limit <= 0 {
		return nil, fmt.Errorf("%w: %d bytes", ErrLimit, limit)
	}
	return &Budget{
		limit: limit,
	}, nil
}

// Limit returns the number of bytes of the budget.
func (b *Budget) Limit() int64 {
	return b.limit
}

// Used returns the number of bytes that requests hold.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Refused returns how often a request was refused more bytes.
func (b *Budget) Refused() uint64 {
	return b.refused.Load()
}

// Hold returns the hold of a new request, which has no bytes yet.
func (b *Budget) Hold() *Hold {
	return &Hold{
		budget: b,
	}
}

// Hold is what one request holds of a budget. It is safe for concurrent use.
type Hold struct {
	budget *Budget
	mu     sync.Mutex
	bytes  int64
}

// Grow adds n bytes to what the request holds. It fails with ErrMemory, and adds none, if the request would hold too large a share
// of what is free.
func (h *Hold) Grow(n int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budget
	free := b.limit - b.used.Add(int64(n))
	if h.bytes+int64(n) > free/shareDivisor {
		b.used.Add(-int64(n))
		b.refused.Add(1)
		return fmt.Errorf("%w: %d more bytes, the request holds %d and all %d of %d", waxwingpick.ErrMemory, n, h.bytes, b.used.Load(), b.limit)
	}
	h.bytes += int64(n)
	return nil
}

// Shrink returns n bytes to the budget, at most those that the request holds.
func (h *Hold) Shrink(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	released := min(h.bytes, int64(n))
	h.bytes -= released
	h.budget.used.Add(-released)
}

// Release returns all bytes of the request to the budget.
func (h *Hold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.used.Add(-h.bytes)
	h.bytes = 0
}
