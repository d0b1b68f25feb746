package etcd

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/etcdwire"
	"waxwingpick/internal/standin/memkv"
)

const (
	// maxBody is the maximum size of a request in bytes, enough for the largest value in base64 and the other fields.
	maxBody = 2 << 20
	// headerTimeout is the time-out for reading a request.
	headerTimeout = 10 * time.Second
)

// Server is a stand-in for the key-value service.
type Server struct {
	timers waxwingpick.Timers
	store  *memkv.Store
	kv     *memkv.Client
	cut    atomic.Bool

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
	wg    conc.WaitGroup
}

// Option configures a Server.
type Option func(*Server) error

// WithTimers sets the timer service for leases and delays.
func WithTimers(timers waxwingpick.Timers) Option {
	return func(s *Server) error {
		s.timers = timers
		return nil
	}
}

// New returns a server without keys.
func New(opts ...Option) (*Server, error) {
	s := &Server{
		timers: timer.NewSystem(),
		conns:  make(map[net.Conn]struct{}),
	}
	for _, opt := range opts {
		if err := opt(s); err != nil {
			return nil, fmt.Errorf("set up key-value stand-in: %w", err)
		}
	}
	s.store = memkv.New(s.timers)
	s.kv = s.store.Client()
	return s, nil
}

// Store returns the in-memory service, which has fault switches and counters.
func (s *Server) Store() *memkv.Store {
	return s.store
}

// SetCut makes the server close the connection of each call, without effect or response.
func (s *Server) SetCut(cut bool) {
	s.cut.Store(cut)
}

// Start listens on the address and returns the bound address. It may be called again after Close.
func (s *Server) Start(addr string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		return "", eris.New("key-value stand-in is already started")
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("start key-value stand-in: %w", err)
	}
	s.ln = ln
	server := &fasthttp.Server{
		Handler:            s.handle,
		ConnState:          s.track,
		MaxRequestBodySize: maxBody,
		ReadTimeout:        headerTimeout,
		IdleTimeout:        time.Minute,
		Logger:             discardLogger{},
	}
	s.wg.Go(func() {
		_ = server.Serve(ln)
	})
	return ln.Addr().String(), nil
}

// Close stops listening and closes every connection. Keys and leases are kept.
func (s *Server) Close() {
	s.mu.Lock()
	if s.ln != nil {
		_ = s.ln.Close()
		s.ln = nil
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.store.BreakWatches()
	s.wg.Wait()
}

// discardLogger drops log messages, which would report each connection that a fault closes.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (s *Server) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[c] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if admin, ok := s.adminHandler(path); ok {
		admin(ctx)
		return
	}
	if s.cut.Load() {
		closeConnection(ctx)
		return
	}
	switch path {
	case etcdwire.PathRange:
		serve(ctx, s.rangeKeys)
	case etcdwire.PathTxn:
		serve(ctx, s.txn)
	case etcdwire.PathGrant:
		serve(ctx, s.grant)
	case etcdwire.PathKeepAlive:
		serve(ctx, s.keepAlive)
	case etcdwire.PathRevoke:
		serve(ctx, s.revoke)
	case etcdwire.PathWatch:
		s.watch(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_ = c.Close()
	})
}

// status returns the HTTP status and the error of the gateway for an error of the service.
func status(err error) (int, etcdwire.Status) {
	switch {
	case errors.Is(err, waxwingpick.ErrLeaseExpired):
		return newStatus(fasthttp.StatusNotFound, etcdwire.CodeNotFound, etcdwire.MessageLeaseNotFound)
	case errors.Is(err, waxwingpick.ErrValueTooLarge):
		return newStatus(fasthttp.StatusBadRequest, etcdwire.CodeInvalidArgument, etcdwire.MessageTooLarge)
	case errors.Is(err, memkv.ErrTooManyCalls):
		return newStatus(fasthttp.StatusTooManyRequests, etcdwire.CodeResourceExhausted, etcdwire.MessageTooManyRequests)
	case errors.Is(err, waxwingpick.ErrUnavailable):
		return newStatus(fasthttp.StatusServiceUnavailable, etcdwire.CodeUnavailable, etcdwire.MessageNoLeader)
	}
	return newStatus(fasthttp.StatusBadRequest, etcdwire.CodeInvalidArgument, err.Error())
}

func newStatus(http, code int, message string) (int, etcdwire.Status) {
	return http, etcdwire.Status{
		Code:    code,
		Message: message,
	}
}
