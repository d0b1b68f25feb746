package tcp

import (
	"context"
	"net"
	"sync"
	"time"
)

// Leavers detects when callers that wait for a response close their connections. It polls all connections with one system
// call each. A blocking read per connection would instead need a goroutine and would consume bytes of the next pipelined
// request.
type Leavers struct {
	mu      sync.Mutex
	waiting map[*waiter]struct{}
}

// waiter is a caller that waits for a response.
type waiter struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// NewLeavers returns Leavers without connections. Look must be called periodically.
func NewLeavers() *Leavers {
	return &Leavers{
		waiting: make(map[*waiter]struct{}),
	}
}

// Watch returns a context that is cancelled when the caller closes its connection. The function stop ends the watch.
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

// Look polls all watched connections and cancels the contexts of those that the callers have closed.
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
