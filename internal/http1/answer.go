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
)

// Answer is one answer; Close has to be called on every path. Interrupt may
// come from another goroutine, everything else from one at a time.
type Answer struct {
	client *Client
	ctx    context.Context
	req    *fasthttp.Request
	resp   *fasthttp.Response
	unhook func() bool
	// whole says that the body was read to its end.
	whole bool

	mu          sync.Mutex
	conn        *conn
	interrupted bool
	closed      bool
}

// Status returns the HTTP status code.
func (a *Answer) Status() int {
	return a.resp.StatusCode()
}

// Header returns a copy of the first field with the name.
func (a *Answer) Header(name string) string {
	return string(a.resp.Header.Peek(name))
}

// Fields returns a copy of all header fields.
func (a *Answer) Fields() []Field {
	var fields []Field
	for name, value := range a.resp.Header.All() {
		fields = append(fields, Field{
			Name:  string(name),
			Value: string(value),
		})
	}
	return fields
}

// Body returns a copy of the body; it fails where a streamed one has more than limit bytes.
func (a *Answer) Body(limit int) ([]byte, error) {
	if !a.resp.IsBodyStream() {
		return bytes.Clone(a.resp.Body()), nil
	}
	body, err := io.ReadAll(io.LimitReader(a, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: read body: %w", waxwingpick.ErrEngineLost, err)
	}
	if len(body) > limit {
		return nil, fmt.Errorf("%w: body of more than %d bytes", waxwingpick.ErrEngineLost, limit)
	}
	return body, nil
}

// Stream returns the body of a streamed answer.
func (a *Answer) Stream() io.Reader {
	return a
}

// Read reads a part of a streamed body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.resp.BodyStream().Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, a.because(err)
	}
	return n, nil
}

// Interrupt makes a read or write that is under way fail; Close is still needed.
func (a *Answer) Interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.conn == nil {
		return
	}
	a.interrupted = true
	// An error means that the connection has ended, which is what is wanted.
	_ = a.conn.SetDeadline(past)
}

// ReadWithin bounds the rest of the reading.
func (a *Answer) ReadWithin(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.interrupted || a.conn == nil {
		return
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(d))
}

// echoes reports whether the answer names the request that it belongs to, or names none.
func (a *Answer) echoes(echo Field) bool {
	if echo.Name == "" {
		return true
	}
	named := a.resp.Header.Peek(echo.Name)
	return len(named) == 0 || string(named) == echo.Value
}

// skip reads an answer that belongs to another request to its end.
func (a *Answer) skip() error {
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
func (a *Answer) reusableFor() time.Duration {
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

// Close frees the answer. A body that was not read to its end takes its
// connection along, so that nobody else reads the rest.
func (a *Answer) Close() {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return
	}
	a.closed = true
	a.mu.Unlock()
	if a.unhook != nil {
		a.unhook()
	}
	reusable := a.whole && !a.interrupted && !a.resp.ConnectionClose()
	reusableFor := a.reusableFor()
	_ = a.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(a.resp)
	fasthttp.ReleaseRequest(a.req)
	switch {
	case a.conn == nil:
	case reusable:
		a.conn.idleFor = reusableFor
		a.client.pool.put(a.conn, time.Now())
	default:
		a.client.pool.drop(a.conn)
	}
}

// attach ties the exchange to a connection.
func (a *Answer) attach(c *conn, deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	// A connection that can't take a deadline fails at the next write.
	_ = c.SetDeadline(deadline)
	if a.ctx.Done() != nil && a.unhook == nil {
		a.unhook = context.AfterFunc(a.ctx, a.Interrupt)
	}
	if a.ctx.Err() != nil {
		_ = c.SetDeadline(past)
	}
}

// detach gives up a connection that took nothing of the request.
func (a *Answer) detach() {
	a.mu.Lock()
	c := a.conn
	a.conn = nil
	a.mu.Unlock()
	a.client.pool.drop(c)
}

// opened notes what is known once the header, or all of an answer that is not streamed, was read.
func (a *Answer) opened() {
	a.whole = !a.resp.IsBodyStream() && a.resp.StatusCode() != fasthttp.StatusSwitchingProtocols
}

// because adds the reason why the exchange was given up, if it was.
func (a *Answer) because(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
