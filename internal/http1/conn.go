package http1

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"waxwingpick/io/tcp"
)

const (
	// readBufferBytes holds the header of most responses. A connection with a larger one gets a buffer of
	// maxHeaderBytes.
	readBufferBytes  = 4 << 10
	maxHeaderBytes   = 16 << 10
	writeBufferBytes = 4 << 10
	// maxInterimResponses bounds the interim responses (1xx) before a response.
	maxInterimResponses = 100
	// minStatus is the lowest status of a response, in statusDigits digits.
	minStatus    = 100
	statusDigits = 3
	// minStatusLine and maxStatusLine bound the bytes up to the end of a status.
	minStatusLine = len("HTTP/1.1 200")
	maxStatusLine = 64
)

var (
	errStatus  = eris.New("invalid response status")
	errInterim = eris.New("too many interim responses")
)

// past is a deadline that makes every read and write fail immediately.
var past = time.Unix(1, 0)

// writerPool holds buffers for requests, which a connection needs only while it sends one.
var writerPool = sync.Pool{
	New: func() any {
		return bufio.NewWriterSize(nil, writeBufferBytes)
	},
}

// conn is a connection that serves one exchange at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// received is the number of bytes read from the peer.
	received int64
	// sent is the number of bytes of the current request that were written.
	sent int
	// idleSince is when the previous exchange ended.
	idleSince time.Time
	// idleFor is how long the connection may stay idle before reuse.
	idleFor time.Duration
}

func newConn(inner net.Conn) *conn {
	c := &conn{
		Conn: inner,
	}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// receive reads the header of a response, and its body unless that is streamed.
func (c *conn) receive(resp *fasthttp.Response, maxBody int) error {
	// A default would count as a field of the peer.
	resp.Header.SetNoDefaultContentType(true)
	if err := c.skipInterim(); err != nil {
		return err
	}
	consumed := c.consumed()
	err := resp.ReadLimitBody(c.br, maxBody)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || c.consumed() != consumed {
		return err
	}
	c.grow()
	return resp.ReadLimitBody(c.br, maxBody)
}

// skipInterim reads interim responses, and fails with errStatus if the final one has a status below 100. fasthttp takes a status
// of zero for one that was not set, and reports success.
func (c *conn) skipInterim() error {
	for range maxInterimResponses {
		status, ok := c.peekStatus()
		switch {
		case !ok:
			return nil
		case status < minStatus:
			return fmt.Errorf("%w: %03d", errStatus, status)
		case status >= http.StatusOK || status == http.StatusSwitchingProtocols:
			return nil
		}
		var interim fasthttp.ResponseHeader
		if err := interim.Read(c.br); err != nil {
			return fmt.Errorf("read interim response: %w", err)
		}
	}
	return errInterim
}

// peekStatus returns the status of the response that follows, without its status line being read; false if it has none. Empty
// lines before it are skipped.
func (c *conn) peekStatus() (status int, ok bool) {
	for skipped := 0; ; skipped++ {
		first, err := c.br.Peek(1)
		if err != nil {
			return 0, false
		}
		if first[0] != '\r' && first[0] != '\n' {
			break
		}
		if skipped == maxStatusLine {
			return 0, true
		}
		// Peek has buffered the byte.
		_, _ = c.br.Discard(1)
	}
	for n := minStatusLine; n <= maxStatusLine; n++ {
		line, err := c.br.Peek(n)
		if err != nil {
			return 0, false
		}
		_, rest, found := bytes.Cut(line, []byte(" "))
		code := bytes.TrimLeft(rest, " ")
		if !found || len(code) < statusDigits {
			continue
		}
		status, err := strconv.ParseUint(string(code[:statusDigits]), 10, 16)
		return int(status), err == nil
	}
	return 0, false
}

// consumed returns the number of received bytes that were read from the buffer.
func (c *conn) consumed() int64 {
	return c.received - int64(c.br.Buffered())
}

// grow replaces the buffer by one for the largest header. The new buffer begins with the contents of the former one and
// reads from the connection directly, so that Buffered still reveals unsolicited bytes.
func (c *conn) grow() {
	buffered, _ := c.br.Peek(c.br.Buffered())
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), c), maxHeaderBytes)
}

// send writes a complete request.
func (c *conn) send(req *fasthttp.Request) error {
	bw := writerPool.Get().(*bufio.Writer)
	bw.Reset(c)
	err := req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	bw.Reset(nil)
	writerPool.Put(bw)
	return err
}

// Read counts the received bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	return n, err
}

// Write counts the sent bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += n
	return n, err
}

// usable reports whether an idle connection may carry a request: it is open and received no unsolicited bytes.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleFor && c.br.Buffered() == 0 && c.noInput()
}

// noInput reports whether a connection is open and has nothing to read, neither in the socket nor in a TLS record that
// was already received.
func (c *conn) noInput() bool {
	secured, ok := c.Conn.(*tls.Conn)
	if !ok {
		return socketIdle(c.Conn)
	}
	if !socketIdle(secured) || secured.SetReadDeadline(past) != nil {
		return false
	}
	// After its deadline, a read returns only data that the connection has already received.
	var b [1]byte
	n, err := secured.Read(b[:])
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

// socketIdle reports whether a connection is open and its socket has nothing to read.
func socketIdle(c net.Conn) bool {
	pending, ended := tcp.Peek(c)
	return !pending && !ended
}
