package http1

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"waxwingpick/io/tcp"
)

const (
	// readBufferBytes holds the header of most responses. A connection with a larger one gets a buffer of
	// maxHeaderBytes.
	readBufferBytes  = 4 << 10
	maxHeaderBytes   = 16 << 10
	writeBufferBytes = 4 << 10
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
