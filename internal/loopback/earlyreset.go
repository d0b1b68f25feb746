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

// EarlyReset is a server that responds to a request before it has read all of it, and resets the connection then.
type EarlyReset struct {
	ln       net.Listener
	read     int64
	response string
	pause    time.Duration
	wg       conc.WaitGroup
}

// NewEarlyReset starts a server that reads a number of bytes of a request's body, writes a response as it is, and resets the
// connection after a pause.
func NewEarlyReset(read int64, response string, pause time.Duration) (*EarlyReset, error) {
	ln, err := net.Listen("tcp", AnyPort())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &EarlyReset{
		ln:       ln,
		read:     read,
		response: response,
		pause:    pause,
	}
	s.wg.Go(func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serve(c.(*net.TCPConn)) })
		}
	})
	return s, nil
}

// Addr returns the address of the server.
func (s *EarlyReset) Addr() string {
	return s.ln.Addr().String()
}

// Close stops the server and waits for its connections.
func (s *EarlyReset) Close() {
	s.ln.Close()
	s.wg.Wait()
}

func (s *EarlyReset) serve(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, s.read); err != nil {
		return
	}
	_, _ = io.WriteString(c, s.response)
	time.Sleep(s.pause)
	// SetLinger fails only on a connection that the client has closed.
	_ = c.SetLinger(0)
}
