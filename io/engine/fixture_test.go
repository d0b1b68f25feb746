package engine_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	standin "waxwingpick/internal/standin/engine"
	"waxwingpick/io/engine"
)

const (
	completions = "/v1/completions"
	chat        = "/v1/chat/completions"
	tokenTime   = time.Millisecond
)

// fixture is a stand-in engine with a manual clock, and a client for it.
type fixture struct {
	engine *standin.Engine
	client waxwingpick.Engine
	clock  *timer.Manual
}

// implementation constructs one implementation of the engine port.
type implementation struct {
	name string
	make func(t *testing.T, e *standin.Engine) waxwingpick.Engine
}

var (
	inProcess = implementation{
		name: "stand-in",
		make: func(_ *testing.T, e *standin.Engine) waxwingpick.Engine {
			return e.Client()
		},
	}
	adapter = implementation{
		name: "adapter",
		make: func(t *testing.T, e *standin.Engine) waxwingpick.Engine {
			return connect(t, e)
		},
	}
)

// testImplementations runs a test on each implementation of the engine port.
func testImplementations(t *testing.T, run func(t *testing.T, impl implementation)) {
	for _, impl := range []implementation{inProcess, adapter} {
		t.Run(impl.name, func(t *testing.T) {
			run(t, impl)
		})
	}
}

func newFixture(t *testing.T, impl implementation, opts ...standin.Option) fixture {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	opts = append([]standin.Option{standin.Timers(clock), standin.Speed(0, tokenTime)}, opts...)
	e, err := standin.New(opts...)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return fixture{
		engine: e,
		client: impl.make(t, e),
		clock:  clock,
	}
}

func connect(t *testing.T, e *standin.Engine) *engine.Client {
	t.Helper()
	c, err := engine.New(e.Addr())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func request(id, prompt string, maxTokens int) waxwingpick.GenerateRequest {
	body, _ := json.Marshal(map[string]any{
		"prompt":     prompt,
		"max_tokens": maxTokens,
		"stream":     true,
		"priority":   -1,
	})
	return waxwingpick.GenerateRequest{
		StreamID: id,
		Path:     completions,
		Body:     body,
		Urgency:  3,
	}
}

// read reads n events, or all events if n is negative, and returns their text.
func read(s waxwingpick.EventStream, n int) (string, error) {
	var text strings.Builder
	for ; n != 0; n-- {
		event, err := s.Next()
		if err != nil {
			return text.String(), err
		}
		if event.Last {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return "", err
		}
		text.WriteString(chunk.Choices[0].Text + chunk.Choices[0].Delta.Content)
	}
	return text.String(), nil
}

func wantText(prompt string, from, to int) string {
	return strings.Join(standin.ResponseTokens(prompt, to)[from:], "")
}

func (f fixture) start(t *testing.T, req waxwingpick.GenerateRequest) waxwingpick.EventStream {
	t.Helper()
	s, err := f.client.Generate(t.Context(), req)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close() })
	return s
}

func (f fixture) runCounts() map[string]int {
	return f.engine.Record().Runs
}

func (f fixture) truncate(after int, early bool) {
	f.engine.SetFaults(standin.Faults{
		CutAfter:   after,
		CutStreams: 1,
		EndEarly:   early,
	})
}

func (f fixture) submitOrder(number int64) {
	// The order only has to be running; other tests check its outcome.
	_ = f.client.Submit(context.Background(), waxwingpick.EngineOrder{
		Number: number,
		Config: waxwingpick.EngineConfig{Model: "m9"},
	})
}
