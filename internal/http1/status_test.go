package http1_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/http1"
)

// TestStatusBelow100IsNoResponse sends status lines that fasthttp takes for a success, as it does not tell a status of zero from
// one that was not set.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	const rest = "Content-Length: 4\r\n\r\nmine"
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	large := "X: " + strings.Repeat("x", 5<<10) + "\r\n"
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":           true,
		"HTTP/1.1 200\r\n":              true,
		"HTTP/1.0 200 OK\r\n":           true,
		"HTTP/1.1 503 Busy\r\n":         true,
		"HTTP/1.1 999 X\r\n":            true,
		"\r\nHTTP/1.1 200 OK\r\n":       true,
		"HTTP/1.1   200 OK\r\n":         true,
		"HTTP/1.1 200 OK\r\n" + large:   true,
		interim + "HTTP/1.1 200 OK\r\n": true,
		"HTTP/1.1 000 X\r\n":            false,
		"HTTP/1.1 000\r\n":              false,
		"HTTP/1.0 000 X\r\n":            false,
		"HTTP/1.1 000 X\n":              false,
		"\r\n\r\nHTTP/1.1 000 X\r\n":    false,
		"HTTP/1.1   000 X\r\n":          false,
		"HTTP/1.1 000 X\r\n" + large:    false,
		interim + "HTTP/1.1 000 X\r\n":  false,
		"HTTP/1.1 099 X\r\n":            false,
		"HTTP/1.1 20 OK\r\n":            false,
		strings.Repeat(interim, 1000):   false,
	} {
		t.Run(strconv.Quote(head[:min(len(head), 60)]), func(t *testing.T) {
			for _, stream := range []bool{false, true} {
				p := listen(t, func(w io.Writer, _ int64, _ *http.Request) bool {
					_, err := io.WriteString(w, head+rest)
					return err == nil
				})
				c := http1.New(p.addr, 100)
				defer c.Close()
				a, err := c.Send(t.Context(), http1.Request{
					Method:  http.MethodPost,
					URI:     "/x",
					Timeout: requestTimeout,
					Stream:  stream,
				})
				if !valid {
					require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
					continue
				}
				require.NoError(t, err)
				body, err := a.Body(100)
				require.NoError(t, err)
				require.Equal(t, "mine", string(body))
				a.Close()
			}
		})
	}
}
