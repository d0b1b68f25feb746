package loopback

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/sourcegraph/conc"
)

// Responder is a server that writes raw bytes in response to each request, and closes the connection in order then.
type Responder struct {
	ln      net.Listener
	respond func(r *http.Request) string
	wg      conc.WaitGroup
}

// NewResponder starts a server. respond is called concurrently, after the body of the request has been read.
func NewResponder(respond func(r *http.Request) string) (*Responder, error) {
	ln, err := net.Listen("tcp", AnyPort())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Responder{
		ln:      ln,
		respond: respond,
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
		s.wg.Go(func() { s.serve(c) })
	}
}

func (s *Responder) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		_, _ = io.WriteString(c, s.respond(r))
	}
}
