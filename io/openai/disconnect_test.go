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

// blockingBackend does not respond until the context of the request ends or release is closed.
type blockingBackend struct {
	backend
	started chan context.Context
	release chan struct{}
}

func (s *blockingBackend) wait(ctx context.Context) error {
	s.started <- ctx
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.release:
		return nil
	}
}

func (s *blockingBackend) Generate(ctx context.Context, call openai.ModelCall) (openai.ChunkStream, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	return s.backend.Generate(ctx, call)
}

func (s *blockingBackend) Call(ctx context.Context, call openai.ServiceCall) (waxwingpick.CallResponse, error) {
	if err := s.wait(ctx); err != nil {
		return waxwingpick.CallResponse{}, err
	}
	return s.backend.Call(ctx, call)
}

// TestDisconnectCancelsOnlyModelRequests closes the connection during a request. A model request must be cancelled. An
// order, and a model request whose caller stays connected, must not be.
func TestDisconnectCancelsOnlyModelRequests(t *testing.T) {
	cases := []struct {
		name        string
		path        string
		body        string
		disconnects bool
		cancelled   bool
	}{
		{"complete response", openai.ChatPath, `{"model":"m","messages":[{"role":"user","content":"x"}]}`, true, true},
		{"stream before its first chunk", openai.ChatPath, `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`, true, true},
		{"caller stays connected", openai.ChatPath, `{"model":"m","messages":[{"role":"user","content":"x"}]}`, false, false},
		{"order", "/services/studio-app/bookings", "salsa", true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			timers := timer.NewManual(time.Unix(0, 0))
			b := &blockingBackend{
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
			if tc.disconnects {
				require.NoError(t, c.Close())
			}
			for range 100 {
				timers.Advance(time.Second)
			}
			// The server may detect the closed connection with some delay.
			require.Eventually(t, func() bool {
				timers.Advance(time.Second)
				return tc.cancelled == (ctx.Err() != nil)
			}, time.Minute, time.Millisecond)
		})
	}
}
