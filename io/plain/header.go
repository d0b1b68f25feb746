package plain

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

var errMalformed = eris.New("malformed request")

// check rejects a request whose parts would change the framing or the target of the HTTP message.
func check(req waxwingpick.CallRequest) error {
	if !httpguts.ValidHeaderFieldName(req.Method) {
		return malformed("method")
	}
	if !strings.HasPrefix(req.Path, "/") || strings.ContainsFunc(req.Path, isControlOrSpace) {
		return malformed("path")
	}
	for _, h := range req.Headers {
		if !httpguts.ValidHeaderFieldName(h.Name) || !httpguts.ValidHeaderFieldValue(h.Value) {
			return malformed("header field")
		}
	}
	return nil
}

func malformed(part string) error {
	return fmt.Errorf("%w: %w: %s", waxwingpick.ErrEngineRefused, errMalformed, part)
}

func isControlOrSpace(r rune) bool {
	return r <= ' ' || r == 0x7f || r == '#'
}

func fieldsOf(headers []waxwingpick.Header) []http1.Field {
	fields := make([]http1.Field, len(headers))
	for i, h := range headers {
		fields[i] = http1.Field{
			Name:  h.Name,
			Value: h.Value,
		}
	}
	return fields
}

func headersOf(fields []http1.Field) []waxwingpick.Header {
	headers := make([]waxwingpick.Header, len(fields))
	for i, f := range fields {
		headers[i] = waxwingpick.Header{
			Name:  f.Name,
			Value: f.Value,
		}
	}
	return headers
}
