package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// linkWindow is the receive buffer of a link, so that a caller that does not read soon blocks the writer.
	linkWindow = 32 << 10
	// linkChunk is the number of bytes that a link carries at once.
	linkChunk = 8 << 10
)

// link carries the connections of callers to a gateway. Each caller has a bandwidth of its own at which it receives.
type link struct {
	w              *world
	to             string
	bytesPerSecond int
	ln             net.Listener
}

// startLink puts a link before a gateway, to which callers connect then.
func (w *world) startLink(g *gateway, megabits int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for link: %w", err)
	}
	l := &link{
		w:              w,
		to:             g.front,
		bytesPerSecond: megabits * 1_000_000 / 8,
		ln:             ln,
	}
	context.AfterFunc(w.ctx, func() { ln.Close() })
	go l.accept()
	g.front = ln.Addr().String()
	return nil
}

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c.(*net.TCPConn))
	}
}

func (l *link) serve(caller *net.TCPConn) {
	defer caller.Close()
	d := net.Dialer{
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			if err := c.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
			}); err != nil {
				return err
			}
			return set
		},
	}
	conn, err := d.DialContext(l.w.ctx, "tcp", l.to)
	if err != nil {
		return
	}
	gateway := conn.(*net.TCPConn)
	defer gateway.Close()
	go func() {
		_, _ = io.Copy(gateway, caller)
		_ = gateway.CloseWrite()
	}()
	b := make([]byte, linkChunk)
	// freeAt is when the caller has received everything so far.
	var freeAt time.Time
	for {
		n, err := gateway.Read(b)
		if n > 0 {
			if now := time.Now(); freeAt.Before(now) {
				freeAt = now
			}
			freeAt = freeAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
			time.Sleep(time.Until(freeAt))
			if _, err := caller.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
