package etcd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/http1"
)

const (
	defaultTimeout     = 2 * time.Second
	defaultMaxResponse = 16 << 20
	// minMaxResponse fits the largest value in base64, in bytes.
	minMaxResponse = 2 << 20
	// maxCalls bounds the calls under way, and thereby the connections. Further calls wait.
	maxCalls = 16
	// maxIdle is shorter than the usual idle timeout of servers, so that calls rarely use a connection that the server
	// has closed.
	maxIdle = 10 * time.Second
	// TCP keep-alive closes the connection to an unresponsive peer after keepAliveIdle and keepAliveCount intervals.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

var _ waxwingpick.KeyValue = (*Client)(nil)

// Client is a client of one etcd v3 gateway.
type Client struct {
	addr        string
	timeout     time.Duration
	maxResponse int
	timers      waxwingpick.Timers
	http        *http1.Client
	// calls holds an element for each call under way, except watches.
	calls chan struct{}
}

// Option configures a Client.
type Option func(*Client) error

// WithTimeout sets the timeout of each call except Watch. An earlier deadline of the call's context takes precedence.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) error {
		if timeout <= 0 {
			return eris.Errorf("call timeout %s is not positive", timeout)
		}
		c.timeout = timeout
		return nil
	}
}

// WithMaxResponse sets the maximum size of a response body in bytes. A larger response fails the call.
func WithMaxResponse(size int) Option {
	return func(c *Client) error {
		if size < minMaxResponse {
			return eris.Errorf("maximum response size of %d bytes is below %d", size, minMaxResponse)
		}
		c.maxResponse = size
		return nil
	}
}

// WithTimers sets the clock that measures lease times.
func WithTimers(timers waxwingpick.Timers) Option {
	return func(c *Client) error {
		c.timers = timers
		return nil
	}
}

// New returns a client of the service at addr, an IP address and port. It connects on the first call.
func New(addr string, opts ...Option) (*Client, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, fmt.Errorf("key-value address %q: %w", addr, err)
	}
	c := &Client{
		addr:        addr,
		timeout:     defaultTimeout,
		maxResponse: defaultMaxResponse,
		timers:      timer.NewSystem(),
	}
	for _, opt := range opts {
		if err := opt(c); err != nil {
			return nil, fmt.Errorf("set up key-value client: %w", err)
		}
	}
	c.calls = make(chan struct{}, maxCalls)
	// After a restart of the service, all idle connections are dead. They are closed so that later calls do not fail on them.
	c.http = http1.New(addr, c.maxResponse, http1.IdleTimeout(maxIdle), http1.CloseIdleOnLoss(), http1.KeepAlive(net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}))
	return c, nil
}

// Close closes every connection. Running calls fail.
func (c *Client) Close() {
	c.http.Close()
}

// exchange sends one request and waits for its response until ctx ends or the client's timeout expires. It fails with
// ErrEngineUnreachable if nothing was sent.
func (c *Client) exchange(ctx context.Context, path string, body []byte) (status int, content []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	select {
	case c.calls <- struct{}{}:
	case <-ctx.Done():
		return 0, nil, fmt.Errorf("%w: %d calls under way: %w", waxwingpick.ErrEngineUnreachable, maxCalls, ctx.Err())
	}
	defer func() { <-c.calls }()
	req := request(path, body)
	req.Timeout = c.timeout
	resp, err := c.http.Send(ctx, req)
	if err != nil {
		return 0, nil, fmt.Errorf("send: %w", err)
	}
	defer resp.Close()
	content, err = resp.Body(c.maxResponse)
	if err != nil {
		return 0, nil, fmt.Errorf("read response: %w", err)
	}
	return resp.Status(), content, nil
}

func request(path string, body []byte) http1.Request {
	return http1.Request{
		Method: http.MethodPost,
		URI:    path,
		Header: []http1.Field{{
			Name:  "Content-Type",
			Value: "application/json",
		}},
		Body: body,
	}
}
