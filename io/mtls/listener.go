package mtls

import (
	"context"
	"crypto/tls"
	"io"
	"net"

	"waxwingpick/core/background"
)

// recordHandshake is the first byte of a TLS connection. Plain peers never start with it: HTTP starts with a letter, and
// a control call starts with its length, whose minimum is larger.
const recordHandshake = 22

// Listen returns a listener whose Accept returns connections that have completed the handshake. Handshakes run
// concurrently, so a slow peer does not delay others.
func (c *Credentials) Listen(inner net.Listener) net.Listener {
	if c == nil {
		return inner
	}
	l := &listener{
		Listener:    inner,
		credentials: c,
		accepted:    make(chan accepted),
	}
	l.lifecycle, l.cancel = context.WithCancel(context.Background())
	l.work.Start(l.run)
	return l
}

type listener struct {
	net.Listener
	credentials *Credentials
	accepted    chan accepted
	lifecycle   context.Context
	cancel      context.CancelFunc
	work        background.Group
}

// accepted is a connection that has completed the handshake, or an error of the inner listener.
type accepted struct {
	conn net.Conn
	err  error
}

// Accept returns the next connection that has completed the handshake.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case a := <-l.accepted:
		return a.conn, a.err
	case <-l.lifecycle.Done():
		return nil, net.ErrClosed
	}
}

// Close stops listening, aborts running handshakes and waits for them.
func (l *listener) Close() error {
	l.cancel()
	err := l.Listener.Close()
	l.work.Close()
	return err
}

func (l *listener) run() {
	for l.lifecycle.Err() == nil {
		raw, err := l.Listener.Accept()
		if err != nil {
			l.deliver(accepted{
				err: err,
			})
			continue
		}
		if !l.work.Start(func() { l.secure(raw) }) {
			raw.Close()
		}
	}
}

// deliver passes a to Accept and reports whether it was received before Close.
func (l *listener) deliver(a accepted) bool {
	select {
	case l.accepted <- a:
		return true
	case <-l.lifecycle.Done():
		return false
	}
}

// secure runs the handshake on a connection and delivers it, or closes it.
func (l *listener) secure(raw net.Conn) {
	conn, err := l.handshake(raw)
	if err == nil && l.deliver(accepted{conn: conn}) {
		return
	}
	raw.Close()
}

func (l *listener) handshake(raw net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.lifecycle, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	first := &firstByteConn{
		Conn: raw,
	}
	// A peer that closes the connection without sending a byte, such as a port check, is not counted as refused.
	if _, err := io.ReadFull(raw, first.unread[:]); err != nil {
		return nil, err
	}
	conn, err := l.credentials.accept(ctx, first)
	if err != nil && l.lifecycle.Err() == nil {
		l.credentials.recordRefusal(raw.RemoteAddr(), err)
	}
	return conn, err
}

// accept runs the server side of the handshake, or returns a plain connection as it is if the mode allows it.
func (c *Credentials) accept(ctx context.Context, raw *firstByteConn) (net.Conn, error) {
	if raw.unread[0] != recordHandshake {
		if c.mode == ModeRequire {
			return nil, newRefusal(ReasonPlain, "the peer does not use TLS")
		}
		return raw, nil
	}
	conn := tls.Server(raw, c.current.Load().server)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	if c.callers {
		return conn, nil
	}
	peer, err := parseIdentity(conn.ConnectionState().PeerCertificates[0])
	if err != nil {
		return nil, err
	}
	return &secureConn{
		Conn: conn,
		peer: peer,
	}, nil
}

// secureConn is an accepted connection with the identity of its peer.
type secureConn struct {
	*tls.Conn
	peer Identity
}

// firstByteConn is a connection whose first byte has been read to detect TLS.
type firstByteConn struct {
	net.Conn
	unread [1]byte
	read   bool
}

// Read returns the first byte, then the rest of the stream.
func (c *firstByteConn) Read(p []byte) (int, error) {
	if c.read || len(p) == 0 {
		return c.Conn.Read(p)
	}
	c.read = true
	p[0] = c.unread[0]
	return 1, nil
}
