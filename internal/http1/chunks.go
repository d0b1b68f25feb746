package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// chunkedBody is a streamed body in chunks. It ends only after sound trailers, which fasthttp's stream does not check.
type chunkedBody struct {
	conn   *conn
	header *fasthttp.ResponseHeader
	// chunks is nil once the last chunk was read.
	chunks io.Reader
	// end is what Read returns after the trailers.
	end error
}

func newChunkedBody(c *conn, h *fasthttp.ResponseHeader) *chunkedBody {
	return &chunkedBody{
		conn:   c,
		header: h,
		chunks: httputil.NewChunkedReader(c.br),
	}
}

// Read reads from the chunks. It returns io.EOF after the trailers.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.chunks != nil {
		n, err := b.chunks.Read(p)
		if !errors.Is(err, io.EOF) {
			return n, err
		}
		b.chunks = nil
		if n > 0 {
			// The trailers may arrive later than the data.
			return n, nil
		}
	}
	if b.end == nil {
		b.end = io.EOF
		if err := b.conn.readTrailers(b.header); err != nil {
			b.end = err
		}
	}
	return 0, b.end
}

// readTrailers reads the trailers of a body in chunks, which nothing uses. As for a header, fasthttp accepts malformed lines.
func (c *conn) readTrailers(h *fasthttp.ResponseHeader) error {
	if _, err := c.checkLines(checkFieldLine); err != nil {
		return fmt.Errorf("read trailers: %w", err)
	}
	if err := h.ReadTrailer(c.br); err != nil {
		return fmt.Errorf("read trailers: %w", err)
	}
	return nil
}
