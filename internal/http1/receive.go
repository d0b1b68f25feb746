package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxInterimResponses bounds the interim responses (1xx) before a response.
	maxInterimResponses = 100
	// maxEmptyBytes bounds the empty lines before a response, in bytes.
	maxEmptyBytes = 64
	// minStatus is the lowest status of a response, in statusDigits digits.
	minStatus    = 100
	statusDigits = 3
)

var (
	errStatus    = eris.New("invalid status line")
	errInterim   = eris.New("too many interim responses")
	errFieldLine = eris.New("malformed field line")
	errEnd       = eris.New("header does not end with CRLF")
	errFraming   = eris.New("faulty framing")
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

// readHeader reads the header of a response or an interim response. The lines are checked before fasthttp parses them, as it accepts
// malformed ones: it joins a line that begins with a blank to the one before, takes blanks at the end of a name for none and keeps those
// inside, and ends the header at an empty line that only LF ends.
func (c *conn) readHeader(h *fasthttp.ResponseHeader) error {
	if err := c.skipEmptyLines(); err != nil {
		return err
	}
	lines, err := c.checkLines(checkStatusLine)
	if err != nil {
		return err
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
	return fmt.Errorf("%w: only empty lines", errStatus)
}

// checkLines waits for the lines up to the next empty one, and checks each as soon as it has arrived. first checks the first line; nil if
// it is a field line too. The lines stay buffered, and are valid until more is read from the connection.
func (c *conn) checkLines(first func(line []byte) error) ([]byte, error) {
	check := first
	if check == nil {
		check = checkFieldLine
	}
	for size := 0; ; {
		raw, err := c.peekLine(size)
		if err != nil {
			return nil, fmt.Errorf("read header: %w", err)
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

// checkFraming returns an error for a response that states the end of its body in two ways, or in chunks by HTTP/1.0, which has none.
// RFC 9112 calls either framing faulty.
func checkFraming(h *fasthttp.ResponseHeader, lines []byte) error {
	switch {
	case h.ContentLength() == chunkedLength && hasField(lines, fasthttp.HeaderContentLength):
		return fmt.Errorf("%w: length and chunks", errFraming)
	case !h.IsHTTP11() && hasField(lines, fasthttp.HeaderTransferEncoding):
		return fmt.Errorf("%w: chunks by HTTP/1.0", errFraming)
	}
	return nil
}

// hasField reports whether one of the lines is a field with the name.
func hasField(lines []byte, name string) bool {
	for line := range bytes.Lines(lines) {
		field, _, _ := bytes.Cut(line, []byte(":"))
		if strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
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

// checkStatusLine returns an error unless a line is a status line of HTTP/1 with a status of at least 100. fasthttp accepts any version and
// reason, and takes a status of zero for one that was not set, which it reports as a success.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	rest = bytes.TrimLeft(rest, " ")
	digits := min(len(rest), statusDigits)
	status, err := strconv.ParseUint(string(rest[:digits]), 10, 16)
	if err != nil || status < minStatus || !bytes.HasPrefix(version, []byte("HTTP/1.")) || bytes.ContainsFunc(rest[digits:], isControl) {
		return fmt.Errorf("%w: %.64q", errStatus, line)
	}
	return nil
}

// isControl reports whether a character may not occur in a reason.
func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == 0x7f
}

// checkFieldLine returns an error unless a line is a field of RFC 9112, whose name is a token that begins the line and is followed by a
// colon. fasthttp checks the value.
func checkFieldLine(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon < 1 {
		return fmt.Errorf("%w: %.64q", errFieldLine, line)
	}
	for _, b := range line[:colon] {
		if !httpguts.IsTokenRune(rune(b)) {
			return fmt.Errorf("%w: %.64q", errFieldLine, line)
		}
	}
	return nil
}
