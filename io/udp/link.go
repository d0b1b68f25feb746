package udp

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	// MaxMessage bounds a message, in bytes; a larger one is not sent.
	MaxMessage = 60_000
	// readPause keeps a broken socket from being read in a tight loop.
	readPause = 100 * time.Millisecond
)

// ErrTooLarge says that a message exceeds MaxMessage.
var ErrTooLarge = eris.New("message is too large for a datagram")

var _ waxwingpick.PeerLink = (*Link)(nil)

// Link is a socket for datagrams.
type Link struct {
	conn *net.UDPConn
}

// Listen opens a link at an IP address and port.
func Listen(addr string) (*Link, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("parse address of peers: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Link{
		conn: conn,
	}, nil
}

// Addr returns the bound address.
func (l *Link) Addr() string {
	return l.conn.LocalAddr().String()
}

// Send sends a message to an IP address and port.
func (l *Link) Send(addr string, message []byte) error {
	if len(message) > MaxMessage {
		return fmt.Errorf("send %d bytes to %s: %w", len(message), addr, ErrTooLarge)
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("parse address of peer: %w", err)
	}
	if _, err := l.conn.WriteToUDPAddrPort(message, to); err != nil {
		return fmt.Errorf("send to %s: %w", addr, err)
	}
	return nil
}

// Receive calls take with each message until the link is closed; the message's memory is used again.
func (l *Link) Receive(take func(message []byte)) {
	buf := make([]byte, MaxMessage+1)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// A peer's port that is closed may show here; the next message is read all the same.
			time.Sleep(readPause)
		case n <= MaxMessage:
			take(buf[:n])
		}
	}
}

// Close ends the link.
func (l *Link) Close() error {
	if err := l.conn.Close(); err != nil {
		return fmt.Errorf("close link to peers: %w", err)
	}
	return nil
}
