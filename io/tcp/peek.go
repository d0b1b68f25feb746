package tcp

import (
	"errors"
	"net"
	"syscall"
)

// Peek reports, without blocking or consuming data, whether a connection has data to read and whether the peer has closed
// it. On a TLS connection it sees encrypted records, so a close_notify alert counts as data to read.
func Peek(c net.Conn) (pending, ended bool) {
	sc, ok := raw(c).(syscall.Conn)
	if !ok {
		return false, false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, true
	}
	// Unlike Read, Control does not fail after an expired deadline that a previous request has set.
	controlErr := rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = n > 0
		ended = n <= 0 && !errors.Is(err, syscall.EAGAIN)
	})
	return pending, ended || controlErr != nil
}

// raw returns the innermost connection that c wraps.
func raw(c net.Conn) net.Conn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapped.NetConn()
	}
}
