package tcp

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Abort closes a connection and discards what its peer has not received yet. After an orderly close, the kernel still delivers it at
// any later time.
func Abort(c net.Conn) {
	if socket, ok := raw(c).(*net.TCPConn); ok {
		// Both calls fail only on a connection that is closed already.
		_ = socket.SetLinger(0)
		_ = socket.Close()
	}
	c.Close()
}

// LimitDelivery bounds how long the kernel tries to deliver what is written to a connection from now on, also if the process stops
// running or is killed. The connection fails afterwards. The bound has a resolution of one millisecond.
func LimitDelivery(c net.Conn, limit time.Duration) {
	sc, ok := raw(c).(*net.TCPConn)
	if !ok {
		return
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// Zero would mean no limit. Both calls fail only on a closed connection, which delivers nothing.
	ms := int(max(1, limit.Milliseconds()))
	_ = rc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
}

// AbortUnanswered returns a connection for one request at a time, whose Close aborts it if nothing was read after the last write.
// Delivery of each request is limited.
func AbortUnanswered(c net.Conn, limit time.Duration) net.Conn {
	LimitDelivery(c, limit)
	return &requestConn{
		Conn: c,
	}
}

// requestConn is a connection that is aborted unless its last request was answered.
type requestConn struct {
	net.Conn
	unanswered atomic.Bool
}

// Read reads from the connection.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

// Write writes to the connection.
func (c *requestConn) Write(p []byte) (int, error) {
	c.unanswered.Store(true)
	return c.Conn.Write(p)
}

// NetConn returns the underlying connection.
func (c *requestConn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection, or aborts it.
func (c *requestConn) Close() error {
	if c.unanswered.Load() {
		Abort(c.Conn)
		return nil
	}
	return c.Conn.Close()
}
