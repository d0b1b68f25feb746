package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// minStatus is the lowest status of a response, in statusDigits digits.
const (
	minStatus    = 100
	statusDigits = 3
)

var (
	errStatus    = eris.New("invalid status line")
	errFieldLine = eris.New("malformed field line")
	errFraming   = eris.New("faulty framing")
)

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
		if len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(string(line[:len(name)]), name) {
			return true
		}
	}
	return false
}
