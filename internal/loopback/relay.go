package loopback

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// bufferBytes is the maximum that a relay reads at once.
const bufferBytes = 16 << 10

// Direction is a direction of a relayed connection.
type Direction int

// The directions of a connection: Forward is from the caller to the target.
const (
	Forward Direction = iota
	Backward
)

// Relay forwards connections to a target and can block either direction, as a network partition does. Data that was sent
// during the partition arrives after it has healed, unless its sender has reset the connection.
type Relay struct {
	addr   string
	target string
	ln     net.Listener

	mu sync.Mutex
	// open holds a channel for each direction, which is closed unless the direction is cut.
	open  [2]chan struct{}
	conns map[net.Conn]struct{}
}

// NewRelay starts a relay to the target address. It listens on an address of its own.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", AnyPort())
	if err != nil {
		return nil, fmt.Errorf("listen for relay: %w", err)
	}
	r := &Relay{
		addr:   ln.Addr().String(),
		target: target,
		ln:     ln,
		open:   [2]chan struct{}{make(chan struct{}), make(chan struct{})},
		conns:  make(map[net.Conn]struct{}),
	}
	r.Heal()
	go r.serve()
	return r, nil
}

// Addr returns the address of the relay.
func (r *Relay) Addr() string {
	return r.addr
}

func (r *Relay) serve() {
	for {
		from, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.proxy(from)
	}
}

// proxy relays a connection to the target. While Forward is cut it waits, as a caller does when its SYN is lost.
func (r *Relay) proxy(from net.Conn) {
	defer from.Close()
	caller := newSource(from)
	defer caller.discard()
	if !r.await(Forward, caller) {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	r.track(from, to)
	defer r.untrack(from, to)
	target := newSource(to)
	defer target.discard()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(from, target, Backward)
	}()
	r.copy(to, caller, Forward)
	<-done
}

func (r *Relay) copy(to net.Conn, from *source, d Direction) {
	for data := range from.data {
		if !r.await(d, from) {
			to.Close()
			return
		}
		if _, err := to.Write(data); err != nil {
			from.conn.Close()
			return
		}
	}
	select {
	case <-from.reset:
		to.Close()
	default:
		if r.await(d, from) {
			_ = to.(*net.TCPConn).CloseWrite()
		}
	}
}

// await waits until the direction is open. It returns false if the sender resets its connection before.
func (r *Relay) await(d Direction, from *source) bool {
	open := r.gate(d)
	select {
	case <-open:
		return true
	default:
	}
	select {
	case <-open:
		return true
	case <-from.reset:
		return false
	}
}

// source reads ahead from a connection, so that its reset is noticed while data waits.
type source struct {
	conn net.Conn
	data chan []byte
	// reset is closed when the connection fails, other than by its end.
	reset chan struct{}
}

func newSource(c net.Conn) *source {
	s := &source{
		conn:  c,
		data:  make(chan []byte, 1),
		reset: make(chan struct{}),
	}
	go s.read()
	return s
}

func (s *source) read() {
	defer close(s.data)
	for {
		buf := make([]byte, bufferBytes)
		n, err := s.conn.Read(buf)
		if n > 0 {
			s.data <- buf[:n]
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			close(s.reset)
			return
		}
	}
}

// discard closes the connection and ends read.
func (s *source) discard() {
	s.conn.Close()
	for range s.data {
	}
}

func (r *Relay) gate(d Direction) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[d]
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// Cut blocks the directions.
func (r *Relay) Cut(directions ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range directions {
		r.open[d] = make(chan struct{})
	}
}

// Heal unblocks both directions.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, open := range r.open {
		select {
		case <-open:
		default:
			close(open)
		}
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.ln.Close()
	r.Heal()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}
