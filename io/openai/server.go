package openai

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/internal/http1"
	"waxwingpick/io/mtls"
	"waxwingpick/io/tcp"
)

// disconnectCheckPeriod is the time between two checks for callers that have disconnected.
const disconnectCheckPeriod = 500 * time.Millisecond

// Time-outs and limits of connections and requests.
const (
	readTimeout      = 30 * time.Second
	idleTimeout      = 75 * time.Second
	writeIdleTimeout = 15 * time.Second
	headerBytes      = 16 << 10
	maxPathBytes     = 2048
	maxKeyBytes      = 255
	// maxTraceBytes limits the traceparent that is forwarded. Version 00 of the format has 55 bytes.
	maxTraceBytes = 128
	// maxCallerIDBytes limits the request IDs of callers that are logged.
	maxCallerIDBytes = 128
	maxConcurrency   = 4096
)

// requestIDHeader holds the caller's request ID in requests, and the server's request ID in responses.
const requestIDHeader = "X-Request-Id"

// identityEncoding is the Content-Encoding of a body without one.
const identityEncoding = "identity"

// defaultWorkspace is the workspace of requests without an OpenAI-Project header.
const defaultWorkspace = "default"

const servicesPrefix = "/services/"

// Server is the HTTP server for callers.
type Server struct {
	backend     Backend
	timers      waxwingpick.Timers
	disconnects *tcp.DisconnectWatcher
	app         *fiber.App
	credentials *mtls.Credentials
	wg          conc.WaitGroup
	stop        func()
}

// Option configures a server.
type Option func(*Server)

// ServeWith sets the credentials for TLS connections from callers.
func ServeWith(c *mtls.Credentials) Option {
	return func(s *Server) {
		s.credentials = c
	}
}

// NewServer returns a server for the backend. maxBody limits request bodies, in bytes. metrics handles /metrics, and
// may be nil.
func NewServer(backend Backend, timers waxwingpick.Timers, maxBody int, metrics fiber.Handler, opts ...Option) *Server {
	s := &Server{
		backend:     backend,
		timers:      timers,
		disconnects: tcp.NewDisconnectWatcher(),
		stop:        func() {},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.app = fiber.New(fiber.Config{
		BodyLimit:      maxBody,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		ReadBufferSize: headerBytes,
		Concurrency:    maxConcurrency,
		ErrorHandler:   handleError,
		StrictRouting:  true,
		CaseSensitive:  true,
		// A form that the server parses would be encoded anew for its handler.
		DisablePreParseMultipartForm: true,
		DisableDefaultContentType:    true,
	})
	s.app.Get("/healthz", func(c fiber.Ctx) error {
		return c.SendStatus(fiber.StatusOK)
	})
	s.app.Get("/readyz", s.ready)
	if metrics != nil {
		s.app.Get("/metrics", metrics)
	}
	s.app.Get(ModelsPath, s.models)
	s.app.Post(ChatPath, s.generate)
	s.app.Post(CompletionsPath, s.generate)
	s.app.All(servicesPrefix+":service/*", s.call)
	return s
}

// Start listens on addr, serves until Shutdown, and returns the bound address.
func (s *Server) Start(addr string) (string, error) {
	ln, err := tcp.Listen(addr, maxConcurrency, writeIdleTimeout)
	if err != nil {
		return "", err
	}
	s.stop = s.timers.Every(disconnectCheckPeriod, s.disconnects.Poll)
	s.wg.Go(func() {
		s.serve(ln)
	})
	return ln.Addr().String(), nil
}

// Shutdown stops listening and waits until running requests or ctx end.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.stop()
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	s.wg.Wait()
	return nil
}

func (s *Server) serve(ln net.Listener) {
	// If the listener fails, connections are refused, and the load balancer's health checks detect it.
	_ = s.app.Listener(s.credentials.Listen(ln), fiber.ListenConfig{
		DisableStartupMessage: true,
	})
}

// readErrors are the codes of the errors for a request that the server has read.
var readErrors = []int{fiber.StatusNotFound, fiber.StatusMethodNotAllowed, fiber.StatusUnsupportedMediaType}

func handleError(c fiber.Ctx, err error) error {
	var e *fiber.Error
	if errors.As(err, &e) {
		if !slices.Contains(readErrors, e.Code) {
			// The request was not read completely, so the server closes the connection.
			tcp.LingerOnClose(c.RequestCtx().Conn())
		}
		return sendProblem(c, Problem{
			Type:    "about:blank",
			Title:   e.Message,
			Status:  e.Code,
			Outcome: waxwingpick.OutcomeNotRun,
		})
	}
	return sendProblem(c, NewProblem(err))
}

func (s *Server) ready(c fiber.Ctx) error {
	if err := s.backend.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	return c.SendStatus(fiber.StatusOK)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(c fiber.Ctx) error {
	list := modelList{
		Object: "list",
		Data:   []modelItem{},
	}
	for _, name := range s.backend.Models() {
		list.Data = append(list.Data, modelItem{
			ID:      name,
			Object:  "model",
			OwnedBy: "waxwingpick",
		})
	}
	return c.JSON(list)
}

func (s *Server) generate(c fiber.Ctx) error {
	caller, err := parseCaller(c)
	if err != nil {
		return err
	}
	if encoding := c.Get(fiber.HeaderContentEncoding); encoding != "" && !strings.EqualFold(encoding, identityEncoding) {
		// The size of a decoded body has no limit.
		c.Set(fiber.HeaderAcceptEncoding, identityEncoding)
		return fiber.ErrUnsupportedMediaType
	}
	req, err := ParseRequest(strings.Clone(c.Path()), c.BodyRaw())
	if err != nil {
		return err
	}
	// A model request may be repeated, so it is cancelled when its caller disconnects. Once a stream has started, a
	// failed write detects the disconnection.
	ctx, stop := s.disconnects.Watch(c.RequestCtx().Conn())
	defer stop()
	stream, err := s.backend.Generate(ctx, ModelCall{
		Caller:  caller,
		Request: req,
	})
	if err != nil {
		return sendProblem(c, modelProblem(err))
	}
	if req.Stream() {
		return sendStream(c, stream, req.WantsUsage())
	}
	defer stream.Close()
	return sendComplete(c, req.Path(), stream)
}

func sendComplete(c fiber.Ctx, path string, stream ChunkStream) error {
	var assembler Assembler
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return sendProblem(c, modelProblem(err))
		}
		assembler.Add(chunk)
	}
	body, err := assembler.Response(path)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

func sendStream(c fiber.Ctx, stream ChunkStream, usage bool) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	write := func(w io.Writer) {
		events := &eventWriter{
			w:     w,
			usage: usage,
		}
		events.copy(stream)
	}
	return c.SendStream(http1.NewStreamBody(write, stream.Close))
}

func (s *Server) call(c fiber.Ctx) error {
	caller, err := parseCaller(c)
	if err != nil {
		return err
	}
	path := strings.Clone(c.OriginalURL())
	if len(path) > maxPathBytes {
		return fiber.ErrRequestURITooLong
	}
	// Attempts are encoded as JSON, which would replace other bytes.
	if !utf8.ValidString(path) {
		return &FieldError{
			Field:   "path",
			Allowed: "UTF-8",
		}
	}
	service := strings.Clone(c.Params("service"))
	req := waxwingpick.CallRequest{
		Method: strings.Clone(c.Method()),
		Path:   strings.TrimPrefix(path, servicesPrefix+service),
		// Body would decode it.
		Body: bytes.Clone(c.BodyRaw()),
	}
	// All would parse cookies and encode them anew.
	for name, value := range c.Request().Header.AllInOrder() {
		req.Headers = append(req.Headers, waxwingpick.Header{
			Name:  string(name),
			Value: string(value),
		})
	}
	resp, err := s.backend.Call(context.Background(), ServiceCall{
		Caller:  caller,
		Service: waxwingpick.ServiceName(service),
		Request: req,
	})
	if err != nil {
		return err
	}
	for _, h := range resp.Headers {
		c.Response().Header.Add(h.Name, h.Value)
	}
	// The server's request ID replaces one that the service sent, because the logs use the server's ID.
	c.Set(requestIDHeader, string(caller.RequestID))
	return c.Status(resp.Status).Send(resp.Body)
}

func parseCaller(c fiber.Ctx) (Caller, error) {
	caller := Caller{
		RequestID:       waxwingpick.RequestID(uuid.NewString()),
		CallerRequestID: strings.Clone(c.Get(requestIDHeader)),
		Workspace:       defaultWorkspace,
		IdempotencyKey:  strings.Clone(c.Get("Idempotency-Key")),
		Traceparent:     strings.Clone(c.Get("Traceparent")),
		Priority:        strings.Clone(c.Get("Priority")),
		Prefer:          strings.Clone(c.Get("Prefer")),
	}
	if len(caller.Traceparent) > maxTraceBytes {
		// Receivers ignore an invalid traceparent, so it is dropped instead of rejected.
		caller.Traceparent = ""
	}
	if len(caller.CallerRequestID) > maxCallerIDBytes {
		caller.CallerRequestID = ""
	}
	c.Set(requestIDHeader, string(caller.RequestID))
	if project := c.Get("OpenAI-Project"); project != "" {
		caller.Workspace = waxwingpick.WorkspaceID(strings.Clone(project))
	}
	if len(caller.IdempotencyKey) > maxKeyBytes || len(caller.Workspace) > maxKeyBytes {
		return caller, &FieldError{
			Field:   "Idempotency-Key, OpenAI-Project",
			Allowed: "at most " + strconv.Itoa(maxKeyBytes) + " bytes",
		}
	}
	return caller, nil
}
