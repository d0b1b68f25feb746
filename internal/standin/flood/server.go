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

// Server answers each request with a beginning and then with one piece over and over, until it is cut off; its methods are safe for concurrent use.
type Server struct {
	ln    net.Listener
	first string
	piece string
	pause time.Duration
	taken atomic.Int64
	cut   chan struct{}
}

// New starts a server; pause is the time between two pieces.
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

// Cut returns a channel that tells that a caller closed its connection.
func (f *Server) Cut() <-chan struct{} {
	return f.cut
}

// Taken returns the number of bytes that callers and the buffers on the way took.
func (f *Server) Taken() int64 {
	return f.taken.Load()
}

// Close ends the server; answers under way go on until they are cut off.
func (f *Server) Close() {
	f.ln.Close()
}

func (f *Server) serve() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.answer(c)
	}
}

func (f *Server) answer(c net.Conn) {
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
		f.taken.Add(int64(n))
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
