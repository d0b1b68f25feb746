package tcp

import (
	"context"
	"net"
	"sync"
	"time"
)

// Leavers watches the connections of callers that wait for an answer. One look at all of them costs a system call each,
// where a reader for each connection would cost a goroutine and hold up the next request's bytes.
type Leavers struct {
	mu      sync.Mutex
	waiting map[*waiter]struct{}
}

// waiter is one caller that waits.
type waiter struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// NewLeavers returns a watch of no connections; Look has to be called periodically.
func NewLeavers() *Leavers {
	return &Leavers{
		waiting: make(map[*waiter]struct{}),
	}
}

// Watch returns a context that ends once the caller has left, until the watch is stopped.
func (l *Leavers) Watch(conn net.Conn) (ctx context.Context, stop func()) {
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

// Look ends the contexts of callers that have left.
func (l *Leavers) Look(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.waiting {
		if _, ended := Peek(w.conn); ended {
			w.cancel()
			delete(l.waiting, w)
		}
	}
}
