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
	// maxPeers bounds the sidecars to which connections are kept.
	maxPeers      = 1024
	cancelTimeout = 2 * time.Second
	// MaxExportSize bounds exported KV cache, in bytes.
	MaxExportSize = 64 << 20
	// lineBuffer is the first size of the buffer for a frame, in bytes; it grows with the frames.
	lineBuffer = 1 << 10
)

var errEndless = eris.New("stream ended without its last frame")

// Client sends attempts to sidecars; it sends each at most once.
type Client struct {
	fleet       string
	maxBody     int
	credentials *mtls.Credentials
	mu          sync.Mutex
	peers       *lru.Cache[string, *http1.Client]
}

// ClientOption sets one property of a client.
type ClientOption func(*Client)

// WithCredentials secures the connections to sidecars.
func WithCredentials(credentials *mtls.Credentials) ClientOption {
	return func(c *Client) {
		c.credentials = credentials
	}
}

// NewClient returns a fleet's client with a bound on response bodies of calls, in bytes.
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

// Close breaks every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers.Purge()
}

// Generate starts a model request at the sidecar; it fails with waxwingpick.ErrEngineUnreachable where nothing was
// sent, else with waxwingpick.ErrEngineLost. The stream breaks when ctx ends.
func (c *Client) Generate(ctx context.Context, addr string, a Attempt, body []byte) (*Stream, error) {
	return c.open(ctx, addr, generatePath, a, body)
}

// Resume continues a stream from the attempt's offset.
func (c *Client) Resume(ctx context.Context, addr string, a Attempt) (*Stream, error) {
	return c.open(ctx, addr, resumePath, a, nil)
}

// Cancel asks the sidecar to end an attempt's stream.
func (c *Client) Cancel(ctx context.Context, addr string, a Attempt) error {
	r, err := c.request(cancelPath, a, nil)
	if err != nil {
		return err
	}
	r.Timeout = cancelTimeout
	answer, err := c.peer(addr).Send(ctx, r)
	if err != nil {
		return fmt.Errorf("cancel %s: %w", a.ID, err)
	}
	defer answer.Close()
	if answer.Status() == http.StatusForbidden {
		return fmt.Errorf("cancel %s: %w", a.ID, statusError(answer.Status()))
	}
	return nil
}

// Call runs a call to a plain service and reads its whole answer.
func (c *Client) Call(ctx context.Context, addr string, a Attempt, body []byte) (Result, error) {
	r, err := c.request(callPath, a, body)
	if err != nil {
		return Result{}, err
	}
	r.Timeout = a.remaining()
	answer, err := c.peer(addr).Send(ctx, r)
	if err != nil {
		return Result{}, fmt.Errorf("call %s: %w", a.ID, err)
	}
	defer answer.Close()
	return decodeResult(answer, a, c.maxBody)
}

// Prefill has the KV cache of a model request computed and exported at the sidecar of another engine.
func (c *Client) Prefill(ctx context.Context, addr string, a Attempt, body []byte) (waxwingpick.KVExport, error) {
	return c.fetch(ctx, addr, prefillPath, a, body)
}

// Export has the KV cache of a moved stream exported at the sidecar of the engine that it leaves.
func (c *Client) Export(ctx context.Context, addr string, a Attempt) (waxwingpick.KVExport, error) {
	return c.fetch(ctx, addr, exportPath, a, nil)
}

// fetch sends an attempt whose answer is exported KV cache.
func (c *Client) fetch(ctx context.Context, addr, path string, a Attempt, body []byte) (waxwingpick.KVExport, error) {
	var export waxwingpick.KVExport
	r, err := c.request(path, a, body)
	if err != nil {
		return export, err
	}
	r.Timeout = a.remaining()
	answer, err := c.peer(addr).Send(ctx, r)
	if err != nil {
		return export, fmt.Errorf("fetch KV cache of %s: %w", a.ID, err)
	}
	defer answer.Close()
	result, err := decodeResult(answer, a, MaxExportSize)
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

func decodeResult(answer *http1.Answer, a Attempt, maxBody int) (Result, error) {
	var r Result
	if answer.Status() != http.StatusOK {
		return r, statusError(answer.Status())
	}
	if err := json.Unmarshal([]byte(answer.Header(resultHeader)), &r); err != nil {
		return r, fmt.Errorf("decode result: %w: %w", waxwingpick.ErrEngineLost, err)
	}
	if r.Attempt != a.ID {
		return r, fmt.Errorf("result of attempt %q instead of %q: %w", r.Attempt, a.ID, waxwingpick.ErrEngineLost)
	}
	body, err := answer.Body(maxBody)
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

// attemptLimit bounds the encoded attempt of a request, in bytes.
func attemptLimit(path string) int {
	if path == callPath {
		return MaxAttemptSize
	}
	return MaxModelAttemptSize
}

func (c *Client) open(ctx context.Context, addr, path string, a Attempt, body []byte) (*Stream, error) {
	r, err := c.request(path, a, body)
	if err != nil {
		return nil, err
	}
	r.Timeout = a.remaining() + ReadIdle
	r.Stream = true
	answer, err := c.peer(addr).Send(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("send %s: %w", a.ID, err)
	}
	if answer.Status() != http.StatusOK {
		defer answer.Close()
		return nil, statusError(answer.Status())
	}
	lines := bufio.NewScanner(answer.Stream())
	lines.Buffer(make([]byte, 0, lineBuffer), MaxFrameSize)
	return &Stream{
		attempt: a.ID,
		answer:  answer,
		lines:   lines,
	}, nil
}

func (c *Client) peer(addr string) *http1.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers.Get(addr); ok {
		return p
	}
	p := http1.New(addr, max(c.maxBody, MaxExportSize)+MaxAttemptSize, http1.Secured(c.secure))
	c.peers.Add(addr, p)
	return p
}

func (c *Client) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	return c.credentials.Connect(ctx, raw, mtls.RoleSidecar)
}

// statusError tells that a sidecar did not take an attempt.
func statusError(status int) error {
	if status == http.StatusForbidden {
		return fmt.Errorf("%w: %w", waxwingpick.ErrEngineUnreachable, mtls.ErrRefused)
	}
	return fmt.Errorf("sidecar answered status %d: %w", status, waxwingpick.ErrEngineUnreachable)
}

// Stream yields the frames of one attempt; one goroutine reads it and closes it.
type Stream struct {
	attempt string
	answer  *http1.Answer
	lines   *bufio.Scanner
	whole   bool
}

// Next returns the next frame of the attempt; waxwingpick.ErrEngineLost when the stream breaks or falls silent.
func (s *Stream) Next() (Frame, error) {
	s.answer.ReadWithin(ReadIdle)
	if !s.lines.Scan() {
		err := s.lines.Err()
		if err == nil {
			err = errEndless
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
	s.whole = f.Last || f.Refusal != nil || f.Broken || f.Moved
	return f, nil
}

// Close ends the stream; the connection is used again only after a whole answer.
func (s *Stream) Close() {
	if s.whole {
		// The body's end follows its last frame at once.
		s.answer.ReadWithin(HeartbeatPeriod)
		s.lines.Scan()
	}
	s.answer.Close()
}
