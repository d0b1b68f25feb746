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

// FaultPrefix is the path prefix that no fault switch disturbs.
const FaultPrefix = "/admin/faults"

const (
	maxBodyBytes = 64 << 20
	relistenWait = 2 * time.Millisecond
)

// Server serves an application on one address until it is closed.
type Server struct {
	http   *fasthttp.Server
	cfg    settings
	system *timer.System
	addr   string
	first  net.Listener
	wg     conc.WaitGroup
	done   chan struct{}

	mu sync.Mutex
	ln *listener
	// live ends when Down breaks the connections.
	live    context.Context
	cutOff  context.CancelCauseFunc
	downs   int
	closed  bool
	slow    time.Duration
	slowed  int
	lost    []lostAnswer
	deafTo  []lostAnswer
	stopUps []func()
}

type lostAnswer struct {
	pathPrefix string
	left       int
}

// New listens on the address; Start serves the routes.
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
		// While the server is down its address stays free, so that callers reach nobody there.
		var err error
		if s.cfg.addr, err = loopback.Free(); err != nil {
			return nil, fmt.Errorf("choose an address: %w", err)
		}
	}
	if s.cfg.timers == nil {
		s.system = timer.NewSystem()
		s.cfg.timers = s.system
	}
	app := fiber.New()
	app.Use(s.inject)
	routes(app)
	s.http = &fasthttp.Server{
		Handler:               app.Handler(),
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		// Broken connections are what the faults are for.
		Logger:          log.New(io.Discard, "", 0),
		CloseOnShutdown: true,
	}
	inner, err := net.Listen("tcp", s.cfg.addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", s.cfg.addr, err)
	}
	s.addr = inner.Addr().String()
	s.first = inner
	return s, nil
}

// Start begins to accept connections.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(s.first)
}

// Addr returns the IP address and port.
func (s *Server) Addr() string {
	return s.addr
}

// Close stops the server and breaks its connections.
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
	stops := s.stopUps
	s.stopUps = nil
	s.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	if ln != nil {
		s.cutOff(errBroken)
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

// Down breaks every connection and refuses new ones for the duration; zero means until Up.
func (s *Server) Down(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.downs++
	if s.ln != nil {
		s.cutOff(errBroken)
		s.ln.abort()
		s.ln = nil
	}
	if d > 0 {
		s.upLater(d, s.downs)
	}
}

// Crash is Down for the restart time.
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

// Slowed returns how many requests have arrived while SetSlow delayed them.
func (s *Server) Slowed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowed
}

// LoseAnswers breaks the connection after the effect of the next n requests whose path has the prefix.
func (s *Server) LoseAnswers(pathPrefix string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = append(s.lost, lostAnswer{
		pathPrefix: pathPrefix,
		left:       n,
	})
}

// LoseRequests breaks the connection before the effect of the next n requests whose path has the prefix.
func (s *Server) LoseRequests(pathPrefix string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deafTo = append(s.deafTo, lostAnswer{
		pathPrefix: pathPrefix,
		left:       n,
	})
}

// Wait blocks for the duration; it reports false when the server was closed meanwhile.
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

// Break closes the connection of a request, so that its answer never arrives.
func Break(c fiber.Ctx) {
	c.RequestCtx().Conn().Close()
}

func (s *Server) serve(inner net.Listener) {
	ln := newListener(inner)
	s.ln = ln
	s.live, s.cutOff = context.WithCancelCause(context.Background())
	s.wg.Go(func() {
		// Serve ends with an error whenever the listener is closed on purpose.
		_ = s.http.Serve(ln)
	})
}

func (s *Server) upLater(d time.Duration, downs int) {
	stop := s.cfg.timers.After(d, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		// A later Down decides for itself when it ends.
		if s.downs == downs {
			s.up()
		}
	})
	s.stopUps = append(s.stopUps, stop)
}

func (s *Server) up() {
	if s.closed || s.ln != nil {
		return
	}
	inner, err := net.Listen("tcp", s.addr)
	if err != nil {
		// Another socket holds the port for a moment.
		s.upLater(relistenWait, s.downs)
		return
	}
	s.serve(inner)
}

func (s *Server) inject(c fiber.Ctx) error {
	path := c.Path()
	if strings.HasPrefix(path, FaultPrefix) {
		return c.Next()
	}
	s.mu.Lock()
	slow := s.slowRequest()
	deaf := take(s.deafTo, path)
	s.mu.Unlock()
	if slow > 0 && !s.Wait(slow) {
		return fiber.ErrServiceUnavailable
	}
	if broken(c) {
		// A process that died meanwhile has not handled the request.
		return nil
	}
	if deaf {
		Break(c)
		return nil
	}
	err := c.Next()
	s.mu.Lock()
	lose := take(s.lost, path)
	s.mu.Unlock()
	if lose {
		Break(c)
	}
	return err
}

// slowRequest returns the delay of an arriving request and counts it where there is one; mu is held.
func (s *Server) slowRequest() time.Duration {
	if s.slow > 0 {
		s.slowed++
	}
	return s.slow
}

func broken(c fiber.Ctx) bool {
	owned, ok := c.RequestCtx().Conn().(*conn)
	return ok && owned.broken()
}

func take(rules []lostAnswer, path string) bool {
	for i := range rules {
		if rules[i].left > 0 && strings.HasPrefix(path, rules[i].pathPrefix) {
			rules[i].left--
			return true
		}
	}
	return false
}
