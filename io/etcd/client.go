package etcd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/core/background"
	"waxwingpick/core/timer"
	"waxwingpick/io/tcp"
)

const (
	defaultTimeout     = 2 * time.Second
	defaultMaxResponse = 16 << 20
	// minMaxResponse fits the largest value in base64, in bytes.
	minMaxResponse = 2 << 20
	maxConns       = 16
	// maxIdle is shorter than the usual idle timeout of servers, so that calls rarely use a connection that the server
	// has closed.
	maxIdle     = 10 * time.Second
	dialTimeout = time.Second
)

var _ waxwingpick.KeyValue = (*Client)(nil)

// Client is a client of one etcd v3 gateway.
type Client struct {
	addr        string
	timeout     time.Duration
	maxResponse int
	timers      waxwingpick.Timers
	http        *fasthttp.HostClient
	work        background.Group
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
	c.http = &fasthttp.HostClient{
		Addr:                      addr,
		Dial:                      c.dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       maxIdle,
		MaxConnWaitTimeout:        c.timeout,
		MaxResponseBodySize:       c.maxResponse,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
	return c, nil
}

// Close waits for calls whose context has ended and closes idle connections.
func (c *Client) Close() {
	c.work.Close()
	c.http.CloseIdleConnections()
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// dialError is an error that occurred before any byte was sent.
type dialError struct {
	err error
}

func (e *dialError) Error() string { return "connect: " + e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

// dial opens a connection that delivers nothing of a call whose time-out has ended.
func (c *Client) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{
			err: err,
		}
	}
	return tcp.AbortUnanswered(conn, c.timeout), nil
}

// notSent reports whether the error occurred before any byte was sent.
func notSent(err error) bool {
	var dialed *dialError
	return errors.As(err, &dialed) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// response is the result of an exchange: a status and body, or an error.
type response struct {
	status int
	body   []byte
	err    error
}

// exchange sends one request and waits for its response until ctx ends or the client's timeout expires.
func (c *Client) exchange(ctx context.Context, path string, body []byte) response {
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	responses := make(chan response, 1)
	started := c.work.Start(func() {
		responses <- c.do(path, body, deadline)
	})
	if !started {
		return response{
			err: &dialError{
				err: net.ErrClosed,
			},
		}
	}
	select {
	case res := <-responses:
		return res
	case <-ctx.Done():
		return response{
			err: ctx.Err(),
		}
	}
}

func (c *Client) do(path string, body []byte, deadline time.Time) response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	c.prepare(req, path, body)
	if err := c.http.DoDeadline(req, res, deadline); err != nil {
		// After a restart of the service, all pooled connections are dead. They are closed so that later calls do not
		// fail on them.
		c.http.CloseIdleConnections()
		return response{
			err: err,
		}
	}
	return response{
		status: res.StatusCode(),
		body:   append([]byte(nil), res.Body()...),
	}
}

func (c *Client) prepare(req *fasthttp.Request, path string, body []byte) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + c.addr + path)
	req.SetBody(body)
}
