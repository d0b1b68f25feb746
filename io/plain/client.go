package plain

import (
	"context"
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

const (
	defaultTimeout     = 30 * time.Second
	defaultMaxResponse = 8 << 20
)

var _ waxwingpick.PlainService = (*Client)(nil)

type settings struct {
	timeout     time.Duration
	maxResponse int
}

// Option configures a Client.
type Option func(*settings) error

// Timeout sets the timeout of each call. An earlier deadline of the call's context takes precedence.
func Timeout(d time.Duration) Option {
	return http1.Positive("timeout", d, func(s *settings) *time.Duration {
		return &s.timeout
	})
}

// MaxResponse sets the maximum size of a response body, in bytes.
func MaxResponse(n int) Option {
	return http1.Positive("maximum response size", n, func(s *settings) *int {
		return &s.maxResponse
	})
}

// Client is a client of one plain service.
type Client struct {
	cfg  settings
	http *http1.Client
}

// New returns a client of the service at addr, an IP address and port.
func New(addr string, opts ...Option) (*Client, error) {
	c := &Client{
		cfg: settings{
			timeout:     defaultTimeout,
			maxResponse: defaultMaxResponse,
		},
	}
	if err := http1.Apply(&c.cfg, opts); err != nil {
		return nil, fmt.Errorf("plain service: %w", err)
	}
	c.http = http1.New(addr, c.cfg.maxResponse, http1.SingleUse())
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Call sends a request once. It fails with ErrEngineRefused if the request cannot be sent as HTTP, with
// ErrEngineUnreachable if nothing was sent, and with ErrEngineLost if the request may have run. It fails with ErrEndUnproven
// too if the response states neither a length nor chunks.
func (c *Client) Call(ctx context.Context, req waxwingpick.CallRequest) (waxwingpick.CallResponse, error) {
	var none waxwingpick.CallResponse
	if err := check(req); err != nil {
		return none, fmt.Errorf("call %q %.256q: %w", req.Method, req.Path, err)
	}
	resp, err := c.http.Send(ctx, http1.Request{
		Method:  req.Method,
		URI:     req.Path,
		Header:  http1.EndToEnd(fieldsOf(req.Headers)),
		Body:    req.Body,
		Timeout: c.cfg.timeout,
		// The framing of a body that the client reads whole is not known afterwards.
		Stream: true,
	})
	if err != nil {
		return none, fmt.Errorf("call %s %.256q: %w", req.Method, req.Path, err)
	}
	defer resp.Close()
	body, err := resp.Body(c.cfg.maxResponse)
	if err != nil {
		return none, fmt.Errorf("call %s %.256q: %w", req.Method, req.Path, err)
	}
	if resp.Framing() == waxwingpick.FramingConnection {
		// A crash of the service would end the response in the same way.
		return none, fmt.Errorf("call %s %.256q: %w: %w: neither length nor chunks", req.Method, req.Path, waxwingpick.ErrEngineLost, waxwingpick.ErrEndUnproven)
	}
	return waxwingpick.CallResponse{
		Status:  resp.Status(),
		Headers: headersOf(http1.EndToEnd(resp.Fields())),
		Body:    body,
	}, nil
}
