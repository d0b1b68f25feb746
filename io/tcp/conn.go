package tcp

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotConnected reports that no connection was established, so nothing was sent.
var ErrNotConnected = eris.New("not connected")

// DefaultMaxConns is the default maximum number of open connections of a listener.
const DefaultMaxConns = 4096

// ListenOption configures a listener.
type ListenOption func(*listener)

// ObserveLingers calls observe with the end of each lingering close, possibly concurrently.
func ObserveLingers(observe func(LingerEnd)) ListenOption {
	return func(l *listener) {
		l.lingerer.observe = observe
	}
}

// Listen listens on addr. The listener closes new connections immediately while
// maxConns connections are open. A write fails if it makes no progress for
// writeIdle.
func Listen(addr string, maxConns int, writeIdle time.Duration, opts ...ListenOption) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	l := &listener{
		Listener:  ln,
		slots:     make(chan struct{}, maxConns),
		writeIdle: writeIdle,
		lingerer:  newLingerer(maxConns),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l, nil
}

// Dialer returns a dial function. A read on its connections fails if no data
// arrives for readIdle. Zero means no idle timeout.
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
	lingerer  *lingerer
}

// Accept returns the next connection within the limit of open connections.
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
				lingerState: lingerState{
					lingerer: l.lingerer,
				},
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
	lingerState
	readIdle  time.Duration
	writeIdle time.Duration
	once      sync.Once
	release   func()
}

// Read extends the read deadline and reads.
func (c *conn) Read(p []byte) (int, error) {
	if c.readIdle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readIdle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write extends the write deadline and writes.
func (c *conn) Write(p []byte) (int, error) {
	if c.writeIdle > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeIdle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection and frees its slot. It blocks for a lingering close, which a second call ends.
func (c *conn) Close() error {
	if c.lingers.Swap(false) {
		c.lingerer.close(c.Conn)
	}
	c.once.Do(func() {
		if c.release != nil {
			c.release()
		}
	})
	return c.Conn.Close()
}

// ReachableCheck returns a function that reports whether a connection to addr can be established within the timeout.
func ReachableCheck(addr string, timeout time.Duration) func() bool {
	return func() bool {
		c, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			return false
		}
		c.Close()
		return true
	}
}
