package flood

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"waxwingpick/internal/loopback"
)

// Server responds to each request with the same first bytes and then with one piece repeatedly, until the caller closes
// the connection. Its methods are safe for concurrent use.
type Server struct {
	ln    net.Listener
	first string
	piece string
	pause time.Duration
	sent  atomic.Int64
	cut   chan struct{}
}

// New starts a server. pause is the time between two pieces.
func New(first, piece string, pause time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", loopback.AnyPort())
	if err != nil {
		return nil, fmt.Errorf("listen for flood: %w", err)
	}
	f := &Server{
		ln:    ln,
		first: first,
		piece: piece,
		pause: pause,
		cut:   make(chan struct{}, 1),
	}
	go f.serve()
	return f, nil
}

// Addr returns the server's address.
func (f *Server) Addr() string {
	return f.ln.Addr().String()
}

// Disconnected returns a channel that receives a value when a caller has closed its connection.
func (f *Server) Disconnected() <-chan struct{} {
	return f.cut
}

// BytesWritten returns the number of bytes that were written to connections, including those still in buffers.
func (f *Server) BytesWritten() int64 {
	return f.sent.Load()
}

// Close stops listening. Responses in progress continue until their callers close the connections.
func (f *Server) Close() {
	f.ln.Close()
}

func (f *Server) serve() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.respond(c)
	}
}

func (f *Server) respond(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if _, err = io.WriteString(c, f.first); err != nil {
		return
	}
	for {
		n, err := io.WriteString(c, f.piece)
		f.sent.Add(int64(n))
		if err != nil {
			select {
			case f.cut <- struct{}{}:
			default:
			}
			return
		}
		time.Sleep(f.pause)
	}
}
