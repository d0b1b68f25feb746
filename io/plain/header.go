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

// hopByHop lists the fields of RFC 9110 that concern one connection only, and
// those that the client sets anew for its own connection.
var hopByHop = waxwingpick.NewSet(
	"connection",
	"keep-alive",
	"proxy-authenticate",
	"proxy-authorization",
	"proxy-connection",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"expect",
	"host",
	"content-length",
)

// endToEnd returns the fields that may be passed on: without the hop-by-hop
// fields and without those that a Connection field names.
func endToEnd(fields []http1.Field) []http1.Field {
	named := waxwingpick.NewSet[string]()
	for _, f := range fields {
		if !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(f.Value, ",") {
			named.Add(strings.ToLower(strings.TrimSpace(name)))
		}
	}
	kept := make([]http1.Field, 0, len(fields))
	for _, f := range fields {
		name := strings.ToLower(f.Name)
		if !hopByHop.Has(name) && !named.Has(name) {
			kept = append(kept, f)
		}
	}
	return kept
}

// check refuses what would change the message's framing or target.
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
