package engine_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/loopback"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/engine"
)

// TestOnlyAStatementOfAnEngineRefuses has an engine, or a server in front of it, respond with each status, with and without the statement
// that the request has not run. Errors in the request itself are found before it runs.
func TestOnlyAStatementOfAnEngineRefuses(t *testing.T) {
	t.Parallel()
	const (
		stated = `{"error":{"message":"full","type":"unavailable","notRun":true}}`
		denied = `{"error":{"message":"failed","type":"unavailable","notRun":false}}`
	)
	lost, refused := waxwingpick.ErrEngineLost, waxwingpick.ErrEngineRefused
	bodies := []string{stated, denied, `{"error":{"message":"failed"}}`, `{"error":{"notRun":"true"}}`, `{"notRun":true}`, "<html></html>", ""}
	for _, status := range []int{400, 401, 403, 404, 405, 408, 409, 413, 415, 421, 422, 425, 429, 500, 502, 503, 504, 302} {
		for _, body := range bodies {
			want := lost
			switch status {
			case 400, 401, 403, 404, 405, 413, 415, 422:
				want = refused
			case 408, 421, 429, 503:
				if body == stated {
					want = refused
				}
			}
			what := fmt.Sprintf("%d %q", status, body)
			raw := rawhttp.Sound(fmt.Sprint(status, " Status"), "Content-Type: application/json\r\nRetry-After: 9\r\n", body)
			peer, err := loopback.NewResponder(func(*http.Request) string { return raw })
			require.NoError(t, err)
			client, err := engine.New(peer.Addr())
			require.NoError(t, err)
			_, err = client.Generate(t.Context(), waxwingpick.GenerateRequest{
				StreamID: "id",
				Path:     "/v1/completions",
				Body:     []byte("{}"),
			})
			require.ErrorIs(t, err, want, what)
			_, err = client.Prefill(t.Context(), waxwingpick.GenerateRequest{
				StreamID: "id",
				Path:     "/v1/completions",
				Body:     []byte("{}"),
			})
			require.ErrorIs(t, err, want, what)
			err = client.Submit(t.Context(), waxwingpick.EngineOrder{
				Number: 1,
			})
			require.ErrorIs(t, err, want, what)
			client.Close()
			peer.Close()
		}
	}
}
