package tcp

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotConnected says that no connection was made, so nothing was sent.
var ErrNotConnected = eris.New("not connected")

// DefaultMaxConns bounds the open connections of a listener.
const DefaultMaxConns = 4096

// Listen listens on the address, closes connections beyond maxConns at once and
// fails a write that makes no progress for writeIdle.
func Listen(addr string, maxConns int, writeIdle time.Duration) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return &listener{
		Listener:  ln,
		slots:     make(chan struct{}, maxConns),
		writeIdle: writeIdle,
	}, nil
}

// Dialer returns a dial function whose connections fail a read that gets
// nothing for readIdle.
func Dialer(connectTimeout, readIdle time.Duration) func(addr string) (net.Conn, error) {
	return func(addr string) (net.Conn, error) {
		c, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w: %w", addr, ErrNotConnected, err)
		}
		return &conn{
			Conn:     c,
			readIdle: readIdle,
		}, nil
	}
}

type listener struct {
	net.Listener
	slots     chan struct{}
	writeIdle time.Duration
}

// Accept returns the next connection within the bound.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &conn{
				Conn:      c,
				writeIdle: l.writeIdle,
				release: func() {
					<-l.slots
				},
			}, nil
		default:
			c.Close()
		}
	}
}

type conn struct {
	net.Conn
	readIdle  time.Duration
	writeIdle time.Duration
	once      sync.Once
	release   func()
}

// Read reads with the read deadline moved on.
func (c *conn) Read(p []byte) (int, error) {
	if c.readIdle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readIdle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write writes with the write deadline moved on.
func (c *conn) Write(p []byte) (int, error) {
	if c.writeIdle > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeIdle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// NetConn returns the connection underneath.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection and frees its slot.
func (c *conn) Close() error {
	c.once.Do(func() {
		if c.release != nil {
			c.release()
		}
	})
	return c.Conn.Close()
}

// Alive returns a check that something takes connections at the address within the time-out.
func Alive(addr string, timeout time.Duration) func() bool {
	return func() bool {
		c, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			return false
		}
		c.Close()
		return true
	}
}
