package jsonrpc

import (
	"context"
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"waxwingpick"
	"waxwingpick/io/mtls"
	"waxwingpick/io/tcp"
)

// Limits of a client.
const (
	defaultMaxPeers = 64
	connectTimeout  = 500 * time.Millisecond
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
)

// ErrNotTaken says that a call was not sent, or that the peer refused it before it was handled.
var ErrNotTaken = eris.New("call not taken")

// Client calls other processes and keeps a bounded number of connections.
type Client struct {
	fleet string
	dial  func(ctx context.Context, addr string) (*jsonrpc2.Conn, error)
	mu    sync.Mutex
	conns *lru.Cache[string, *peerConn]
}

// peerConn holds the connection to one peer; its lock keeps a second dial from starting.
type peerConn struct {
	mu  sync.Mutex
	rpc *jsonrpc2.Conn
}

// ClientOption sets one property of a client.
type ClientOption func(*clientSettings)

type clientSettings struct {
	fleet       string
	maxPeers    int
	credentials *mtls.Credentials
}

// Fleet names the fleet whose processes are called; without it only methods that are open to all are found.
func Fleet(name string) ClientOption {
	return func(s *clientSettings) {
		s.fleet = name
	}
}

// MaxPeers bounds the processes to which connections are kept.
func MaxPeers(n int) ClientOption {
	return func(s *clientSettings) {
		s.maxPeers = n
	}
}

// WithCredentials secures the connections; the processes called are entries and sidecars.
func WithCredentials(c *mtls.Credentials) ClientOption {
	return func(s *clientSettings) {
		s.credentials = c
	}
}

// NewClient returns a client without connections.
func NewClient(opts ...ClientOption) (*Client, error) {
	s := clientSettings{
		maxPeers: defaultMaxPeers,
	}
	for _, opt := range opts {
		opt(&s)
	}
	conns, err := lru.NewWithEvict(s.maxPeers, func(_ string, c *peerConn) {
		// Eviction runs under the client's lock, and a dial may hold the peer's.
		go c.close()
	})
	if err != nil {
		return nil, fmt.Errorf("create connection cache: %w", err)
	}
	return &Client{
		fleet: s.fleet,
		dial:  dialer(s.credentials),
		conns: conns,
	}, nil
}

// Call sends one call to the process at the address and decodes its result; a
// refusal comes back as *waxwingpick.Refusal.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	rpc, err := c.conn(ctx, addr)
	if err != nil {
		return err
	}
	if err := rpc.Call(ctx, fleetMethod(c.fleet, method), params, result); err != nil {
		return fmt.Errorf("call %s at %s: %w", method, addr, decodeError(err))
	}
	return nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns.Purge()
}

func (c *Client) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	p, ok := c.conns.Get(addr)
	if !ok {
		p = &peerConn{}
		c.conns.Add(addr, p)
	}
	c.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alive() {
		return p.rpc, nil
	}
	rpc, err := c.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w: %w", addr, ErrNotTaken, waxwingpick.ErrPeerUnreachable, err)
	}
	p.rpc = rpc
	return rpc, nil
}

func (p *peerConn) alive() bool {
	if p.rpc == nil {
		return false
	}
	select {
	case <-p.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (p *peerConn) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rpc != nil {
		p.rpc.Close()
	}
}

func dialer(credentials *mtls.Credentials) func(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	return func(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
		raw, err := tcp.Dialer(connectTimeout, 0)(addr)
		if err != nil {
			return nil, err
		}
		c, err := credentials.Connect(ctx, raw, mtls.RoleEntry, mtls.RoleSidecar)
		if err != nil {
			return nil, err
		}
		stream := jsonrpc2.NewBufferedStream(c, boundedCodec{})
		return jsonrpc2.NewConn(context.Background(), stream, noCalls{}, quiet()), nil
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// noCalls ignores calls that a server sends to its client.
type noCalls struct{}

// Handle drops the call.
func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
