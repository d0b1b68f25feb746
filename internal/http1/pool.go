package http1

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxConnections = 8192
	// closeMargin is kept from the time at which a peer closes an idle connection: a request that crosses the close is
	// lost, and takes some milliseconds to arrive.
	closeMargin = 500 * time.Millisecond
)

var (
	errDial    = eris.New("no connection")
	errTooMany = eris.New("too many connections")
	errClosed  = eris.New("client is closed")
)

// pool keeps the connections to one address, the most recently used first.
type pool struct {
	addr   string
	secure SecureFunc
	// idleFor is how long a connection may stay idle where the peer does not say; most bounds the open ones.
	idleFor time.Duration
	most    int
	mu      sync.Mutex
	closed  bool
	idle    []*conn
	open    map[*conn]struct{}
}

// get returns an idle connection that can be used, or a new one.
func (p *pool) get(ctx context.Context, now time.Time) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if c.usable(now) {
			c.sent = 0
			return c, nil
		}
		p.drop(c)
	}
}

// put keeps a connection for a later exchange.
func (p *pool) put(c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	old := p.idle[0]
	expired := now.Sub(old.idleSince) >= idleTimeout
	if expired {
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	// The oldest one is rarely reached from the other end.
	if expired {
		p.drop(old)
	}
}

// drop ends a connection.
func (p *pool) drop(c *conn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	c.Close()
}

// close ends every connection, also those in use.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	open := p.open
	p.open = nil
	p.idle = nil
	p.mu.Unlock()
	for c := range open {
		c.Close()
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	if err := p.admits(); err != nil {
		return nil, err
	}
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	inner, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	secured, err := p.secure(ctx, inner)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	c := newConn(secured)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		secured.Close()
		return nil, errClosed
	}
	p.open[c] = struct{}{}
	return c, nil
}

func (p *pool) admits() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	if len(p.open) >= p.most {
		return errTooMany
	}
	return nil
}
