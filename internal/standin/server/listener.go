package server

import (
	"net"
	"sync"
)

// listener tracks its connections, so that abort can close all of them.
type listener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

type conn struct {
	net.Conn
	owner *listener
}

func newListener(inner net.Listener) *listener {
	return &listener{
		Listener: inner,
		conns:    make(map[*conn]struct{}),
	}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		// The server compares with io.EOF and net.ErrClosed, so the error is not wrapped.
		return nil, err
	}
	c := &conn{
		Conn:  inner,
		owner: l,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		inner.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// abort closes the listener and all its connections.
func (l *listener) abort() {
	l.Listener.Close()
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = make(map[*conn]struct{})
	l.mu.Unlock()
	for c := range conns {
		c.Conn.Close()
	}
}

func (c *conn) broken() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	_, open := c.owner.conns[c]
	return !open
}
