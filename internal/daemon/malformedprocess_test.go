package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/rawhttp"
	"waxwingpick/internal/standin/target"
)

// TestMalformedNamesReachNoCallerOfAProcess has targets of a gateway process send responses whose field names hold a blank or a control
// byte, in the header, in an interim response and in trailers, on connections that were used before. A caller must get none of them, and
// sound responses between them have to arrive.
func TestMalformedNamesReachNoCallerOfAProcess(t *testing.T) {
	t.Parallel()
	g := startGatewayProcess(t, 256, time.Second, map[string][]target.Faults{"app": {{}, {}}})
	set := func(raw string) {
		for _, one := range g.targets["app"] {
			one.SetFaults(target.Faults{
				Raw: raw,
			})
		}
	}
	const (
		id     = "Waxwingpick-Request-Id: id\r\n"
		stamp  = "Waxwingpick-Server-Stamp: stamp\r\n"
		own    = "X-Own: v\r\n"
		length = "Content-Length: 4\r\n"
		body   = "mine"
		// soundEvery is the number of malformed responses for each sound one.
		soundEvery = 5
	)
	paths := []string{"/order/1", "/read/1", "/long/1"}
	sent := 0
	for _, status := range []string{"200 OK", "500 Internal Server Error", "503 Service Unavailable"} {
		line := "HTTP/1.1 " + status + "\r\n"
		for _, field := range []string{id, stamp, own, length, "Waxwingpick-Not-Executed: 1\r\n"} {
			name, value, _ := strings.Cut(field, ":")
			for _, bad := range rawhttp.MalformedNames(name) {
				if bad == "\n"+name {
					// In trailers, the line feed ends them.
					continue
				}
				malformed := bad + ":" + value
				sound := id + stamp + own + length
				header := sound + malformed
				if strings.Contains(sound, field) {
					header = strings.Replace(sound, field, malformed, 1)
				}
				variants := []struct{ what, raw string }{
					{what: "header", raw: line + header + "\r\n" + body},
					{what: "first line", raw: line + malformed + strings.Replace(sound, field, "", 1) + "\r\n" + body},
					{what: "interim response", raw: "HTTP/1.1 103 Early Hints\r\n" + malformed + "\r\n" + line + sound + "\r\n" + body},
					{what: "trailers", raw: rawhttp.Chunked(status, id+stamp, body, malformed)},
				}
				variant, path := variants[sent%len(variants)], paths[sent/len(variants)%len(paths)]
				if sent%soundEvery == 0 {
					set("")
					got, answer := g.call(t, fmt.Sprint("sound", sent), path, time.Minute)
					require.Equal(t, http.StatusOK, got, answer)
					require.True(t, strings.HasPrefix(answer, "answer of app"), answer)
				}
				set(variant.raw)
				got, answer := g.call(t, "id", path, time.Minute)
				require.Equal(t, http.StatusBadGateway, got, "%s, %q: %q", variant.what, malformed, answer)
				require.NotContains(t, answer, body, "%s, %q", variant.what, malformed)
				sent++
			}
		}
	}
	t.Logf("%d malformed responses", sent)
}
