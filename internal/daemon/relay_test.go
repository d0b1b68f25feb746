package daemon_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"waxwingpick/internal/loopback"

	"github.com/stretchr/testify/require"
)

// relayChunk is the most that a relay holds of one direction of a connection, in bytes.
const relayChunk = 16 << 10

// direction is one way through a relay.
type direction int

const (
	forward direction = iota
	back
)

// relay stands between two processes and can hold up either direction, as a network partition does: what was sent
// meanwhile arrives after it has healed, if its sender still waits.
type relay struct {
	addr   string
	target string
	ln     net.Listener

	mu    sync.Mutex
	open  [2]chan struct{}
	conns map[net.Conn]struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.AnyPort())
	require.NoError(t, err)
	r := &relay{
		addr:   ln.Addr().String(),
		target: target,
		ln:     ln,
		open:   [2]chan struct{}{make(chan struct{}), make(chan struct{})},
		conns:  make(map[net.Conn]struct{}),
	}
	r.heal()
	t.Cleanup(r.close)
	go r.serve()
	return r
}

func (r *relay) serve() {
	for {
		from, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.join(from)
	}
}

// join connects one caller with the target; while the way there is cut, it waits as for a lost SYN.
func (r *relay) join(from net.Conn) {
	defer from.Close()
	<-r.gate(forward)
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
		r.copy(from, to, back)
	}()
	r.copy(to, from, forward)
	<-done
}

func (r *relay) copy(to, from net.Conn, d direction) {
	buf := make([]byte, relayChunk)
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

func (r *relay) gate(d direction) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open[d]
}

func (r *relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

func (r *relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// cut holds up what goes in the directions.
func (r *relay) cut(directions ...direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range directions {
		r.open[d] = make(chan struct{})
	}
}

// heal lets everything pass again.
func (r *relay) heal() {
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

func (r *relay) close() {
	r.ln.Close()
	r.heal()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}
