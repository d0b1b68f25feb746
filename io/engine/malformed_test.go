package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/engine"
)

// callsOfEngines returns the calls that read responses of engines, by what the engine responds.
func callsOfEngines(t *testing.T) rawhttp.Calls {
	const (
		typeJSON = "Content-Type: application/json\r\n"
		events   = "id: 0\ndata: {\"n\":1}\n\nid: 1\ndata: [DONE]\n\n"
	)
	ctx := t.Context()
	of := func(call func(c *engine.Client) error) func(addr string) error {
		return func(addr string) error {
			c, err := engine.New(addr)
			require.NoError(t, err)
			defer c.Close()
			return call(c)
		}
	}
	calls := make(rawhttp.Calls)
	for name, row := range map[string]struct {
		fields, body string
		call         func(c *engine.Client) error
	}{
		"generate": {
			fields: "Content-Type: text/event-stream\r\n",
			body:   events,
			call: func(c *engine.Client) error {
				_, err := generateOnce(t, c, "id")
				return err
			},
		},
		"resume": {
			fields: "Content-Type: text/event-stream\r\n",
			body:   events,
			call: func(c *engine.Client) error {
				stream, err := c.Resume(ctx, "id", 0)
				if err != nil {
					return err
				}
				_, err = stream.Next()
				require.NoError(t, stream.Close())
				return err
			},
		},
		"state": {
			fields: typeJSON,
			body:   "{}",
			call: func(c *engine.Client) error {
				_, err := c.State(ctx)
				return err
			},
		},
		"order": {
			fields: typeJSON,
			body:   "{}",
			call: func(c *engine.Client) error {
				return c.Submit(ctx, waxwingpick.EngineOrder{})
			},
		},
		"cancel": {
			call: func(c *engine.Client) error {
				return c.Cancel(ctx, "id")
			},
		},
		"prefill": {
			fields: typeJSON,
			body:   "{}",
			call: func(c *engine.Client) error {
				_, err := c.Prefill(ctx, waxwingpick.GenerateRequest{
					StreamID: "id",
					Path:     completions,
					Body:     []byte("{}"),
				})
				return err
			},
		},
		"import": {
			fields: typeJSON,
			body:   `{"handle":"h"}`,
			call: func(c *engine.Client) error {
				_, err := c.ImportKV(ctx, waxwingpick.KVExport{})
				return err
			},
		},
	} {
		calls[name] = rawhttp.Call{
			Status: "200 OK",
			Fields: row.fields,
			Body:   row.body,
			Send:   of(row.call),
			Lost:   waxwingpick.ErrEngineLost,
		}
		calls[name+", refused"] = rawhttp.Call{
			Status: "503 Service Unavailable",
			Fields: "Retry-After: 9\r\n" + typeJSON,
			Body:   `{"error":{"notRun":true}}`,
			Send:   of(row.call),
			Lost:   waxwingpick.ErrEngineLost,
			Sound:  waxwingpick.ErrEngineRefused,
		}
	}
	return calls
}

// TestMalformedHeaderIsNoResponseOfAnEngine has an engine send headers with malformed field names.
func TestMalformedHeaderIsNoResponseOfAnEngine(t *testing.T) {
	t.Parallel()
	callsOfEngines(t).CheckMalformed(t)
}

// TestStatusBelow100IsNoResponseOfAnEngine has an engine send statuses that fasthttp takes for a success.
func TestStatusBelow100IsNoResponseOfAnEngine(t *testing.T) {
	t.Parallel()
	callsOfEngines(t).CheckStatus(t)
}
