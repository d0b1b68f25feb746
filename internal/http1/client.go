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
	// maxUnsentAttempts bounds the connections that are tried until one takes a byte.
	maxUnsentAttempts = 3
	// maxForeignAnswers bounds the answers to earlier requests that are skipped on one connection.
	maxForeignAnswers = 3
)

var errUnsent = eris.New("connection took nothing of the request")

// Client sends requests to one address. The library's own client repeats
// requests by itself and can't be interrupted, so only its reading and writing
// of messages is used.
type Client struct {
	pool      pool
	maxAnswer int
}

// SecureFunc secures a new connection; it closes one that it can't secure.
type SecureFunc func(ctx context.Context, c net.Conn) (net.Conn, error)

// Option sets one property of a client.
type Option func(*Client)

// Secured secures each new connection by the function.
func Secured(secure SecureFunc) Option {
	return func(c *Client) {
		c.pool.secure = secure
	}
}

// IdleFor sets how long a connection may stay idle and be used again where the peer does not say.
func IdleFor(d time.Duration) Option {
	return func(c *Client) {
		c.pool.idleFor = d
	}
}

// MaxConnections bounds the open connections.
func MaxConnections(n int) Option {
	return func(c *Client) {
		c.pool.most = n
	}
}

// New returns a client of the IP address and port; answers that are not streamed are bounded in size.
func New(addr string, maxAnswerBytes int, opts ...Option) *Client {
	c := &Client{
		pool: pool{
			addr:    addr,
			idleFor: idleTimeout,
			most:    maxConnections,
			open:    make(map[*conn]struct{}),
			secure: func(_ context.Context, c net.Conn) (net.Conn, error) {
				return c, nil
			},
		},
		maxAnswer: maxAnswerBytes,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close breaks every connection, so that the exchanges under way fail.
func (c *Client) Close() {
	c.pool.close()
}

// Connect makes a connection, and keeps it for a later request; it fails with ErrEngineUnreachable.
func (c *Client) Connect(ctx context.Context) error {
	cn, err := c.pool.dial(ctx)
	if err != nil {
		return fmt.Errorf("%w at %s: %w", waxwingpick.ErrEngineUnreachable, c.pool.addr, err)
	}
	cn.idleFor = c.pool.idleFor
	c.pool.put(cn, time.Now())
	return nil
}

// Request is one request to be sent once.
type Request struct {
	Method string
	// URI is the path with its query, escaped.
	URI     string
	Header  []Field
	Body    []byte
	Timeout time.Duration
	// Stream leaves the body to be read by Answer.Stream.
	Stream bool
	// Host replaces the address in the Host field; empty for the address.
	Host string
	// Echo is a field that the peer repeats in its answer. An answer that names another value belongs to an earlier
	// request and is skipped; empty for a peer that repeats none.
	Echo Field
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Send sends a request once and waits for the answer's header, or for the
// whole answer where it is not streamed. The answer has to be closed. It fails
// with ErrEngineUnreachable when nothing was sent, and with ErrEngineLost when
// the request may have been received.
func (c *Client) Send(ctx context.Context, r Request) (*Answer, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", waxwingpick.ErrEngineUnreachable, err)
	}
	a := &Answer{
		client: c,
		ctx:    ctx,
		req:    fasthttp.AcquireRequest(),
		resp:   fasthttp.AcquireResponse(),
	}
	c.fill(a.req, r)
	if err := c.exchange(a, r); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func (c *Client) exchange(a *Answer, r Request) error {
	deadline := deadline(a.ctx, r.Timeout)
	if err := c.write(a, deadline); err != nil {
		return err
	}
	a.resp.SkipBody = r.Method == fasthttp.MethodHead
	a.resp.StreamBody = r.Stream
	for range maxForeignAnswers {
		if err := a.conn.receive(a.resp, c.maxAnswer); err != nil {
			if mtls.RefusedByPeer(err) {
				return fmt.Errorf("%w: %s: %w", waxwingpick.ErrEngineUnreachable, c.pool.addr, err)
			}
			return fmt.Errorf("%w: read answer of %s: %w", waxwingpick.ErrEngineLost, c.pool.addr, a.because(err))
		}
		if a.echoes(r.Echo) {
			a.opened()
			return nil
		}
		if err := a.skip(); err != nil {
			return fmt.Errorf("%w: skip answer of %s to another request: %w", waxwingpick.ErrEngineLost, c.pool.addr, err)
		}
	}
	return fmt.Errorf("%w: %s answers other requests", waxwingpick.ErrEngineLost, c.pool.addr)
}

// write sends the request. A connection that took no byte of it is replaced.
func (c *Client) write(a *Answer, deadline time.Time) error {
	var err error
	for range maxUnsentAttempts {
		var cn *conn
		cn, err = c.pool.get(a.ctx, time.Now())
		if err != nil {
			break
		}
		a.attach(cn, deadline)
		if err = cn.send(a.req); err == nil {
			return nil
		}
		if cn.sent > 0 {
			return fmt.Errorf("%w: send to %s: %w", waxwingpick.ErrEngineLost, c.pool.addr, a.because(err))
		}
		err = fmt.Errorf("%w: %w", errUnsent, a.because(err))
		a.detach()
	}
	return fmt.Errorf("%w at %s: %w", waxwingpick.ErrEngineUnreachable, c.pool.addr, err)
}

func (c *Client) fill(req *fasthttp.Request, r Request) {
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.URI)
	req.Header.SetHost(cmp.Or(r.Host, c.pool.addr))
	req.Header.SetNoDefaultContentType(true)
	for _, f := range r.Header {
		req.Header.Add(f.Name, f.Value)
	}
	req.SetBodyRaw(r.Body)
}

func deadline(ctx context.Context, limit time.Duration) time.Time {
	at := time.Now().Add(limit)
	if given, ok := ctx.Deadline(); ok && given.Before(at) {
		return given
	}
	return at
}
