package http1

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/io/mtls"
)

const (
	// maxUnsentAttempts bounds the connections that are tried until one accepts a byte of the request.
	maxUnsentAttempts = 3
	// maxForeignResponses bounds the responses to earlier requests that are discarded on one connection.
	maxForeignResponses = 3
)

var (
	errUnsent       = eris.New("connection accepted no byte of the request")
	errUnidentified = eris.New("response does not name its request")
)

// Client sends requests to one address. It uses only fasthttp's encoding and decoding of messages, because fasthttp's
// own client repeats requests and cannot be interrupted.
type Client struct {
	pool        pool
	maxResponse int
	singleUse   bool
	// closeIdle is set by CloseIdleOnLoss.
	closeIdle bool
}

// SecureFunc secures a new connection, for example by TLS. It closes the connection if that fails.
type SecureFunc func(ctx context.Context, c net.Conn) (net.Conn, error)

// Option configures a client.
type Option func(*Client)

// Secured sets the function that secures each new connection.
func Secured(secure SecureFunc) Option {
	return func(c *Client) {
		c.pool.secure = secure
	}
}

// IdleTimeout sets how long a connection may stay idle before reuse if the peer does not announce a limit.
func IdleTimeout(d time.Duration) Option {
	return func(c *Client) {
		c.pool.idleFor = d
	}
}

// MaxConnections bounds the open connections.
func MaxConnections(n int) Option {
	return func(c *Client) {
		c.pool.maxOpen = n
	}
}

// SingleUse makes each request use a new connection, for peers whose responses do not name their requests.
func SingleUse() Option {
	return func(c *Client) {
		c.singleUse = true
	}
}

// CloseIdleOnLoss closes the idle connections when a request fails, so that the next one opens a new connection. Where one
// connection has gone silent, the others often have too.
func CloseIdleOnLoss() Option {
	return func(c *Client) {
		c.closeIdle = true
	}
}

// KeepAlive sets the TCP keep-alive of each new connection.
func KeepAlive(cfg net.KeepAliveConfig) Option {
	return func(c *Client) {
		c.pool.keepAlive = cfg
	}
}

// SilenceTimeout sets the time without a response after which a reused connection may have gone silent. The connections that were
// last used before its request are not used again then, and the next request opens a new one.
func SilenceTimeout(d time.Duration) Option {
	return func(c *Client) {
		c.pool.silence = d
	}
}

// New returns a client for the IP address and port. maxResponseBytes bounds responses that are not streamed.
func New(addr string, maxResponseBytes int, opts ...Option) *Client {
	c := &Client{
		pool: pool{
			addr:    addr,
			idleFor: idleTimeout,
			maxOpen: maxConnections,
			open:    make(map[*conn]struct{}),
			waiting: make(map[*conn]time.Time),
			secure: func(_ context.Context, c net.Conn) (net.Conn, error) {
				return c, nil
			},
		},
		maxResponse: maxResponseBytes,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes every connection, so that running exchanges fail.
func (c *Client) Close() {
	c.pool.close()
}

// Connect opens a connection and keeps it for a later request. It fails with ErrEngineUnreachable.
func (c *Client) Connect(ctx context.Context) error {
	cn, err := c.pool.dial(ctx)
	if err != nil {
		return fmt.Errorf("%w at %s: %w", waxwingpick.ErrEngineUnreachable, c.pool.addr, err)
	}
	cn.idleFor = c.pool.idleFor
	c.pool.put(cn, time.Now())
	return nil
}

// Request is a request, which is sent at most once.
type Request struct {
	Method string
	// URI is the path with its query, escaped.
	URI     string
	Header  []Field
	Body    []byte
	Timeout time.Duration
	// NoTimeout means that only the context ends the exchange. Timeout is ignored then.
	NoTimeout bool
	// Stream leaves the body unread, for Response.Stream.
	Stream bool
	// Fresh sends the request on a new connection, which no later request uses.
	Fresh bool
	// Host replaces the address in the Host field; empty for the address.
	Host string
	// Echo is a field that the peer repeats in its response. A response with another value belongs to an earlier
	// request and is discarded; one without the field, or with several values, is no answer of the peer. It is empty for a
	// peer that repeats no field.
	Echo Field
	// Memory accounts for what Response.Body reads; nil for no account.
	Memory waxwingpick.MemoryHold
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Send sends a request once and waits for the header of the response, or for the complete response if it is not
// streamed. The caller must close the returned response. Send fails with ErrEngineUnreachable if no byte was sent, and
// with ErrEngineLost if the request may have been received. What the peer has not received then, or when the time-out ends,
// is not delivered later.
func (c *Client) Send(ctx context.Context, r Request) (*Response, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", waxwingpick.ErrEngineUnreachable, err)
	}
	a := &Response{
		client: c,
		ctx:    ctx,
		req:    fasthttp.AcquireRequest(),
		resp:   fasthttp.AcquireResponse(),
		fresh:  r.Fresh || c.singleUse,
		memory: r.Memory,
	}
	c.fill(a.req, r)
	if err := c.exchange(a, r); err != nil {
		a.Close()
		if c.closeIdle {
			c.pool.closeIdle()
		}
		return nil, err
	}
	return a, nil
}

func (c *Client) exchange(a *Response, r Request) error {
	var end time.Time
	if !r.NoTimeout {
		end = deadline(a.ctx, r.Timeout)
	}
	if err := c.write(a, end); err != nil {
		return err
	}
	a.resp.SkipBody = r.Method == fasthttp.MethodHead
	a.resp.StreamBody = r.Stream
	for range maxForeignResponses {
		if err := a.conn.receive(a.resp, c.maxResponse); err != nil {
			if mtls.RefusedByPeer(err) {
				return fmt.Errorf("%w: %s: %w", waxwingpick.ErrEngineUnreachable, c.pool.addr, err)
			}
			return fmt.Errorf("%w: read response of %s: %w", waxwingpick.ErrEngineLost, c.pool.addr, a.withCause(err))
		}
		c.pool.answered(a.conn)
		a.origin = a.originOf(r.Echo)
		if a.origin == originUnknown {
			return fmt.Errorf("%w: %s: %w", waxwingpick.ErrEngineLost, c.pool.addr, errUnidentified)
		}
		if a.origin != originForeign {
			a.headerRead()
			return nil
		}
		if err := a.discard(); err != nil {
			return fmt.Errorf("%w: discard response of %s to another request: %w", waxwingpick.ErrEngineLost, c.pool.addr, err)
		}
	}
	return fmt.Errorf("%w: %s sent only responses to other requests", waxwingpick.ErrEngineLost, c.pool.addr)
}

// write sends the request. A connection that accepted no byte of it is replaced. A deadline of zero means none.
func (c *Client) write(a *Response, deadline time.Time) error {
	var err error
	for range maxUnsentAttempts {
		var cn *conn
		cn, err = c.connection(a)
		if err != nil {
			break
		}
		a.attach(cn, deadline)
		if err = cn.send(a.req); err == nil {
			return nil
		}
		if cn.sent > 0 {
			return fmt.Errorf("%w: send to %s: %w", waxwingpick.ErrEngineLost, c.pool.addr, a.withCause(err))
		}
		err = fmt.Errorf("%w: %w", errUnsent, a.withCause(err))
		a.detach()
	}
	return fmt.Errorf("%w at %s: %w", waxwingpick.ErrEngineUnreachable, c.pool.addr, err)
}

// connection returns the connection for an exchange.
func (c *Client) connection(a *Response) (*conn, error) {
	if a.fresh {
		return c.pool.dial(a.ctx)
	}
	return c.pool.get(a.ctx, time.Now())
}

func (c *Client) fill(req *fasthttp.Request, r Request) {
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.URI)
	req.Header.SetHost(cmp.Or(r.Host, c.pool.addr))
	req.Header.SetNoDefaultContentType(true)
	// Special fields are those that fasthttp parses and encodes anew, such as Cookie.
	req.Header.DisableSpecialHeader()
	for _, f := range r.Header {
		req.Header.Add(f.Name, f.Value)
	}
	req.Header.EnableSpecialHeader()
	req.SetBodyRaw(r.Body)
}

func deadline(ctx context.Context, limit time.Duration) time.Time {
	at := time.Now().Add(limit)
	if given, ok := ctx.Deadline(); ok && given.Before(at) {
		return given
	}
	return at
}
