package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goccy/go-json"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/internal/http1"
	"waxwingpick/io/mtls"
)

// Limits of a client.
const (
	// maxPeers is the maximum number of sidecars for which the client keeps connections.
	maxPeers      = 1024
	cancelTimeout = 2 * time.Second
	// silenceTimeout is longer than most sidecars need for the header of a response.
	silenceTimeout = time.Second
	// MaxExportSize is the maximum size of exported KV cache, in bytes.
	MaxExportSize = 64 << 20
	// lineBuffer is the initial size of the buffer for a frame, in bytes. The buffer grows up to MaxFrameSize.
	lineBuffer = 1 << 10
)

var errNoLastFrame = eris.New("stream ended without its last frame")

// Client sends attempts to sidecars, each at most once.
type Client struct {
	fleet       string
	maxBody     int
	credentials *mtls.Credentials
	mu          sync.Mutex
	peers       *lru.Cache[string, *http1.Client]
}

// ClientOption configures a client.
type ClientOption func(*Client)

// WithCredentials sets the credentials for TLS connections to sidecars.
func WithCredentials(credentials *mtls.Credentials) ClientOption {
	return func(c *Client) {
		c.credentials = credentials
	}
}

// NewClient returns a client for the sidecars of a fleet. maxBody limits the response bodies of calls, in bytes.
func NewClient(fleet string, maxBody int, opts ...ClientOption) (*Client, error) {
	peers, err := lru.NewWithEvict(maxPeers, func(_ string, c *http1.Client) {
		c.Close()
	})
	if err != nil {
		return nil, fmt.Errorf("create connection cache: %w", err)
	}
	c := &Client{
		fleet:   fleet,
		maxBody: maxBody,
		peers:   peers,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers.Purge()
}

// Generate starts a model request at the sidecar. It fails with waxwingpick.ErrEngineUnreachable if the sidecar did not
// accept the attempt, and with waxwingpick.ErrEngineLost if it may have run. The stream breaks when ctx ends.
func (c *Client) Generate(ctx context.Context, addr string, a Attempt, body []byte) (*Stream, error) {
	return c.openStream(ctx, addr, generatePath, a, body)
}

// Resume resumes a stream from the attempt's offset.
func (c *Client) Resume(ctx context.Context, addr string, a Attempt) (*Stream, error) {
	return c.openStream(ctx, addr, resumePath, a, nil)
}

// Cancel cancels the stream of an attempt at the sidecar.
func (c *Client) Cancel(ctx context.Context, addr string, a Attempt) error {
	r, err := c.request(cancelPath, a, nil)
	if err != nil {
		return err
	}
	r.Timeout = cancelTimeout
	resp, err := c.peer(addr).Send(ctx, r)
	if err != nil {
		return fmt.Errorf("cancel %s: %w", a.ID, err)
	}
	defer resp.Close()
	if resp.Status() == http.StatusForbidden {
		return fmt.Errorf("cancel %s: %w", a.ID, statusError(resp))
	}
	return nil
}

// Call runs a call to a plain service and returns its complete response.
func (c *Client) Call(ctx context.Context, addr string, a Attempt, body []byte) (Result, error) {
	r, err := c.request(callPath, a, body)
	if err != nil {
		return Result{}, err
	}
	r.Timeout = a.remaining()
	resp, err := c.peer(addr).Send(ctx, r)
	if err != nil {
		return Result{}, fmt.Errorf("call %s: %w", a.ID, err)
	}
	defer resp.Close()
	return decodeResult(resp, a, c.maxBody)
}

// Prefill computes and exports the KV cache of a model request at the sidecar of another engine.
func (c *Client) Prefill(ctx context.Context, addr string, a Attempt, body []byte) (waxwingpick.KVExport, error) {
	return c.requestExport(ctx, addr, prefillPath, a, body)
}

// Export exports the KV cache of a moved stream at the sidecar of the engine that ran it before.
func (c *Client) Export(ctx context.Context, addr string, a Attempt) (waxwingpick.KVExport, error) {
	return c.requestExport(ctx, addr, exportPath, a, nil)
}

// requestExport sends an attempt whose response is exported KV cache.
func (c *Client) requestExport(ctx context.Context, addr, path string, a Attempt, body []byte) (waxwingpick.KVExport, error) {
	var export waxwingpick.KVExport
	r, err := c.request(path, a, body)
	if err != nil {
		return export, err
	}
	r.Timeout = a.remaining()
	resp, err := c.peer(addr).Send(ctx, r)
	if err != nil {
		return export, fmt.Errorf("fetch KV cache of %s: %w", a.ID, err)
	}
	defer resp.Close()
	result, err := decodeResult(resp, a, MaxExportSize)
	if err != nil {
		return export, err
	}
	if result.Refusal != nil {
		return export, fmt.Errorf("fetch KV cache of %s: %w: %w", a.ID, waxwingpick.ErrEngineRefused, result.Refusal)
	}
	if err := json.Unmarshal(result.Body, &export); err != nil {
		return export, fmt.Errorf("decode KV cache: %w: %w", waxwingpick.ErrEngineLost, err)
	}
	return export, nil
}

func decodeResult(resp *http1.Response, a Attempt, maxBody int) (Result, error) {
	var r Result
	if resp.Status() != http.StatusOK {
		return r, statusError(resp)
	}
	if err := json.Unmarshal([]byte(resp.Header(resultHeader)), &r); err != nil {
		return r, fmt.Errorf("decode result: %w: %w", waxwingpick.ErrEngineLost, err)
	}
	if r.Attempt != a.ID {
		return r, fmt.Errorf("result of attempt %q instead of %q: %w", r.Attempt, a.ID, waxwingpick.ErrEngineLost)
	}
	body, err := resp.Body(maxBody)
	if err != nil {
		return r, fmt.Errorf("read result body: %w: %w", waxwingpick.ErrEngineLost, err)
	}
	r.Body = body
	return r, nil
}

func (c *Client) request(path string, a Attempt, body []byte) (http1.Request, error) {
	a.Fleet = c.fleet
	head, err := json.Marshal(a)
	if err != nil {
		return http1.Request{}, fmt.Errorf("encode attempt: %w", err)
	}
	if len(head) > attemptLimit(path) {
		return http1.Request{}, waxwingpick.NotRun(waxwingpick.ReasonHeaders, 0, "request headers are too large")
	}
	return http1.Request{
		Method: http.MethodPost,
		URI:    path,
		Header: []http1.Field{{
			Name:  attemptHeader,
			Value: string(head),
		}},
		Body: body,
	}, nil
}

// attemptLimit returns the maximum size of the encoded attempt of a request, in bytes.
func attemptLimit(path string) int {
	if path == callPath {
		return MaxAttemptSize
	}
	return MaxModelAttemptSize
}

func (c *Client) openStream(ctx context.Context, addr, path string, a Attempt, body []byte) (*Stream, error) {
	r, err := c.request(path, a, body)
	if err != nil {
		return nil, err
	}
	r.Timeout = a.remaining() + FrameTimeout
	r.Stream = true
	resp, err := c.peer(addr).Send(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("send %s: %w", a.ID, err)
	}
	if resp.Status() != http.StatusOK {
		defer resp.Close()
		return nil, statusError(resp)
	}
	lines := bufio.NewScanner(resp.Stream())
	lines.Buffer(make([]byte, 0, lineBuffer), MaxFrameSize)
	return &Stream{
		attempt: a.ID,
		resp:    resp,
		lines:   lines,
	}, nil
}

func (c *Client) peer(addr string) *http1.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers.Get(addr); ok {
		return p
	}
	p := http1.New(addr, max(c.maxBody, MaxExportSize)+MaxAttemptSize, http1.Secured(c.secure), http1.SilenceTimeout(silenceTimeout))
	c.peers.Add(addr, p)
	return p
}

func (c *Client) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	return c.credentials.Connect(ctx, raw, mtls.RoleSidecar)
}

// statusError returns the error for a response without a result. A sidecar states that it has not run an attempt that it rejects.
// Another server at its address, or a failure after the run, states nothing.
func statusError(resp *http1.Response) error {
	status := resp.Status()
	if resp.Header(rejectedHeader) == "" {
		return fmt.Errorf("sidecar responded with status %d: %w", status, waxwingpick.ErrEngineLost)
	}
	if status == http.StatusForbidden {
		return fmt.Errorf("%w: %w", waxwingpick.ErrEngineUnreachable, mtls.ErrRefused)
	}
	return fmt.Errorf("sidecar responded with status %d: %w", status, waxwingpick.ErrEngineUnreachable)
}

// Stream yields the frames of one attempt. It is not safe for concurrent use.
type Stream struct {
	attempt  string
	resp     *http1.Response
	lines    *bufio.Scanner
	complete bool
}

// Next returns the next frame of the attempt. It fails with waxwingpick.ErrEngineLost if the stream breaks or if no
// frame arrives within FrameTimeout.
func (s *Stream) Next() (Frame, error) {
	s.resp.SetReadTimeout(FrameTimeout)
	if !s.lines.Scan() {
		err := s.lines.Err()
		if err == nil {
			err = errNoLastFrame
		}
		return Frame{}, fmt.Errorf("%w: %w", waxwingpick.ErrEngineLost, err)
	}
	var f Frame
	if err := json.Unmarshal(s.lines.Bytes(), &f); err != nil {
		return Frame{}, fmt.Errorf("decode frame: %w: %w", waxwingpick.ErrEngineLost, err)
	}
	if f.Attempt != s.attempt {
		return Frame{}, fmt.Errorf("frame of attempt %q instead of %q: %w", f.Attempt, s.attempt, waxwingpick.ErrEngineLost)
	}
	s.complete = f.Last || f.Refusal != nil || f.Broken || f.Moved
	return f, nil
}

// Close ends the stream. The connection is reused only after a complete response.
func (s *Stream) Close() {
	if s.complete {
		// The end of the body follows the last frame immediately. Reading it lets the connection be reused.
		s.resp.SetReadTimeout(HeartbeatPeriod)
		s.lines.Scan()
	}
	s.resp.Close()
}
