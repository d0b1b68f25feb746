package service

import (
	"fmt"
	"maps"
	"strings"
	"sync"

	"github.com/gofiber/fiber/v3"

	"waxwingpick/internal/standin/server"
)

// DefaultCrashMarker is the text in a body that crashes the service.
const DefaultCrashMarker = "[[crash]]"

const (
	bookingsPath  = "/bookings"
	keyHeader     = "Idempotency-Key"
	bookingHeader = "X-Booking"
	textNotFound  = "no such booking"
	textFailure   = "failed after the run"
)

// Run is a request that the service ran.
type Run struct {
	Method string `json:"method"`
	// Path is the path with its query, as it was received.
	Path string `json:"path"`
	// Key is the Idempotency-Key header. The service ignores it.
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Booking is a stored booking.
type Booking struct {
	ID   string `json:"id"`
	Body string `json:"body"`
}

// Service is a running stand-in.
type Service struct {
	server *server.Server

	mu       sync.Mutex
	bookings map[string]Booking
	runs     []Run
	created  int
	crashes  int
	// failure is the status of each response, after the run; zero for none.
	failure int
}

// New starts a service.
func New(opts ...server.Option) (*Service, error) {
	s := &Service{
		bookings: make(map[string]Booking),
	}
	srv, err := server.New(s.routes, opts...)
	if err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	s.server = srv
	s.server.Start()
	return s, nil
}

// Addr returns the service's IP address and port.
func (s *Service) Addr() string {
	return s.server.Addr()
}

// Close stops the service and closes its connections.
func (s *Service) Close() {
	s.server.Close()
}

// Faults returns the HTTP server, which has the fault switches.
func (s *Service) Faults() *server.Server {
	return s.server
}

// FailAfterRuns makes the service respond with a status to each request that it runs. Zero ends that.
func (s *Service) FailAfterRuns(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = status
}

// Runs returns every request that the service ran, in order.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// RunsByKey counts the runs of requests that write, by Idempotency-Key, or by body where there is none.
func (s *Service) RunsByKey() map[string]int {
	counts := make(map[string]int)
	for _, r := range s.Runs() {
		if r.Method == fiber.MethodGet {
			continue
		}
		key := r.Key
		if key == "" {
			key = r.Body
		}
		counts[key]++
	}
	return counts
}

// Bookings returns a copy of the stored bookings by ID.
func (s *Service) Bookings() map[string]Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.bookings)
}

// Crashes returns how often the service crashed.
func (s *Service) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

func (s *Service) routes(app *fiber.App) {
	app.Post(bookingsPath, s.serve)
	app.All(bookingsPath+"/*", s.serve)
	app.Get("/admin/runs", func(c fiber.Ctx) error {
		return c.JSON(s.Runs())
	})
	server.FaultRoutes(app, s.Faults, s.crash)
}

// serve handles a request over HTTP.
func (s *Service) serve(c fiber.Ctx) error {
	a, ok := s.handle(Run{
		Method: strings.Clone(c.Method()),
		Path:   strings.Clone(c.OriginalURL()),
		Key:    strings.Clone(c.Get(keyHeader)),
		Body:   string(c.BodyRaw()),
	})
	if !ok {
		return nil
	}
	s.mu.Lock()
	failure := s.failure
	s.mu.Unlock()
	if failure != 0 {
		return c.Status(failure).SendString(textFailure)
	}
	if a.booking.ID == "" {
		return c.Status(a.status).SendString(textNotFound)
	}
	if a.stored {
		c.Set(bookingHeader, a.booking.ID)
	}
	return c.Status(a.status).JSON(a.booking)
}

func (s *Service) crash() {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	s.server.Crash()
}
