package http1

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick/io/tcp"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxConnections = 8192
	// closeMargin is subtracted from the time after which a peer closes an idle connection. A request takes some
	// milliseconds to arrive, and is lost if the connection is closed meanwhile.
	closeMargin = 500 * time.Millisecond
)

var (
	errDial    = eris.New("no connection")
	errTooMany = eris.New("too many connections")
	errClosed  = eris.New("client is closed")
)

// pool holds the connections to one address. The most recently used one is reused first.
type pool struct {
	addr   string
	secure SecureFunc
	// idleFor is how long a connection may stay idle if the peer does not announce a limit. maxOpen bounds the open
	// connections.
	idleFor time.Duration
	maxOpen int
	// keepAlive is the TCP keep-alive of new connections; zero for the default of net.Dialer.
	keepAlive net.KeepAliveConfig
	// silence is the time without a response after which a reused connection may have gone silent; zero for no limit.
	silence time.Duration

	mu     sync.Mutex
	closed bool
	idle   []*conn
	open   map[*conn]struct{}
	// waiting holds the reused connections without a response, with the time of their requests.
	waiting map[*conn]time.Time
	// silentSince is the time of the latest request that was without a response for too long. Connections that were last used
	// before may be silent too.
	silentSince time.Time
}

// get returns a usable idle connection, or a new one.
func (p *pool) get(ctx context.Context, now time.Time) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if c.usable(now) && p.begin(c, now) {
			c.sent = 0
			return c, nil
		}
		p.drop(c)
	}
}

// begin records that a request is sent on a connection now. It returns false if the connection may have gone silent.
func (p *pool) begin(c *conn, now time.Time) bool {
	if p.silence == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, since := range p.waiting {
		p.observeSilence(now, since)
	}
	if c.idleSince.Before(p.silentSince) {
		return false
	}
	p.waiting[c] = now
	return true
}

// answered records that a response has begun on a connection.
func (p *pool) answered(c *conn) {
	if p.silence == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, c)
}

// observeSilence applies that a request sent at since is without a response. mu is held.
func (p *pool) observeSilence(now, since time.Time) {
	if now.Sub(since) >= p.silence && since.After(p.silentSince) {
		p.silentSince = since
	}
}

// put returns a connection to the pool after an exchange.
func (p *pool) put(c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	oldest := p.idle[0]
	expired := now.Sub(oldest.idleSince) >= idleTimeout
	if expired {
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	// Reuse takes the most recent connections, so expired ones collect at the front. Each call of put closes at most one
	// of them.
	if expired {
		p.drop(oldest)
	}
}

// drop closes a connection.
func (p *pool) drop(c *conn) {
	p.remove(c)
	c.Close()
}

// abort closes a connection whose exchange was given up.
func (p *pool) abort(c *conn) {
	p.remove(c)
	tcp.Abort(c.Conn)
}

// remove removes a connection that is closed next.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	if since, ok := p.waiting[c]; ok {
		p.observeSilence(time.Now(), since)
		delete(p.waiting, c)
	}
}

// closeIdle closes the connections that are not in use.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// close closes the idle connections and aborts those in use.
func (p *pool) close() {
	p.closeIdle()
	p.mu.Lock()
	p.closed = true
	open := p.open
	p.open = nil
	p.idle = nil
	p.mu.Unlock()
	for c := range open {
		tcp.Abort(c.Conn)
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
	if err := p.checkCapacity(); err != nil {
		return nil, err
	}
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: p.keepAlive,
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

func (p *pool) checkCapacity() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	if len(p.open) >= p.maxOpen {
		return errTooMany
	}
	return nil
}
