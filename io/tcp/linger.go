package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout bounds a lingering close. A peer with a slow link needs about as long to send the largest body.
	lingerTimeout = 5 * time.Second
	// lingerBytes bounds what a lingering close discards: twice the largest body that a server accepts.
	lingerBytes = 16 << 20
	// lingerShare is the fraction of a listener's connections that may be in a lingering close at the same time.
	lingerShare = 8
)

// LingerEnd is how a lingering close ended.
type LingerEnd uint8

// The ends of a lingering close.
const (
	// LingerComplete means that the peer closed its side, or the connection failed, within the limits.
	LingerComplete LingerEnd = iota
	// LingerTimeout means that the peer did not close its side in time.
	LingerTimeout
	// LingerTooMuch means that the peer sent too much.
	LingerTooMuch
	// LingerRefused means that too many connections were already in a lingering close.
	LingerRefused
)

// String returns the name used in logs and metrics.
func (e LingerEnd) String() string {
	switch e {
	case LingerComplete:
		return "complete"
	case LingerTimeout:
		return "timeout"
	case LingerTooMuch:
		return "tooMuch"
	case LingerRefused:
		return "refused"
	}
	return "unknown"
}

// lingerer performs the lingering closes of a listener's connections.
//
// The kernel resets a connection that is closed while received bytes are unread, or that receives bytes after it was closed. The
// peer then loses a response that it has not read yet. A lingering close ends only the sending side, and discards what the peer
// still sends until it has closed its side too.
type lingerer struct {
	slots chan struct{}
	// timeout and limit bound one lingering close; limit is in bytes.
	timeout time.Duration
	limit   int64
	observe func(LingerEnd)
}

// newLingerer returns the lingerer of a listener with at most maxConns connections.
func newLingerer(maxConns int) *lingerer {
	return &lingerer{
		slots:   make(chan struct{}, max(1, maxConns/lingerShare)),
		timeout: lingerTimeout,
		limit:   lingerBytes,
		observe: func(LingerEnd) {},
	}
}

// close half-closes a connection and discards its input. The caller closes the connection afterwards.
func (l *lingerer) close(c net.Conn) {
	select {
	case l.slots <- struct{}{}:
		l.observe(l.discard(c))
		<-l.slots
	default:
		l.observe(LingerRefused)
	}
}

func (l *lingerer) discard(c net.Conn) LingerEnd {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(l.timeout)) != nil {
		return LingerComplete
	}
	n, err := io.Copy(io.Discard, io.LimitReader(c, l.limit))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return LingerTimeout
	case n == l.limit:
		return LingerTooMuch
	}
	return LingerComplete
}

// LingerOnClose makes the next Close of a connection that a listener of this package accepted a lingering close, which blocks. A
// server calls it before it closes a connection after a response to a request that it has not read completely.
func LingerOnClose(c net.Conn) {
	for {
		if accepted, ok := c.(*conn); ok {
			accepted.lingers.Store(accepted.lingerer != nil)
			return
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = wrapped.NetConn()
	}
}

// lingerState is the part of a connection that a lingering close needs.
type lingerState struct {
	// lingerer is nil for a connection that was dialed.
	lingerer *lingerer
	lingers  atomic.Bool
}
