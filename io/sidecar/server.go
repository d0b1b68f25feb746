package sidecar

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/goccy/go-json"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"waxwingpick"
	"waxwingpick/internal/http1"
	"waxwingpick/internal/httpserver"
	"waxwingpick/io/mtls"
	"waxwingpick/io/tcp"
)

// Time-outs of the server.
const (
	requestReadTimeout = 30 * time.Second
	keepAliveTimeout   = 30 * time.Second
	writeIdleTimeout   = 10 * time.Second
)

// otherHeaderBytes is the maximum size of the request header without the attempt.
const otherHeaderBytes = 4 << 10

// SendFunc sends one frame of a response. An error means that the entry has disconnected.
type SendFunc func(f Frame) error

// Handler runs attempts. Its methods must be safe for concurrent use.
type Handler interface {
	// Generate runs a model request and sends its frames. It returns when the stream ends.
	Generate(ctx context.Context, a Attempt, body []byte, send SendFunc)
	// Resume sends the frames of an existing stream from the attempt's offset.
	Resume(ctx context.Context, a Attempt, send SendFunc)
	// Cancel cancels the stream of an attempt.
	Cancel(ctx context.Context, a Attempt)
	// Prefill computes and exports the KV cache of a model request whose decode stage runs on another engine.
	Prefill(ctx context.Context, a Attempt, body []byte) (waxwingpick.KVExport, *waxwingpick.Refusal)
	// Export exports the KV cache of a moved stream. The engine holds the KV cache until Cancel.
	Export(ctx context.Context, a Attempt) (waxwingpick.KVExport, *waxwingpick.Refusal)
	// Call runs a call to a plain service.
	Call(ctx context.Context, a Attempt, body []byte) Result
}

// Server is the HTTP server of a sidecar. It receives attempts from entries.
type Server struct {
	handler     Handler
	timers      waxwingpick.Timers
	metrics     fasthttp.RequestHandler
	http        *fasthttp.Server
	credentials *mtls.Credentials
	wg          conc.WaitGroup
}

// ServerOption configures a server.
type ServerOption func(*Server)

// ServeWith sets the credentials for TLS connections that the server accepts.
func ServeWith(c *mtls.Credentials) ServerOption {
	return func(s *Server) {
		s.credentials = c
	}
}

// allowedRoles returns the certificate roles that may request a path, and none for an unknown path.
func allowedRoles(path string) []mtls.Role {
	switch path {
	case generatePath, resumePath, callPath:
		return []mtls.Role{mtls.RoleEntry}
	case prefillPath, exportPath, cancelPath:
		// The sidecar of another engine fetches the KV cache and then frees it.
		return []mtls.Role{mtls.RoleEntry, mtls.RoleSidecar}
	case metricsPath:
		return []mtls.Role{mtls.RoleMonitor, mtls.RoleOperator}
	}
	return nil
}

// Limits holds size limits of requests, in bytes.
type Limits struct {
	// Body is the maximum size of a request body.
	Body int
	// Attempt is the maximum size of an encoded attempt. Each connection has a buffer for one.
	Attempt int
}

// NewServer returns a server that runs attempts for self with the handler, and serves metrics at /metrics.
func NewServer(h Handler, self Identity, limits Limits, timers waxwingpick.Timers, metrics prometheus.Gatherer, opts ...ServerOption) *Server {
	s := &Server{
		timers: timers,
		handler: identityFilter{
			Handler: h,
			self:    self,
		},
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics, promhttp.HandlerOpts{})),
	}
	s.http = &fasthttp.Server{
		Handler:                      s.serve,
		ErrorHandler:                 rejectUnreadable,
		MaxRequestBodySize:           limits.Body,
		ReadBufferSize:               limits.Attempt + otherHeaderBytes,
		ReadTimeout:                  requestReadTimeout,
		IdleTimeout:                  keepAliveTimeout,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		Logger:                       discardLogger{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Start listens on addr, serves until Shutdown, and returns the bound address.
func (s *Server) Start(addr string) (string, error) {
	ln, err := tcp.Listen(addr, tcp.DefaultMaxConns, writeIdleTimeout)
	if err != nil {
		return "", err
	}
	s.wg.Go(func() {
		// Serve returns nil after Shutdown. If the listener fails, connections are refused, which clients detect.
		_ = s.http.Serve(s.credentials.Listen(ln))
	})
	return ln.Addr().String(), nil
}

// Shutdown stops listening and waits until running streams or ctx end.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down data server: %w", err)
	}
	s.wg.Wait()
	return nil
}

// rejectUnreadable responds to a request that could not be read, and therefore has not run.
func rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status := httpserver.UnreadableStatus(err)
	reject(ctx, http.StatusText(status), status)
	tcp.LingerOnClose(ctx.Conn())
}

// reject responds to a request that no handler has received.
func reject(ctx *fasthttp.RequestCtx, detail string, status int) {
	ctx.Error(detail, status)
	ctx.Response.Header.Set(rejectedHeader, "1")
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if err := s.credentials.Authorize(ctx.Conn(), path, allowedRoles(path)); err != nil {
		reject(ctx, err.Error(), fasthttp.StatusForbidden)
		return
	}
	if path == metricsPath {
		s.metrics(ctx)
		return
	}
	a, err := decodeAttempt(ctx.Request.Header.Peek(attemptHeader))
	if err != nil {
		reject(ctx, err.Error(), fasthttp.StatusBadRequest)
		return
	}
	switch path {
	case generatePath:
		body := append([]byte(nil), ctx.PostBody()...)
		s.stream(ctx, a, func(ctx context.Context, send SendFunc) {
			s.handler.Generate(ctx, a, body, send)
		})
	case resumePath:
		s.stream(ctx, a, func(ctx context.Context, send SendFunc) {
			s.handler.Resume(ctx, a, send)
		})
	case cancelPath:
		s.handler.Cancel(context.Background(), a)
	case callPath:
		s.call(ctx, a)
	case prefillPath:
		body := append([]byte(nil), ctx.PostBody()...)
		s.export(ctx, a, func(ctx context.Context) (waxwingpick.KVExport, *waxwingpick.Refusal) {
			return s.handler.Prefill(ctx, a, body)
		})
	case exportPath:
		s.export(ctx, a, func(ctx context.Context) (waxwingpick.KVExport, *waxwingpick.Refusal) {
			return s.handler.Export(ctx, a)
		})
	default:
		reject(ctx, "no such path", fasthttp.StatusNotFound)
	}
}

func (s *Server) call(ctx *fasthttp.RequestCtx, a Attempt) {
	runCtx, cancel := context.WithTimeout(context.Background(), a.remaining())
	defer cancel()
	result := s.handler.Call(runCtx, a, append([]byte(nil), ctx.PostBody()...))
	head, err := json.Marshal(result)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetBytesV(resultHeader, head)
	ctx.SetBody(result.Body)
}

// exportFunc exports KV cache that it computes or that the engine holds.
type exportFunc func(ctx context.Context) (waxwingpick.KVExport, *waxwingpick.Refusal)

func (s *Server) export(ctx *fasthttp.RequestCtx, a Attempt, run exportFunc) {
	runCtx, cancel := context.WithTimeout(context.Background(), a.remaining())
	defer cancel()
	export, refusal := run(runCtx)
	head, err := json.Marshal(Result{
		Attempt: a.ID,
		Status:  fasthttp.StatusOK,
		Refusal: refusal,
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetBytesV(resultHeader, head)
	if refusal != nil {
		return
	}
	body, err := json.Marshal(export)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// stream responds with the frames that run sends, and with heartbeats between them.
func (s *Server) stream(ctx *fasthttp.RequestCtx, a Attempt, run func(ctx context.Context, send SendFunc)) {
	write := func(w io.Writer) {
		runCtx, cancel := context.WithTimeout(context.Background(), a.remaining())
		defer cancel()
		fw := newFrameWriter(w, a.ID, s.timers, cancel)
		defer fw.close()
		run(runCtx, fw.send)
	}
	ctx.Response.SetBodyStream(http1.NewStreamBody(write, func() {}), -1)
}

// errBadAttempt means that the request has no valid attempt header.
var errBadAttempt = eris.New("bad attempt header")

func decodeAttempt(head []byte) (Attempt, error) {
	var a Attempt
	if len(head) == 0 || len(head) > MaxAttemptSize {
		return a, fmt.Errorf("%w: %d bytes, allowed 1 to %d", errBadAttempt, len(head), MaxAttemptSize)
	}
	if err := json.Unmarshal(head, &a); err != nil {
		return a, fmt.Errorf("%w: %w", errBadAttempt, err)
	}
	if a.ID == "" {
		return a, fmt.Errorf("%w: no id", errBadAttempt)
	}
	return a, nil
}

func (a Attempt) remaining() time.Duration {
	return time.Duration(a.RemainingMillis) * time.Millisecond
}

// Deadline returns the time at which the attempt's remaining time ends if it is received at now.
func (a Attempt) Deadline(now time.Time) time.Time {
	return now.Add(a.remaining())
}

type discardLogger struct{}

// Printf discards messages of fasthttp, because the handler logs failures itself.
func (discardLogger) Printf(string, ...any) {}
