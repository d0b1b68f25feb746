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
	// MaxMessage is the maximum size of a message, in bytes. Larger messages are not sent.
	MaxMessage = 60_000
	// readPause is the pause after a read error, which prevents a busy loop on a broken socket.
	readPause = 100 * time.Millisecond
)

// ErrTooLarge reports that a message exceeds MaxMessage.
var ErrTooLarge = eris.New("message is too large for a datagram")

var _ waxwingpick.PeerLink = (*Link)(nil)

// Link is a UDP socket.
type Link struct {
	conn *net.UDPConn
}

// Listen opens a link on addr, an IP address and port.
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

// Send sends a message to addr, an IP address and port. Delivery is not guaranteed.
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

// Receive calls handle for each message until the link is closed. The message is valid only during the call.
func (l *Link) Receive(handle func(message []byte)) {
	buf := make([]byte, MaxMessage+1)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// An ICMP error from a closed port of a peer can appear here. It does not affect later messages.
			time.Sleep(readPause)
		case n <= MaxMessage:
			handle(buf[:n])
		}
	}
}

// Close closes the socket, which ends Receive.
func (l *Link) Close() error {
	if err := l.conn.Close(); err != nil {
		return fmt.Errorf("close link to peers: %w", err)
	}
	return nil
}
