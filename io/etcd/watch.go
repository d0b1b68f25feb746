package etcd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/internal/etcdwire"
)

const (
	// maxMessageSize is the maximum size of one message of a watch stream, in bytes.
	maxMessageSize = 8 << 20
	// TCP keep-alive closes the connection to an unresponsive peer after keepAliveIdle and keepAliveCount intervals.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

var errWatchEnded = eris.New("watch ended by the service")

// Watch calls changed for each changed key with the prefix. It returns an error when ctx ends or the watch fails.
func (c *Client) Watch(ctx context.Context, prefix string, changed func(key string)) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	err := c.watch(ctx, prefix, changed)
	if ctx.Err() != nil {
		return fmt.Errorf("watch %s: %w", prefix, ctx.Err())
	}
	return fmt.Errorf("watch %s: %w: %w", prefix, waxwingpick.ErrUnavailable, err)
}

// watch uses a dedicated connection and closes it when ctx ends.
func (c *Client) watch(ctx context.Context, prefix string, changed func(key string)) error {
	body, err := json.Marshal(etcdwire.WatchRequest{
		CreateRequest: prefixRange(prefix),
	})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	conn := &watchConn{}
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	defer conn.close()
	client := &fasthttp.HostClient{
		Addr:                      c.addr,
		Dial:                      conn.dial,
		MaxConns:                  1,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	c.prepare(req, etcdwire.PathWatch, body)
	if err := client.Do(req, res); err != nil {
		return err
	}
	defer func() {
		conn.close()
		_ = res.CloseBodyStream()
	}()
	if res.StatusCode() != fasthttp.StatusOK {
		rest, _ := io.ReadAll(io.LimitReader(res.BodyStream(), maxErrorMessage))
		return newStatusError(res.StatusCode(), rest)
	}
	return receive(res.BodyStream(), changed)
}

// receive reads the messages of a watch stream until it ends.
func receive(stream io.Reader, changed func(key string)) error {
	bounded := &io.LimitedReader{
		R: stream,
	}
	dec := json.NewDecoder(bounded)
	for {
		bounded.N = maxMessageSize
		var msg etcdwire.WatchResponse
		if err := dec.Decode(&msg); err != nil {
			return fmt.Errorf("read watch stream: %w", err)
		}
		if msg.Error != nil {
			return fmt.Errorf("%w: %s", errWatchEnded, msg.Error.Message)
		}
		if msg.Result.Canceled {
			return errWatchEnded
		}
		for _, event := range msg.Result.Events {
			changed(string(event.Kv.Key))
		}
	}
}

// watchConn is the connection of one watch. After close, dial fails.
type watchConn struct {
	mu     sync.Mutex
	conn   net.Conn
	closed bool
}

func (w *watchConn) dial(addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	w.conn = conn
	return conn, nil
}

func (w *watchConn) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.conn != nil {
		_ = w.conn.Close()
	}
}
