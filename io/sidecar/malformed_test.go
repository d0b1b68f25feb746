package sidecar_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/sidecar"
)

// callsOfEntries returns the calls by which entries read responses of sidecars. A sidecar that responds with 503 has not run the
// attempt.
func callsOfEntries(t *testing.T) rawhttp.Calls {
	ctx := t.Context()
	frame := func(s *sidecar.Stream, err error) error {
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Next()
		return err
	}
	of := func(call func(c *sidecar.Client, addr string) error) func(addr string) error {
		return func(addr string) error {
			c, err := sidecar.NewClient("fleet", 1<<20)
			require.NoError(t, err)
			defer c.Close()
			return call(c, addr)
		}
	}
	calls := make(rawhttp.Calls)
	for name, call := range map[string]func(c *sidecar.Client, addr string) error{
		"generate": func(c *sidecar.Client, addr string) error {
			return frame(c.Generate(ctx, addr, attempt("id"), nil))
		},
		"resume": func(c *sidecar.Client, addr string) error {
			return frame(c.Resume(ctx, addr, attempt("id")))
		},
		"call": func(c *sidecar.Client, addr string) error {
			_, err := c.Call(ctx, addr, attempt("id"), nil)
			return err
		},
		"prefill": func(c *sidecar.Client, addr string) error {
			_, err := c.Prefill(ctx, addr, attempt("id"), nil)
			return err
		},
		"export": func(c *sidecar.Client, addr string) error {
			_, err := c.Export(ctx, addr, attempt("id"))
			return err
		},
	} {
		calls[name+", refused"] = rawhttp.Call{
			Status: "503 Service Unavailable",
			Fields: "Waxwing-Rejected: 1\r\n",
			Send:   of(call),
			Sound:  waxwingpick.ErrEngineUnreachable,
			Lost:   waxwingpick.ErrEngineLost,
		}
		if name == "generate" || name == "resume" {
			calls[name] = rawhttp.Call{
				Status: "200 OK",
				Body:   `{"attempt":"id","last":true}` + "\n",
				Send:   of(call),
				Lost:   waxwingpick.ErrEngineLost,
			}
		}
	}
	calls["cancel"] = rawhttp.Call{
		Status: "200 OK",
		Send: of(func(c *sidecar.Client, addr string) error {
			return c.Cancel(ctx, addr, attempt("id"))
		}),
		Lost: waxwingpick.ErrEngineLost,
	}
	return calls
}

// TestMalformedHeaderIsNoResponseOfASidecar has a sidecar send headers with malformed field names.
func TestMalformedHeaderIsNoResponseOfASidecar(t *testing.T) {
	t.Parallel()
	callsOfEntries(t).CheckMalformed(t)
}

// TestStatusBelow100IsNoResponseOfASidecar has a sidecar send statuses that fasthttp takes for a success.
func TestStatusBelow100IsNoResponseOfASidecar(t *testing.T) {
	t.Parallel()
	callsOfEntries(t).CheckStatus(t)
}
