package tcp

import (
	"errors"
	"net"
	"syscall"
)

// Peek looks at a connection without waiting: whether it has something to read, and whether the peer has ended it. An
// encrypted connection shows its records, so its regular end is something to read.
func Peek(c net.Conn) (pending, ended bool) {
	sc, ok := raw(c).(syscall.Conn)
	if !ok {
		return false, false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, true
	}
	// Control, unlike Read, does not mind the previous request's deadline.
	controlErr := rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = n > 0
		ended = n <= 0 && !errors.Is(err, syscall.EAGAIN)
	})
	return pending, ended || controlErr != nil
}

// raw returns the connection that others wrap.
func raw(c net.Conn) net.Conn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapped.NetConn()
	}
}
