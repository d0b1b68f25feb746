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
	// readBufferBytes holds most answers' headers; a connection with a larger one gets a buffer of maxHeaderBytes.
	readBufferBytes  = 4 << 10
	maxHeaderBytes   = 16 << 10
	writeBufferBytes = 4 << 10
)

// past is a deadline that makes every read and write fail at once.
var past = time.Unix(1, 0)

// writers holds buffers for requests, which a connection needs only while it sends one.
var writers = sync.Pool{
	New: func() any {
		return bufio.NewWriterSize(nil, writeBufferBytes)
	},
}

// conn is a connection that serves one exchange at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// received is the number of bytes that were read from the peer.
	received int64
	// sent is the number of bytes of the present request that left this process.
	sent int
	// idleSince is when the previous exchange ended.
	idleSince time.Time
	// idleFor is how long the connection may stay idle and be used again.
	idleFor time.Duration
}

func newConn(inner net.Conn) *conn {
	c := &conn{
		Conn: inner,
	}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// receive reads an answer's header, and its body where that is not streamed.
func (c *conn) receive(resp *fasthttp.Response, maxBody int) error {
	taken := c.taken()
	err := resp.ReadLimitBody(c.br, maxBody)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || c.taken() != taken {
		return err
	}
	c.grow()
	return resp.ReadLimitBody(c.br, maxBody)
}

// taken is the number of received bytes that were taken from the buffer.
func (c *conn) taken() int64 {
	return c.received - int64(c.br.Buffered())
}

// grow makes room for the largest header. The former buffer holds its beginning and nothing else is read through it,
// so that bytes that no request asked for stay in sight.
func (c *conn) grow() {
	held, _ := c.br.Peek(c.br.Buffered())
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(held), c), maxHeaderBytes)
}

// send writes a whole request.
func (c *conn) send(req *fasthttp.Request) error {
	bw := writers.Get().(*bufio.Writer)
	bw.Reset(c)
	err := req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	bw.Reset(nil)
	writers.Put(bw)
	return err
}

// Read counts what was received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	return n, err
}

// Write counts what was sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += n
	return n, err
}

// usable reports whether an idle connection can take a request: it is open and
// holds no bytes that no request asked for.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleFor && c.br.Buffered() == 0 && c.quiet()
}

// quiet reports whether a connection is open and has nothing to read, in the socket or in a record that was read.
func (c *conn) quiet() bool {
	secured, ok := c.Conn.(*tls.Conn)
	if !ok {
		return silent(c.Conn)
	}
	if !silent(secured) || secured.SetReadDeadline(past) != nil {
		return false
	}
	// Past its deadline a read takes only what the connection holds already.
	var b [1]byte
	n, err := secured.Read(b[:])
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

// silent reports whether a connection is open and its socket has nothing to read.
func silent(c net.Conn) bool {
	pending, ended := tcp.Peek(c)
	return !pending && !ended
}
