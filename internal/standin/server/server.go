package server

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/loopback"
)

// FaultPrefix is the path prefix that no fault applies to.
const FaultPrefix = "/admin/faults"

const (
	maxBodyBytes  = 64 << 20
	relistenDelay = 2 * time.Millisecond
)

// Server serves an application on one address until it is closed.
type Server struct {
	http          *fasthttp.Server
	cfg           settings
	system        *timer.System
	addr          string
	firstListener net.Listener
	wg            conc.WaitGroup
	done          chan struct{}

	mu sync.Mutex
	ln *listener
	// connsContext ends when Down or Close breaks the connections.
	connsContext  context.Context
	cancelConns   context.CancelCauseFunc
	downCount     int
	closed        bool
	slow          time.Duration
	slowed        int
	lostResponses []lossRule
	lostRequests  []lossRule
	cancelUps     []func()
}

type lossRule struct {
	pathPrefix string
	remaining  int
}

// New listens on the address. Start serves the routes.
func New(routes func(app *fiber.App), opts ...Option) (*Server, error) {
	s := &Server{
		cfg: settings{
			restartTime: defaultRestartTime,
		},
		done: make(chan struct{}),
	}
	for _, opt := range opts {
		if err := opt(&s.cfg); err != nil {
			return nil, fmt.Errorf("stand-in option: %w", err)
		}
	}
	if s.cfg.addr == "" {
		// The kernel does not assign this port to other listeners while the server is down.
		var err error
		if s.cfg.addr, err = loopback.FreeAddr(); err != nil {
			return nil, fmt.Errorf("choose an address: %w", err)
		}
	}
	if s.cfg.timers == nil {
		s.system = timer.NewSystem()
		s.cfg.timers = s.system
	}
	app := fiber.New()
	app.Use(s.injectFaults)
	routes(app)
	s.http = &fasthttp.Server{
		Handler:               app.Handler(),
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		// Stand-ins record bodies as they arrive.
		DisablePreParseMultipartForm: true,
		// The faults break connections, so errors are expected.
		Logger:          log.New(io.Discard, "", 0),
		CloseOnShutdown: true,
	}
	inner, err := net.Listen("tcp", s.cfg.addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", s.cfg.addr, err)
	}
	s.addr = inner.Addr().String()
	s.firstListener = inner
	return s, nil
}

// Start begins to accept connections.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(s.firstListener)
}

// Addr returns the IP address and port that the server listens on.
func (s *Server) Addr() string {
	return s.addr
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.done)
	ln := s.ln
	s.ln = nil
	stops := s.cancelUps
	s.cancelUps = nil
	s.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	if ln != nil {
		s.cancelConns(errBroken)
		ln.abort()
	}
	s.wg.Wait()
	if s.system != nil {
		s.system.Close()
	}
}

// Timers returns the timer service.
func (s *Server) Timers() waxwingpick.Timers {
	return s.cfg.timers
}

// Down closes all connections and refuses new ones for the duration. Zero means until Up.
func (s *Server) Down(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.downCount++
	if s.ln != nil {
		s.cancelConns(errBroken)
		s.ln.abort()
		s.ln = nil
	}
	if d > 0 {
		s.scheduleUp(d, s.downCount)
	}
}

// Crash calls Down with the restart time.
func (s *Server) Crash() {
	s.Down(s.cfg.restartTime)
}

// Up accepts connections again.
func (s *Server) Up() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up()
}

// SetSlow delays the handling of each request.
func (s *Server) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Slowed returns the number of requests that SetSlow has delayed.
func (s *Server) Slowed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowed
}

// LoseResponses loses the responses of the next n requests whose path has the prefix, by closing their connections.
// The requests take effect.
func (s *Server) LoseResponses(pathPrefix string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostResponses = append(s.lostResponses, lossRule{
		pathPrefix: pathPrefix,
		remaining:  n,
	})
}

// LoseRequests loses the next n requests whose path has the prefix, by closing their connections. They have no effect.
func (s *Server) LoseRequests(pathPrefix string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostRequests = append(s.lostRequests, lossRule{
		pathPrefix: pathPrefix,
		remaining:  n,
	})
}

// Wait blocks for the duration. It returns false if the server is closed before.
func (s *Server) Wait(d time.Duration) bool {
	due := make(chan struct{})
	stop := s.cfg.timers.After(d, func(time.Time) {
		close(due)
	})
	defer stop()
	select {
	case <-due:
		return true
	case <-s.done:
		return false
	}
}

// Break closes the connection of a request, so that its response never arrives.
func Break(c fiber.Ctx) {
	c.RequestCtx().Conn().Close()
}

func (s *Server) serve(inner net.Listener) {
	ln := newListener(inner)
	s.ln = ln
	s.connsContext, s.cancelConns = context.WithCancelCause(context.Background())
	s.wg.Go(func() {
		// Serve returns an error whenever Close or Down closes the listener.
		_ = s.http.Serve(ln)
	})
}

func (s *Server) scheduleUp(d time.Duration, downCount int) {
	stop := s.cfg.timers.After(d, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		// A later Down has its own duration.
		if s.downCount == downCount {
			s.up()
		}
	})
	s.cancelUps = append(s.cancelUps, stop)
}

func (s *Server) up() {
	if s.closed || s.ln != nil {
		return
	}
	inner, err := net.Listen("tcp", s.addr)
	if err != nil {
		// Another socket may hold the port temporarily.
		s.scheduleUp(relistenDelay, s.downCount)
		return
	}
	s.serve(inner)
}

func (s *Server) injectFaults(c fiber.Ctx) error {
	path := c.Path()
	if strings.HasPrefix(path, FaultPrefix) {
		return c.Next()
	}
	s.mu.Lock()
	slow := s.requestDelay()
	loseRequest := matchLoss(s.lostRequests, path)
	s.mu.Unlock()
	if slow > 0 && !s.Wait(slow) {
		return fiber.ErrServiceUnavailable
	}
	if broken(c) {
		// A process that crashed during the delay does not handle the request.
		return nil
	}
	if loseRequest {
		Break(c)
		return nil
	}
	err := c.Next()
	s.mu.Lock()
	loseResponse := matchLoss(s.lostResponses, path)
	s.mu.Unlock()
	if loseResponse {
		Break(c)
	}
	return err
}

// requestDelay returns the delay of an arriving request and counts a delayed one. mu is held.
func (s *Server) requestDelay() time.Duration {
	if s.slow > 0 {
		s.slowed++
	}
	return s.slow
}

func broken(c fiber.Ctx) bool {
	owned, ok := c.RequestCtx().Conn().(*conn)
	return ok && owned.broken()
}

func matchLoss(rules []lossRule, path string) bool {
	for i := range rules {
		if rules[i].remaining > 0 && strings.HasPrefix(path, rules[i].pathPrefix) {
			rules[i].remaining--
			return true
		}
	}
	return false
}
