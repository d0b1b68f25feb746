package httpserver

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Server is an HTTP server with its listener. It replaces the shutdown of fasthttp, which waits for connections that
// were opened but never used.
type Server struct {
	server *fasthttp.Server
	ln     net.Listener
	wg     conc.WaitGroup
	// observe is the server's own ConnState; nil if it has none.
	observe func(net.Conn, fasthttp.ConnState)

	mu      sync.Mutex
	idle    map[net.Conn]struct{}
	stopped bool
	// active holds the connections with a running request. none is closed when there is none; it is nil unless Await waits.
	active map[net.Conn]struct{}
	none   chan struct{}
}

// New returns a server that does not listen yet. It takes ownership of the fasthttp server and wraps its ConnState. The server leaves
// the bodies of requests as they arrive: fasthttp would parse a form, and encode it anew for its handler.
func New(server *fasthttp.Server) *Server {
	s := &Server{
		server:  server,
		observe: server.ConnState,
		idle:    make(map[net.Conn]struct{}),
		active:  make(map[net.Conn]struct{}),
	}
	server.ConnState = s.trackState
	server.DisablePreParseMultipartForm = true
	return s
}

// Start serves the connections of a listener in the background until Stop.
func (s *Server) Start(ln net.Listener) {
	s.ln = ln
	s.wg.Go(func() {
		// If the listener fails, callers get connection errors.
		_ = s.server.Serve(ln)
	})
}

// Stop stops listening and closes the connections without a running request. Other connections are closed after their
// requests, for which Await waits.
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

// Await waits until the responses to all running requests are written, or ctx ends.
func (s *Server) Await(ctx context.Context) {
	s.mu.Lock()
	if len(s.active) == 0 {
		s.mu.Unlock()
		return
	}
	none := make(chan struct{})
	s.none = none
	s.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}

func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for conn := range s.idle {
		conn.Close()
	}
}

// trackState tracks which connections have no running request.
func (s *Server) trackState(conn net.Conn, state fasthttp.ConnState) {
	if s.observe != nil {
		s.observe(conn, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateActive:
		delete(s.idle, conn)
		s.active[conn] = struct{}{}
	case fasthttp.StateNew, fasthttp.StateIdle:
		s.endActive(conn)
		if s.stopped {
			conn.Close()
			return
		}
		s.idle[conn] = struct{}{}
	case fasthttp.StateHijacked, fasthttp.StateClosed:
		s.endActive(conn)
		delete(s.idle, conn)
	}
}

// endActive records that a connection has no running request. mu is held.
func (s *Server) endActive(conn net.Conn) {
	delete(s.active, conn)
	if len(s.active) == 0 && s.none != nil {
		close(s.none)
		s.none = nil
	}
}
