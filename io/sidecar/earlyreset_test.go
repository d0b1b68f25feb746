package sidecar_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/sidecar"
)

// TestEarlyResponseThatIsResetIsNotComplete has a sidecar respond to an attempt early, without a length, and reset the connection. What
// it has sent is a frame of a stream, or the result of a call with a part of its body.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	for name, row := range map[string]struct {
		response string
		call     func(t *testing.T, c *sidecar.Client, addr string, body []byte) error
	}{
		"generate": {
			response: "HTTP/1.1 200 OK\r\n\r\n{\"attempt\":\"id\"}\n",
			call: func(t *testing.T, c *sidecar.Client, addr string, body []byte) error {
				s, err := c.Generate(t.Context(), addr, attempt("id"), body)
				if err != nil {
					return err
				}
				defer s.Close()
				for err == nil {
					_, err = s.Next()
				}
				return err
			},
		},
		"call": {
			response: "HTTP/1.1 200 OK\r\nWaxwing-Result: {\"attempt\":\"id\",\"status\":200}\r\n\r\npart of a booking",
			call: func(t *testing.T, c *sidecar.Client, addr string, body []byte) error {
				_, err := c.Call(t.Context(), addr, attempt("id"), body)
				return err
			},
		},
		"prefill": {
			response: "HTTP/1.1 200 OK\r\nWaxwing-Result: {\"attempt\":\"id\",\"status\":200}\r\n\r\n{}",
			call: func(t *testing.T, c *sidecar.Client, addr string, body []byte) error {
				_, err := c.Prefill(t.Context(), addr, attempt("id"), body)
				return err
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			rawhttp.Upload{
				Response: row.response,
				Sizes:    []int{10, 100_000, 6 << 20},
				Send: func(addr string, body []byte) error {
					c, err := sidecar.NewClient("fleet", 8<<20)
					require.NoError(t, err)
					defer c.Close()
					return row.call(t, c, addr, body)
				},
				Lost: waxwingpick.ErrEngineLost,
			}.CheckEarlyReset(t)
		})
	}
}
