package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"waxwingpick"
	"waxwingpick/io/tcp"
)

// chunkedLength is fasthttp's content length of a body in chunks.
const chunkedLength = -1

// Response is one response. Close must be called on every path. Interrupt may be called from any goroutine, all other
// methods from one goroutine at a time.
type Response struct {
	client        *Client
	ctx           context.Context
	req           *fasthttp.Request
	resp          *fasthttp.Response
	stopInterrupt func() bool
	origin        origin
	// complete is set once the body was read to its end.
	complete bool
	memory   waxwingpick.MemoryHold
	// fresh means that no other exchange uses the connection.
	fresh bool

	mu          sync.Mutex
	conn        *conn
	interrupted bool
	closed      bool
}

// Status returns the HTTP status code.
func (a *Response) Status() int {
	return a.resp.StatusCode()
}

// Framing returns how the peer stated where a streamed body ends.
func (a *Response) Framing() waxwingpick.Framing {
	switch n := a.resp.Header.ContentLength(); {
	case !a.resp.IsBodyStream():
		return waxwingpick.FramingUnknown
	case n >= 0:
		return waxwingpick.FramingLength
	case n == chunkedLength:
		return waxwingpick.FramingChunks
	}
	return waxwingpick.FramingConnection
}

// Header returns a copy of the first field with the name.
func (a *Response) Header(name string) string {
	return string(a.resp.Header.Peek(name))
}

// Fields returns a copy of all header fields.
func (a *Response) Fields() []Field {
	var fields []Field
	for name, value := range a.resp.Header.All() {
		fields = append(fields, Field{
			Name:  string(name),
			Value: string(value),
		})
	}
	return fields
}

// Body returns a copy of the body. It fails with ErrEngineLost if a streamed body breaks off or exceeds limit bytes.
func (a *Response) Body(limit int) ([]byte, error) {
	if !a.resp.IsBodyStream() {
		return bytes.Clone(a.resp.Body()), nil
	}
	body, err := ReadBody(a, a.resp.Header.ContentLength(), limit, a.memory)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", waxwingpick.ErrEngineLost, err)
	}
	return body, nil
}

// HasBody reports whether a streamed response has a body. One to a HEAD request has none, whatever its header states.
func (a *Response) HasBody() bool {
	return a.resp.IsBodyStream()
}

// Stream returns the body of a streamed response.
func (a *Response) Stream() io.Reader {
	return a
}

// Read reads from a streamed body.
func (a *Response) Read(p []byte) (int, error) {
	if !a.HasBody() {
		a.complete = true
		return 0, io.EOF
	}
	n, err := a.resp.BodyStream().Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, a.withCause(err)
	}
	return n, nil
}

// Interrupt makes a running read or write fail. Close must still be called.
func (a *Response) Interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.conn == nil {
		return
	}
	a.interrupted = true
	// SetDeadline fails only on a closed connection, on which reads and writes fail as well.
	_ = a.conn.SetDeadline(past)
}

// SetReadTimeout sets a time limit for all further reads.
func (a *Response) SetReadTimeout(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.interrupted || a.conn == nil {
		return
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(d))
}

// origin is what a response says of the request to which it belongs.
type origin uint8

const (
	// originUnknown means that the response does not name one request, although the peer was to repeat the echo field.
	originUnknown origin = iota
	originOwn
	originForeign
)

// originOf compares the response with the request's echo field. Peers without such a field send only own responses.
func (a *Response) originOf(echo Field) origin {
	if echo.Name == "" {
		return originOwn
	}
	named := a.resp.Header.PeekAll(echo.Name)
	if len(named) == 0 || len(named[0]) == 0 {
		return originUnknown
	}
	for _, other := range named[1:] {
		if !bytes.Equal(other, named[0]) {
			return originUnknown
		}
	}
	if string(named[0]) != echo.Value {
		return originForeign
	}
	return originOwn
}

// discard reads a response to another request to its end.
func (a *Response) discard() error {
	if a.resp.ConnectionClose() {
		return io.ErrUnexpectedEOF
	}
	if a.resp.IsBodyStream() {
		if _, err := io.Copy(io.Discard, a.resp.BodyStream()); err != nil {
			return fmt.Errorf("read body: %w", err)
		}
		if err := a.resp.CloseBodyStream(); err != nil {
			return fmt.Errorf("close body: %w", err)
		}
	}
	stream, skipBody := a.resp.StreamBody, a.resp.SkipBody
	a.resp.Reset()
	a.resp.StreamBody, a.resp.SkipBody = stream, skipBody
	return nil
}

// reusableFor returns how long the connection may stay idle before the peer may close it.
func (a *Response) reusableFor() time.Duration {
	field := string(a.resp.Header.Peek("Keep-Alive"))
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(0, min(time.Duration(seconds)*time.Second, idleTimeout)-closeMargin)
		}
	}
	return a.client.pool.idleFor
}

// Close releases the response. If the body was not read to its end, the connection is aborted: no later exchange reads the rest, and
// the peer receives nothing more of the request.
func (a *Response) Close() {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return
	}
	a.closed = true
	a.mu.Unlock()
	if a.stopInterrupt != nil {
		a.stopInterrupt()
	}
	// A copy of a response that does not name its request could not be told from the answer to a later one.
	reusable := a.complete && !a.interrupted && !a.resp.ConnectionClose() && a.origin == originOwn && !a.fresh
	reusableFor := a.reusableFor()
	_ = a.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(a.resp)
	fasthttp.ReleaseRequest(a.req)
	switch {
	case a.conn == nil:
	case reusable:
		a.conn.idleFor = reusableFor
		a.client.pool.put(a.conn, time.Now())
	case a.complete:
		a.client.pool.drop(a.conn)
	default:
		a.client.pool.abort(a.conn)
	}
}

// attach assigns a connection to the exchange and applies the deadline and the context to it. A deadline of zero means none.
func (a *Response) attach(c *conn, deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	// SetDeadline fails only on a connection that also fails the next write.
	_ = c.SetDeadline(deadline)
	if !deadline.IsZero() {
		tcp.LimitDelivery(c.Conn, time.Until(deadline))
	}
	if a.ctx.Done() != nil && a.stopInterrupt == nil {
		a.stopInterrupt = context.AfterFunc(a.ctx, a.Interrupt)
	}
	if a.ctx.Err() != nil {
		_ = c.SetDeadline(past)
	}
}

// detach drops a connection that accepted no byte of the request.
func (a *Response) detach() {
	a.mu.Lock()
	c := a.conn
	a.conn = nil
	a.mu.Unlock()
	a.client.pool.abort(c)
}

// headerRead is called when the header has been read, and the body too unless it is streamed.
func (a *Response) headerRead() {
	a.complete = !a.resp.IsBodyStream() && a.resp.StatusCode() != fasthttp.StatusSwitchingProtocols
}

// withCause adds the cause of the context's end to an error, if it has ended.
func (a *Response) withCause(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
