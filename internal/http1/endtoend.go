package http1

import (
	"strings"

	"waxwingpick"
)

// hopByHop lists the fields of RFC 9110 that apply to a single connection, and those that a client sets for its own
// connection.
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

// EndToEnd returns the fields that may be forwarded: all but the hop-by-hop fields and those that a Connection field
// names.
func EndToEnd(fields []Field) []Field {
	named := waxwingpick.NewSet[string]()
	for _, f := range fields {
		if !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(f.Value, ",") {
			named.Add(strings.ToLower(strings.TrimSpace(name)))
		}
	}
	forwarded := make([]Field, 0, len(fields))
	for _, f := range fields {
		if name := strings.ToLower(f.Name); !hopByHop.Has(name) && !named.Has(name) {
			forwarded = append(forwarded, f)
		}
	}
	return forwarded
}
