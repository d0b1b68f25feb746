package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// firstRetransmission is the time after which TCP sends a segment again that was not acknowledged. It doubles each time.
const firstRetransmission = 200 * time.Millisecond

// link carries the connections of one machine to one server, and can be cut. What a machine sends into a cut waits in its
// kernel: it is delivered by the first retransmission after the end of the cut, also if the machine has closed the connection
// meanwhile, and is lost if the machine has reset it. A connection that is opened during a cut carries nothing.
type link struct {
	addr   string
	server string
	ln     net.Listener
	// observe is called with what the machine sends and receives, unless it is nil.
	observe func(sent bool, data []byte)

	mu    sync.Mutex
	cutAt time.Time
	// healed is closed at the end of the cut under way, whose time is healedAt.
	healed   chan struct{}
	healedAt time.Time
}

// newLink returns a link to a server, on a loopback address of its own.
func newLink(server string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	return &link{
		addr:   ln.Addr().String(),
		server: server,
		ln:     ln,
	}, nil
}

// start carries connections until the link is closed.
func (l *link) start() {
	go func() {
		for {
			c, err := l.ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
}

func (l *link) close() {
	l.ln.Close()
}

// cut begins a cut.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt = time.Now()
	l.healed = make(chan struct{})
}

// heal ends the cut under way.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healedAt = time.Now()
	close(l.healed)
	l.healed = nil
}

// isCut returns a channel that is closed at the end of the cut under way; nil if there is none.
func (l *link) isCut() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

func (l *link) carry(machine net.Conn) {
	defer machine.Close()
	if l.isCut() != nil {
		_, _ = io.Copy(io.Discard, machine)
		return
	}
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		return
	}
	defer server.Close()
	go l.forward(machine, server, true)
	l.forward(server, machine, false)
}

// forward copies one direction of a connection.
func (l *link) forward(from, to net.Conn, sent bool) {
	reset := make(chan struct{})
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				if l.observe != nil {
					l.observe(sent, b[:n])
				}
				chunks <- b[:n]
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					close(reset)
				}
				return
			}
		}
	}()
	for b := range chunks {
		if !l.await(reset) {
			break
		}
		if _, err := to.Write(b); err != nil {
			break
		}
	}
	if c, ok := to.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
}

// await waits for the first retransmission after the end of a cut of what is sent now. It returns false if the sender resets the
// connection before.
func (l *link) await(reset <-chan struct{}) bool {
	healed := l.isCut()
	if healed == nil {
		return true
	}
	sentAt := time.Now()
	select {
	case <-healed:
	case <-reset:
		return false
	}
	at, step := sentAt, firstRetransmission
	for ; at.Before(time.Now()); step *= 2 {
		at = at.Add(step)
	}
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-reset:
		return false
	}
}

// contains reports whether data contains all words.
func contains(data []byte, words ...string) bool {
	for _, word := range words {
		if !bytes.Contains(data, []byte(word)) {
			return false
		}
	}
	return true
}
