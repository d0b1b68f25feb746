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
)

const (
	defaultTimeout     = 2 * time.Second
	defaultMaxResponse = 16 << 20
	// minMaxResponse has room for the largest value in base64, in bytes.
	minMaxResponse = 2 << 20
	maxConns       = 16
	// maxIdle is shorter than a usual server's idle timeout, so that a call rarely meets a closed connection.
	maxIdle     = 10 * time.Second
	dialTimeout = time.Second
)

var _ waxwingpick.KeyValue = (*Client)(nil)

// Client calls one key-value service.
type Client struct {
	addr        string
	timeout     time.Duration
	maxResponse int
	timers      waxwingpick.Timers
	http        *fasthttp.HostClient
	work        background.Group
}

// Option sets up a Client.
type Option func(*Client) error

// WithTimeout bounds each call but a watch; a context's earlier deadline goes first.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) error {
		if timeout <= 0 {
			return eris.Errorf("call timeout %s is not positive", timeout)
		}
		c.timeout = timeout
		return nil
	}
}

// WithMaxResponse bounds the body of an answer in bytes; a list that exceeds it fails.
func WithMaxResponse(size int) Option {
	return func(c *Client) error {
		if size < minMaxResponse {
			return eris.Errorf("response bound of %d bytes is under %d", size, minMaxResponse)
		}
		c.maxResponse = size
		return nil
	}
}

// WithTimers sets the timer service that lease times are read from.
func WithTimers(timers waxwingpick.Timers) Option {
	return func(c *Client) error {
		c.timers = timers
		return nil
	}
}

// New returns a client of the service at the address, an IP address and port; it connects at the first call.
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
		Dial:                      dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       maxIdle,
		MaxConnWaitTimeout:        c.timeout,
		MaxResponseBodySize:       c.maxResponse,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
	return c, nil
}

// Close waits for abandoned calls and closes idle connections.
func (c *Client) Close() {
	c.work.Close()
	c.http.CloseIdleConnections()
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// dialError marks an error from before anything was sent.
type dialError struct {
	err error
}

func (e *dialError) Error() string { return "connect: " + e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{
			err: err,
		}
	}
	return conn, nil
}

// notSent reports whether the error came before anything was sent.
func notSent(err error) bool {
	var dialed *dialError
	return errors.As(err, &dialed) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// answer is what came of an exchange.
type answer struct {
	status int
	body   []byte
	err    error
}

// exchange sends one request and waits for its answer, until the context or the call's timeout ends.
func (c *Client) exchange(ctx context.Context, path string, body []byte) answer {
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	answers := make(chan answer, 1)
	started := c.work.Start(func() {
		answers <- c.do(path, body, deadline)
	})
	if !started {
		return answer{
			err: &dialError{
				err: net.ErrClosed,
			},
		}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return answer{
			err: ctx.Err(),
		}
	}
}

func (c *Client) do(path string, body []byte, deadline time.Time) answer {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	c.prepare(req, path, body)
	if err := c.http.DoDeadline(req, res, deadline); err != nil {
		// A restarted service leaves dead connections behind; none of them is tried again.
		c.http.CloseIdleConnections()
		return answer{
			err: err,
		}
	}
	return answer{
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
