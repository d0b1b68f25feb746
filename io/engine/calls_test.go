package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	standin "waxwingpick/internal/standin/engine"
)

// calls are the methods of the engine port that return one response. effect counts how often a call took effect.
var calls = []struct {
	name   string
	path   string
	call   func(ctx context.Context, e waxwingpick.Engine) error
	effect func(r standin.Record) int
	// computes reports whether the response needs the engine's clock to advance.
	computes bool
}{
	{
		name: "state",
		path: "/admin/state",
		call: func(ctx context.Context, e waxwingpick.Engine) error {
			_, err := e.State(ctx)
			return err
		},
	},
	{
		name: "load",
		path: "/admin/load",
		call: func(ctx context.Context, e waxwingpick.Engine) error {
			_, err := e.Load(ctx)
			return err
		},
	},
	{
		name: "submit",
		path: "/admin/order",
		call: func(ctx context.Context, e waxwingpick.Engine) error {
			return e.Submit(ctx, waxwingpick.EngineOrder{Number: 1, Config: bootConfig})
		},
		effect: func(r standin.Record) int { return len(r.Orders) },
	},
	{
		name: "cancel",
		path: "/v1/streams/",
		call: func(ctx context.Context, e waxwingpick.Engine) error {
			return e.Cancel(ctx, "running")
		},
		effect: func(r standin.Record) int { return r.Cancelled },
	},
	{
		name: "export",
		path: "/kv/export",
		call: func(ctx context.Context, e waxwingpick.Engine) error {
			_, err := e.ExportKV(ctx, "running")
			return err
		},
	},
	{
		name: "offer",
		path: "/kv/export",
		call: func(ctx context.Context, e waxwingpick.Engine) error {
			_, err := e.OfferKV(ctx, "running")
			return err
		},
	},
	{
		name: "prefill",
		path: "/kv/prefill",
		call: func(ctx context.Context, e waxwingpick.Engine) error {
			_, err := e.Prefill(ctx, request("leg", "", 1))
			return err
		},
		effect:   func(r standin.Record) int { return r.Runs["prefill-leg"] },
		computes: true,
	},
}

func TestCallsUnderFaults(t *testing.T) {
	faults := []struct {
		name  string
		fault func(e *standin.Engine, path string)
		err   error
		// runs is the expected number of times that the call takes effect.
		runs int
	}{
		{name: "none", fault: func(*standin.Engine, string) {}, runs: 1},
		{name: "down", fault: func(e *standin.Engine, _ string) { e.Down(0) }, err: waxwingpick.ErrEngineUnreachable},
		{name: "restarted", fault: func(e *standin.Engine, _ string) { e.Down(0); e.Up() }, runs: 1},
		{name: "request lost", fault: func(e *standin.Engine, path string) { e.LoseRequests(path, 1) }, err: waxwingpick.ErrEngineLost},
		{name: "response lost", fault: func(e *standin.Engine, path string) { e.LoseResponses(path, 1) }, err: waxwingpick.ErrEngineLost, runs: 1},
		{name: "slow", fault: func(e *standin.Engine, _ string) { e.SetFaults(standin.Faults{SlowResponses: 3_600_000}) }, err: waxwingpick.ErrEngineLost},
	}
	testImplementations(t, func(t *testing.T, impl implementation) {
		for _, c := range calls {
			for _, test := range faults {
				t.Run(c.name+"/"+test.name, func(t *testing.T) {
					f := newFixture(t, impl)
					f.start(t, request("running", "prompt", 5))
					test.fault(f.engine, c.path)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					done := make(chan error, 1)
					go func() { done <- c.call(ctx, f.client) }()
					var err error
					switch {
					case test.name == "slow":
						for f.engine.Slowed() == 0 {
							time.Sleep(time.Millisecond)
						}
						cancel()
						err = <-done
					case c.computes:
						err = advanceUntil(f.clock, done)
					default:
						err = <-done
					}
					require.ErrorIs(t, err, test.err)
					if c.effect != nil {
						require.Equal(t, test.runs, c.effect(f.engine.Record()))
					}
				})
			}
		}
	})
}

func TestResumeFromAnOffset(t *testing.T) {
	tests := []struct {
		name   string
		id     string
		offset int64
		cancel bool
		err    error
		text   string
	}{
		{name: "from the start", id: "a", text: wantText("prompt", 0, 4)},
		{name: "from the middle", id: "a", offset: 3, text: wantText("prompt", 3, 4)},
		{name: "at the end", id: "a", offset: 4},
		{name: "beyond the end", id: "a", offset: 5, err: waxwingpick.ErrStreamNotFound},
		{name: "before the start", id: "a", offset: -1, err: waxwingpick.ErrStreamNotFound},
		{name: "unknown", id: "b", err: waxwingpick.ErrStreamNotFound},
		{name: "cancelled", id: "a", cancel: true, err: waxwingpick.ErrStreamNotFound},
	}
	testImplementations(t, func(t *testing.T, impl implementation) {
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				f := newFixture(t, impl)
				f.start(t, request("a", "prompt", 4))
				if test.cancel {
					require.NoError(t, f.client.Cancel(t.Context(), "a"))
				}
				f.clock.Advance(time.Second)
				s, err := f.client.Resume(t.Context(), test.id, test.offset)
				require.ErrorIs(t, err, test.err)
				if err != nil {
					return
				}
				defer s.Close()
				text, err := read(s, -1)
				require.NoError(t, err)
				require.Equal(t, test.text, text)
			})
		}
	})
}
