package openai

import (
	"context"
	"net"
	"sync"
	"time"

	"waxwingpick/io/tcp"
)

// leavePeriod is the time between two looks for callers that have left.
const leavePeriod = 500 * time.Millisecond

// leavers watches the connections of callers that wait for an answer. One look at all of them costs a system call each,
// where a reader for each connection would cost a goroutine and hold up the next request's bytes.
type leavers struct {
	mu      sync.Mutex
	waiting map[*waiter]struct{}
}

// waiter is one caller that waits.
type waiter struct {
	conn   net.Conn
	cancel context.CancelFunc
}

func newLeavers() *leavers {
	return &leavers{
		waiting: make(map[*waiter]struct{}),
	}
}

// watch returns a context that ends once the caller has left, until the watch is stopped.
func (l *leavers) watch(conn net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &waiter{
		conn:   conn,
		cancel: cancel,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[w] = struct{}{}
	return ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, w)
	}
}

// look ends the contexts of callers that have left.
func (l *leavers) look(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.waiting {
		if _, ended := tcp.Peek(w.conn); ended {
			w.cancel()
			delete(l.waiting, w)
		}
	}
}
