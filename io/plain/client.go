package plain

import (
	"context"
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

const (
	defaultTimeout   = 30 * time.Second
	defaultMaxAnswer = 8 << 20
)

var _ waxwingpick.PlainService = (*Client)(nil)

type settings struct {
	timeout   time.Duration
	maxAnswer int
}

// Option sets one property of a client.
type Option func(*settings) error

// Timeout bounds each call; an earlier deadline of its context wins.
func Timeout(d time.Duration) Option {
	return http1.Positive("timeout", d, func(s *settings) *time.Duration {
		return &s.timeout
	})
}

// MaxAnswer bounds an answer's body, in bytes.
func MaxAnswer(n int) Option {
	return http1.Positive("largest answer", n, func(s *settings) *int {
		return &s.maxAnswer
	})
}

// Client speaks to one plain service.
type Client struct {
	cfg  settings
	http *http1.Client
}

// New returns a client of the service at the IP address and port.
func New(addr string, opts ...Option) (*Client, error) {
	c := &Client{
		cfg: settings{
			timeout:   defaultTimeout,
			maxAnswer: defaultMaxAnswer,
		},
	}
	if err := http1.Apply(&c.cfg, opts); err != nil {
		return nil, fmt.Errorf("plain service: %w", err)
	}
	c.http = http1.New(addr, c.cfg.maxAnswer)
	return c, nil
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.http.Close()
}

// Call sends a request once; its errors are ErrEngineRefused for a request that cannot be sent as HTTP,
// ErrEngineUnreachable when nothing was sent, and ErrEngineLost when it may have run.
func (c *Client) Call(ctx context.Context, req waxwingpick.CallRequest) (waxwingpick.CallResponse, error) {
	var none waxwingpick.CallResponse
	if err := check(req); err != nil {
		return none, fmt.Errorf("call %q %.256q: %w", req.Method, req.Path, err)
	}
	a, err := c.http.Send(ctx, http1.Request{
		Method:  req.Method,
		URI:     req.Path,
		Header:  http1.EndToEnd(fieldsOf(req.Headers)),
		Body:    req.Body,
		Timeout: c.cfg.timeout,
	})
	if err != nil {
		return none, fmt.Errorf("call %s %.256q: %w", req.Method, req.Path, err)
	}
	defer a.Close()
	body, err := a.Body(c.cfg.maxAnswer)
	if err != nil {
		return none, fmt.Errorf("call %s %.256q: %w", req.Method, req.Path, err)
	}
	return waxwingpick.CallResponse{
		Status:  a.Status(),
		Headers: headersOf(http1.EndToEnd(a.Fields())),
		Body:    body,
	}, nil
}
