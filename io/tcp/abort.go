package tcp

import (
	"net"
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
