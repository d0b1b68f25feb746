package tcp

import (
	"context"
	"net"
	"sync"
	"time"
)

// DisconnectWatcher detects when callers that wait for a response close their connections. It polls all connections
// with one system call each. A blocking read per connection would instead need a goroutine and would consume bytes of
// the next pipelined request.
type DisconnectWatcher struct {
	mu      sync.Mutex
	waiting map[*waiter]struct{}
}

// waiter is a caller that waits for a response.
type waiter struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// NewDisconnectWatcher returns a DisconnectWatcher without connections. Poll must be called periodically.
func NewDisconnectWatcher() *DisconnectWatcher {
	return &DisconnectWatcher{
		waiting: make(map[*waiter]struct{}),
	}
}

// Watch returns a context that is cancelled when the caller closes its connection. The function stop ends the watch.
func (l *DisconnectWatcher) Watch(conn net.Conn) (ctx context.Context, stop func()) {
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

// Poll polls all watched connections and cancels the contexts of those that the callers have closed.
func (l *DisconnectWatcher) Poll(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.waiting {
		if _, ended := Peek(w.conn); ended {
			w.cancel()
			delete(l.waiting, w)
		}
	}
}
