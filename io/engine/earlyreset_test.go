package engine_test

import (
	"encoding/json"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/engine"
)

// TestEarlyResponseThatIsResetIsNotComplete has an engine respond to an upload early, without a length, and reset the connection. What
// it has sent of a result is valid JSON, and of a stream its first event.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: "
	request := func(t *testing.T, body []byte) waxwingpick.GenerateRequest {
		encoded, err := json.Marshal(map[string]string{"prompt": string(body)})
		require.NoError(t, err)
		return waxwingpick.GenerateRequest{
			StreamID: "id",
			Path:     completions,
			Body:     encoded,
		}
	}
	for name, row := range map[string]struct {
		response string
		call     func(t *testing.T, c *engine.Client, body []byte) error
	}{
		"generate": {
			response: head + "text/event-stream\r\n\r\nid: 0\ndata: {\"n\":1}\n\n",
			call: func(t *testing.T, c *engine.Client, body []byte) error {
				stream, err := c.Generate(t.Context(), request(t, body))
				if err != nil {
					return err
				}
				defer stream.Close()
				for err == nil {
					_, err = stream.Next()
				}
				require.NotErrorIs(t, err, io.EOF)
				return err
			},
		},
		"prefill": {
			response: head + "application/json\r\n\r\n{}",
			call: func(t *testing.T, c *engine.Client, body []byte) error {
				_, err := c.Prefill(t.Context(), request(t, body))
				return err
			},
		},
		"import": {
			response: head + "application/json\r\n\r\n{\"handle\":\"h\"}",
			call: func(t *testing.T, c *engine.Client, body []byte) error {
				_, err := c.ImportKV(t.Context(), waxwingpick.KVExport{
					Data: body,
				})
				return err
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			rawhttp.Upload{
				Response: row.response,
				Sizes:    []int{10, 100_000, 6 << 20},
				Send: func(addr string, body []byte) error {
					c, err := engine.New(addr)
					require.NoError(t, err)
					defer c.Close()
					return row.call(t, c, body)
				},
				Lost: waxwingpick.ErrEngineLost,
			}.CheckEarlyReset(t)
		})
	}
}
