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

// Limits of a Server.
const (
	maxConns        = 1024
	maxCallsPerConn = 32
	writeIdle       = 5 * time.Second
)

// Error codes of responses, from the range that JSON-RPC reserves for implementation-defined server errors.
const (
	codeRefused = -32001
	codeBusy    = -32002
	codeDenied  = -32003
)

// HandlerFunc handles one control call and returns its result.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// method is a handler with the certificate roles that may call it.
type method struct {
	handle HandlerFunc
	roles  []mtls.Role
}

// Server serves control calls.
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

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithServerCredentials secures accepted connections with TLS.
func WithServerCredentials(c *mtls.Credentials) ServerOption {
	return func(s *Server) {
		s.credentials = c
	}
}

// NewServer returns a server without handlers for the processes of a fleet. An empty name is a valid fleet.
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

// Handle registers the handler of a method for callers of the same fleet. It must be called before Start. A caller with
// a certificate must have one of the roles, so without roles every such caller is denied.
func (s *Server) Handle(name string, h HandlerFunc, roles ...mtls.Role) {
	s.handlers[fleetMethod(s.fleet, name)] = method{
		handle: h,
		roles:  roles,
	}
}

// HandleOpen is like Handle, but callers that specify no fleet may call the method as well.
func (s *Server) HandleOpen(name string, h HandlerFunc, roles ...mtls.Role) {
	s.Handle(name, h, roles...)
	s.open[name] = method{
		handle: h,
		roles:  roles,
	}
}

// fleetMethod returns the name of a method on the wire. It contains the fleet because an address may be reassigned to an
// instance of another fleet while callers still hold an older list of instances. That instance does not know the method.
func fleetMethod(fleet, method string) string {
	if fleet == "" {
		return method
	}
	return fleet + "/" + method
}

// method returns the method with a name, with a nil handler if there is none.
func (s *Server) method(name string) method {
	if m, ok := s.handlers[name]; ok {
		return m
	}
	return s.open[name]
}

// HandleTyped is like Server.Handle for a handler whose parameters are decoded from JSON.
func HandleTyped[P, R any](s *Server, method string, h func(ctx context.Context, params P) (R, error), roles ...mtls.Role) {
	s.Handle(method, typed(method, h), roles...)
}

// HandleTypedOpen is like Server.HandleOpen for a handler whose parameters are decoded from JSON.
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

// Start listens on addr, serves in the background until Close and returns the bound address.
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
	rpc := jsonrpc2.NewConn(ctx, stream, h, discardLog())
	s.conns[rpc] = struct{}{}
	s.work.Start(func() {
		<-rpc.DisconnectNotify()
		cancel()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	})
}

// connHandler runs the calls of one connection concurrently, up to maxCallsPerConn at a time.
type connHandler struct {
	server *Server
	conn   net.Conn
	slots  chan struct{}
}

// Handle starts one call, or rejects it with codeBusy when too many calls run on the connection.
func (h *connHandler) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case h.slots <- struct{}{}:
	default:
		respond(ctx, c, req, nil, &jsonrpc2.Error{
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
		// The server is closing and closes the connection as well, so the caller gets a connection error.
		<-h.slots
	}
}

func (h *connHandler) run(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	m := h.server.method(req.Method)
	if m.handle == nil {
		respond(ctx, c, req, nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "no method " + req.Method,
		})
		return
	}
	if err := h.server.credentials.Authorize(h.conn, req.Method, m.roles); err != nil {
		respond(ctx, c, req, nil, &jsonrpc2.Error{
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
		respond(ctx, c, req, nil, encodeError(err))
		return
	}
	respond(ctx, c, req, result, nil)
}

func respond(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request, result any, rpcErr *jsonrpc2.Error) {
	if req.Notif {
		return
	}
	if rpcErr != nil {
		// If the response cannot be sent, the caller gets a connection error.
		_ = c.ReplyWithError(ctx, req.ID, rpcErr)
		return
	}
	_ = c.Reply(ctx, req.ID, result)
}

// encodeError encodes an error. A refusal is added as data, from which decodeError restores it.
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
		return fmt.Errorf("%w: %w", ErrNotHandled, err)
	}
	if rpcErr.Code == codeDenied {
		return fmt.Errorf("%w: %w: %w", ErrNotHandled, mtls.ErrRefused, err)
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

// discardLog disables the log output of the library. Connection errors are returned by the calls on the connection.
func discardLog() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}
