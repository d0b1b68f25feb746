package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// maxInterimResponses bounds the interim responses (1xx) before a response.
	maxInterimResponses = 100
	// maxEmptyBytes bounds the empty lines before a response, in bytes.
	maxEmptyBytes = 64
)

var (
	errInterim = eris.New("too many interim responses")
	errEmpty   = eris.New("too many empty lines")
	errEnd     = eris.New("header does not end with CRLF")
)

// receive reads the header of a response, and its body unless that is streamed.
func (c *conn) receive(resp *fasthttp.Response, maxBody int) error {
	// A default would count as a field of the peer.
	resp.Header.SetNoDefaultContentType(true)
	for range maxInterimResponses {
		if err := c.readHeader(&resp.Header); err != nil {
			return err
		}
		if status := resp.StatusCode(); status >= http.StatusOK || status == http.StatusSwitchingProtocols {
			return c.readBody(resp, maxBody)
		}
	}
	return errInterim
}

// readHeader reads the header of a response or an interim response. The lines are checked before fasthttp parses them, as it accepts
// malformed ones: it joins a line that begins with a blank to the one before, takes blanks at the end of a name for none and keeps those
// inside, and ends the header at an empty line that only LF ends.
func (c *conn) readHeader(h *fasthttp.ResponseHeader) error {
	if err := c.skipEmptyLines(); err != nil {
		return err
	}
	lines, err := c.checkLines(checkStatusLine)
	if err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	if err := h.Read(c.br); err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	return checkFraming(h, lines)
}

// skipEmptyLines reads the empty lines before a response.
func (c *conn) skipEmptyLines() error {
	for range maxEmptyBytes {
		first, err := c.br.Peek(1)
		if err != nil {
			return fmt.Errorf("read header: %w", err)
		}
		if first[0] != '\r' && first[0] != '\n' {
			return nil
		}
		// Peek has buffered the byte.
		_, _ = c.br.Discard(1)
	}
	return errEmpty
}

// checkLines waits for the lines up to the next empty one, and checks each as soon as it has arrived: the first one by a function, the
// others as fields. The lines stay buffered, and are valid until more is read from the connection.
func (c *conn) checkLines(checkFirst func(line []byte) error) ([]byte, error) {
	check := checkFirst
	for size := 0; ; {
		raw, err := c.peekLine(size)
		if err != nil {
			return nil, err
		}
		size += len(raw)
		line := bytes.TrimSuffix(raw[:len(raw)-1], []byte("\r"))
		if len(line) == 0 {
			return c.checkEnd(size)
		}
		if err := check(line); err != nil {
			return nil, err
		}
		check = checkFieldLine
	}
}

// checkEnd returns lines of size bytes, the empty one included, if they end with CRLF. fasthttp requires that, and searches further for
// it, into the body.
func (c *conn) checkEnd(size int) ([]byte, error) {
	// The lines are buffered.
	lines, _ := c.br.Peek(size)
	if !bytes.HasSuffix(lines, []byte("\r\n\r\n")) && string(lines) != "\r\n" {
		return nil, errEnd
	}
	return lines, nil
}

// peekLine waits for the line that begins after offset bytes and returns it with its end. Everything up to there stays buffered. It never
// fails with io.EOF, which would end a body.
func (c *conn) peekLine(offset int) ([]byte, error) {
	for searched := offset; ; {
		buffered, _ := c.br.Peek(c.br.Buffered())
		if i := bytes.IndexByte(buffered[searched:], '\n'); i >= 0 {
			return buffered[offset : searched+i+1], nil
		}
		searched = len(buffered)
		if searched == c.br.Size() && searched < maxHeaderBytes {
			c.grow()
		}
		switch _, err := c.br.Peek(searched + 1); {
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// readBody reads the body of a response, or prepares its stream.
func (c *conn) readBody(resp *fasthttp.Response, maxBody int) error {
	switch status := resp.StatusCode(); {
	case resp.SkipBody, status < http.StatusOK, status == http.StatusNoContent, status == http.StatusNotModified:
		return nil
	}
	chunked := resp.Header.ContentLength() == chunkedLength
	if chunked && resp.StreamBody {
		resp.SetBodyStream(newChunkedBody(c, &resp.Header), chunkedLength)
		return nil
	}
	if err := resp.ReadBody(c.br, maxBody); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if chunked {
		return c.readTrailers(&resp.Header)
	}
	return nil
}
