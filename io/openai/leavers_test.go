package openai_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/io/openai"
)

// slow answers nothing until its context ends or it is released.
type slow struct {
	backend
	started chan context.Context
	release chan struct{}
}

func (s *slow) hold(ctx context.Context) error {
	s.started <- ctx
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.release:
		return nil
	}
}

func (s *slow) Generate(ctx context.Context, call openai.ModelCall) (openai.Answer, error) {
	if err := s.hold(ctx); err != nil {
		return nil, err
	}
	return s.backend.Generate(ctx, call)
}

func (s *slow) Call(ctx context.Context, call openai.ServiceCall) (waxwingpick.CallResponse, error) {
	if err := s.hold(ctx); err != nil {
		return waxwingpick.CallResponse{}, err
	}
	return s.backend.Call(ctx, call)
}

// TestCallerThatLeavesEndsItsModelRequestOnly sends requests; a caller that stays and an order go on.
func TestCallerThatLeavesEndsItsModelRequestOnly(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		body   string
		leaves bool
		ends   bool
	}{
		{"whole answer", openai.ChatPath, `{"model":"m","messages":[{"role":"user","content":"x"}]}`, true, true},
		{"stream before its first chunk", openai.ChatPath, `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`, true, true},
		{"caller that stays", openai.ChatPath, `{"model":"m","messages":[{"role":"user","content":"x"}]}`, false, false},
		{"order", "/services/studio-app/bookings", "salsa", true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			timers := timer.NewManual(time.Unix(0, 0))
			b := &slow{
				backend: backend{
					end: io.EOF,
				},
				started: make(chan context.Context, 1),
				release: make(chan struct{}),
			}
			addr := strings.TrimPrefix(startWith(t, b, timers), "http://")
			c, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", tc.path, len(tc.body), tc.body)
			require.NoError(t, err)
			ctx := <-b.started
			defer close(b.release)
			if tc.leaves {
				require.NoError(t, c.Close())
			}
			for range 100 {
				timers.Advance(time.Second)
			}
			// The end of a connection may take a while to arrive.
			require.Eventually(t, func() bool {
				timers.Advance(time.Second)
				return tc.ends == (ctx.Err() != nil)
			}, time.Minute, time.Millisecond)
		})
	}
}
