package httpserver

import (
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Server is a server with its listener. The library's own shutdown waits for connections that were opened and never used.
type Server struct {
	server *fasthttp.Server
	ln     net.Listener
	wg     conc.WaitGroup

	mu      sync.Mutex
	idle    map[net.Conn]struct{}
	stopped bool
}

// New returns a server that does not listen yet; the library's server belongs to it from then on.
func New(server *fasthttp.Server) *Server {
	s := &Server{
		server: server,
		idle:   make(map[net.Conn]struct{}),
	}
	server.ConnState = s.noteState
	return s
}

// Start serves the connections of a listener until Stop.
func (s *Server) Start(ln net.Listener) {
	s.ln = ln
	s.wg.Go(func() {
		// A broken listener shows as refused connections, which whoever calls sees.
		_ = s.server.Serve(ln)
	})
}

// Stop stops listening and closes the connections on which no request runs; the others are closed after their requests.
func (s *Server) Stop() error {
	if s.ln == nil {
		return nil
	}
	err := s.ln.Close()
	s.closeIdle()
	s.wg.Wait()
	if err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	return nil
}

func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for conn := range s.idle {
		conn.Close()
	}
}

// noteState keeps which connections have no request under way.
func (s *Server) noteState(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew, fasthttp.StateIdle:
		if s.stopped {
			conn.Close()
			return
		}
		s.idle[conn] = struct{}{}
	case fasthttp.StateActive, fasthttp.StateHijacked, fasthttp.StateClosed:
		delete(s.idle, conn)
	}
}
