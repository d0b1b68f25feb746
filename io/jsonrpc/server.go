package jsonrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"waxwingpick"
	"waxwingpick/core/background"
	"waxwingpick/io/mtls"
	"waxwingpick/io/tcp"
)

// Limits of a server.
const (
	maxConns        = 1024
	maxCallsPerConn = 32
	writeIdle       = 5 * time.Second
)

// Error codes of replies, from JSON-RPC's range for servers.
const (
	codeRefused = -32001
	codeBusy    = -32002
	codeDenied  = -32003
)

// HandlerFunc answers one control call.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// method is a handler with the roles of certificates that may call it.
type method struct {
	handle HandlerFunc
	roles  []mtls.Role
}

// Server answers control calls.
type Server struct {
	fleet       string
	credentials *mtls.Credentials
	handlers    map[string]method
	open        map[string]method
	mu          sync.Mutex
	ln          net.Listener
	conns       map[*jsonrpc2.Conn]struct{}
	closed      bool
	work        background.Group
}

// ServerOption sets one property of a server.
type ServerOption func(*Server)

// ServeWith secures the connections that the server accepts.
func ServeWith(c *mtls.Credentials) ServerOption {
	return func(s *Server) {
		s.credentials = c
	}
}

// NewServer returns a server without handlers for the processes of a fleet; an empty name is a fleet too.
func NewServer(fleet string, opts ...ServerOption) *Server {
	s := &Server{
		fleet:    fleet,
		open:     make(map[string]method),
		handlers: make(map[string]method),
		conns:    make(map[*jsonrpc2.Conn]struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handle registers the handler of a method for callers of the same fleet, before Start. Where the caller has a
// certificate, it must have one of the roles; without roles nobody with a certificate may call.
func (s *Server) Handle(name string, h HandlerFunc, roles ...mtls.Role) {
	s.handlers[fleetMethod(s.fleet, name)] = method{
		handle: h,
		roles:  roles,
	}
}

// HandleOpen registers the handler of a method for callers that name no fleet too, before Start.
func (s *Server) HandleOpen(name string, h HandlerFunc, roles ...mtls.Role) {
	s.Handle(name, h, roles...)
	s.open[name] = method{
		handle: h,
		roles:  roles,
	}
}

// fleetMethod returns a method's name between processes of a fleet. An address may be given to an instance of another
// fleet while a former list is still held; there the name is not known.
func fleetMethod(fleet, method string) string {
	if fleet == "" {
		return method
	}
	return fleet + "/" + method
}

// method returns the method of a call, without a handler where there is none.
func (s *Server) method(name string) method {
	if m, ok := s.handlers[name]; ok {
		return m
	}
	return s.open[name]
}

// HandleTyped registers a handler whose parameters are decoded from JSON.
func HandleTyped[P, R any](s *Server, method string, h func(ctx context.Context, params P) (R, error), roles ...mtls.Role) {
	s.Handle(method, typed(method, h), roles...)
}

// HandleTypedOpen registers a handler for callers that name no fleet too, whose parameters are decoded from JSON.
func HandleTypedOpen[P, R any](s *Server, method string, h func(ctx context.Context, params P) (R, error), roles ...mtls.Role) {
	s.HandleOpen(method, typed(method, h), roles...)
}

func typed[P, R any](method string, h func(ctx context.Context, params P) (R, error)) HandlerFunc {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fmt.Errorf("decode parameters of %s: %w", method, err)
		}
		return h(ctx, params)
	}
}

// Start listens on the address, serves until Close and returns the bound address.
func (s *Server) Start(addr string) (string, error) {
	inner, err := tcp.Listen(addr, maxConns, writeIdle)
	if err != nil {
		return "", err
	}
	ln := s.credentials.Listen(inner)
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.work.Start(func() {
		s.accept(ln)
	})
	return ln.Addr().String(), nil
}

// Close stops listening, closes all connections and waits for running handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.ln != nil {
		s.ln.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.work.Close()
}

func (s *Server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &connHandler{
		server: s,
		conn:   c,
		slots:  make(chan struct{}, maxCallsPerConn),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		cancel()
		c.Close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(c, boundedCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, h, quiet())
	s.conns[rpc] = struct{}{}
	s.work.Start(func() {
		<-rpc.DisconnectNotify()
		cancel()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	})
}

// connHandler runs the calls of one connection side by side, within a bound.
type connHandler struct {
	server *Server
	conn   net.Conn
	slots  chan struct{}
}

// Handle starts one call, or refuses it when too many run on the connection.
func (h *connHandler) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case h.slots <- struct{}{}:
	default:
		reply(ctx, c, req, nil, &jsonrpc2.Error{
			Code:    codeBusy,
			Message: "too many calls on this connection",
		})
		return
	}
	started := h.server.work.Start(func() {
		defer func() {
			<-h.slots
		}()
		h.run(ctx, c, req)
	})
	if !started {
		// The server closes and its connections with it, so the caller sees a lost connection.
		<-h.slots
	}
}

func (h *connHandler) run(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	m := h.server.method(req.Method)
	if m.handle == nil {
		reply(ctx, c, req, nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "no method " + req.Method,
		})
		return
	}
	if err := h.server.credentials.Authorize(h.conn, req.Method, m.roles); err != nil {
		reply(ctx, c, req, nil, &jsonrpc2.Error{
			Code:    codeDenied,
			Message: err.Error(),
		})
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := m.handle(ctx, params)
	if err != nil {
		reply(ctx, c, req, nil, encodeError(err))
		return
	}
	reply(ctx, c, req, result, nil)
}

func reply(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request, result any, rpcErr *jsonrpc2.Error) {
	if req.Notif {
		return
	}
	if rpcErr != nil {
		// The caller sees a lost connection when the reply can't be sent.
		_ = c.ReplyWithError(ctx, req.ID, rpcErr)
		return
	}
	_ = c.Reply(ctx, req.ID, result)
}

// encodeError keeps a refusal typed across the wire.
func encodeError(err error) *jsonrpc2.Error {
	rpcErr := &jsonrpc2.Error{
		Code:    jsonrpc2.CodeInternalError,
		Message: err.Error(),
	}
	var refusal *waxwingpick.Refusal
	if errors.As(err, &refusal) {
		rpcErr.Code = codeRefused
		rpcErr.SetError(refusal)
	}
	return rpcErr
}

func decodeError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		return err
	}
	if rpcErr.Code == codeBusy || rpcErr.Code == jsonrpc2.CodeMethodNotFound {
		return fmt.Errorf("%w: %w", ErrNotTaken, err)
	}
	if rpcErr.Code == codeDenied {
		return fmt.Errorf("%w: %w: %w", ErrNotTaken, mtls.ErrRefused, err)
	}
	if rpcErr.Code != codeRefused || rpcErr.Data == nil {
		return err
	}
	var refusal waxwingpick.Refusal
	if json.Unmarshal(*rpcErr.Data, &refusal) != nil {
		return err
	}
	return &refusal
}

// quiet keeps the library from printing; a broken connection shows as an error of its calls.
func quiet() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}
