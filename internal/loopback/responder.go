package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

// Responder is a server that writes raw bytes in response to the first request of each connection.
type Responder struct {
	ln    net.Listener
	serve func(c *net.TCPConn, r *http.Request)
	wg    conc.WaitGroup
}

// NewResponder starts a server that closes the connection in order after a response. respond is called concurrently, after the body of
// the request has been read.
func NewResponder(respond func(r *http.Request) string) (*Responder, error) {
	return newResponder(func(c *net.TCPConn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(c, respond(r))
		}
	})
}

// NewEarlyReset starts a server that reads a number of bytes of a request's body, writes a response, and resets the connection after a
// pause.
func NewEarlyReset(read int64, response string, pause time.Duration) (*Responder, error) {
	return newResponder(func(c *net.TCPConn, r *http.Request) {
		if _, err := io.CopyN(io.Discard, r.Body, read); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		time.Sleep(pause)
		// SetLinger fails only on a connection that the client has closed.
		_ = c.SetLinger(0)
	})
}

func newResponder(serve func(c *net.TCPConn, r *http.Request)) (*Responder, error) {
	ln, err := net.Listen("tcp", AnyPort())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Responder{
		ln:    ln,
		serve: serve,
	}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr returns the address of the server.
func (s *Responder) Addr() string {
	return s.ln.Addr().String()
}

// Close stops the server and waits for its connections.
func (s *Responder) Close() {
	s.ln.Close()
	s.wg.Wait()
}

func (s *Responder) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() {
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				s.serve(c.(*net.TCPConn), r)
			}
		})
	}
}
