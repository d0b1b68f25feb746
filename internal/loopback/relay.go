package loopback

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// chunk is the most that a relay holds of one Direction of a connection, in bytes.
const chunk = 16 << 10

// Direction is one way through a relay.
type Direction int

// The Directions.
const (
	Forward Direction = iota
	Back
)

// Relay stands between two processes and can hold up either direction, as a network partition does: what was sent
// meanwhile arrives after it has healed, if its sender still waits.
type Relay struct {
	addr   string
	target string
	ln     net.Listener

	mu    sync.Mutex
	open  [2]chan struct{}
	conns map[net.Conn]struct{}
}

// NewRelay returns a relay before an address, at an address of its own.
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
		go r.join(from)
	}
}

// join connects one caller with the target; while the way there is cut, it waits as for a lost SYN.
func (r *Relay) join(from net.Conn) {
	defer from.Close()
	<-r.gate(Forward)
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	r.track(from, to)
	defer r.forget(from, to)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(from, to, Back)
	}()
	r.copy(to, from, Forward)
	<-done
}

func (r *Relay) copy(to, from net.Conn, d Direction) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		<-r.gate(d)
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			to.Close()
			return
		}
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

func (r *Relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// Cut holds up what goes in the directions.
func (r *Relay) Cut(Directions ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range Directions {
		r.open[d] = make(chan struct{})
	}
}

// Heal lets everything pass again.
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

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.ln.Close()
	r.Heal()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}
