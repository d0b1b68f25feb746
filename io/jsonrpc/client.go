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

// Limits of a Client.
const (
	defaultMaxPeers = 64
	connectTimeout  = 500 * time.Millisecond
	// DefaultTimeout is the timeout of a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
)

// ErrNotHandled reports that a call was not sent, or that the peer rejected it before running the handler.
var ErrNotHandled = eris.New("call not handled")

// Client calls methods of other processes and keeps a bounded number of connections.
type Client struct {
	fleet string
	dial  func(ctx context.Context, addr string) (*jsonrpc2.Conn, error)
	mu    sync.Mutex
	conns *lru.Cache[string, *peerConn]
}

// peerConn is the connection to one peer. Its lock prevents concurrent dials to the same peer.
type peerConn struct {
	mu  sync.Mutex
	rpc *jsonrpc2.Conn
}

// ClientOption configures a Client.
type ClientOption func(*clientSettings)

type clientSettings struct {
	fleet       string
	maxPeers    int
	credentials *mtls.Credentials
}

// Fleet sets the fleet whose processes are called. Without it, only methods that are open to all fleets can be called.
func Fleet(name string) ClientOption {
	return func(s *clientSettings) {
		s.fleet = name
	}
}

// MaxPeers sets the maximum number of peers to which connections are kept.
func MaxPeers(n int) ClientOption {
	return func(s *clientSettings) {
		s.maxPeers = n
	}
}

// WithCredentials secures the connections with TLS. Peers must have the role entry or sidecar.
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
		// The eviction callback runs under the client's lock, and a dial may hold the lock of the peer.
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

// Call calls a method of the process at addr and decodes its result. A refusal
// by the handler is returned as *waxwingpick.Refusal.
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
		return nil, fmt.Errorf("dial %s: %w: %w: %w", addr, ErrNotHandled, waxwingpick.ErrPeerUnreachable, err)
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
		// The connection outlives calls that were given up.
		tcp.LimitDelivery(raw, DefaultTimeout)
		c, err := credentials.Connect(ctx, raw, mtls.RoleEntry, mtls.RoleSidecar)
		if err != nil {
			return nil, err
		}
		stream := jsonrpc2.NewBufferedStream(c, boundedCodec{})
		return jsonrpc2.NewConn(context.Background(), stream, ignoreCalls{}, discardLog()), nil
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// ignoreCalls ignores calls that a server sends to its client.
type ignoreCalls struct{}

// Handle ignores the call.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
