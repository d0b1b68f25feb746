package jsonrpc_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/io/jsonrpc"
)

type echo struct {
	Text string `json:"text"`
}

func start(t *testing.T) (*jsonrpc.Server, string, *jsonrpc.Client) {
	t.Helper()
	s := jsonrpc.NewServer("tanzplan")
	jsonrpc.HandleTyped(s, "echo", func(_ context.Context, p echo) (echo, error) {
		return p, nil
	})
	jsonrpc.HandleTyped(s, "refuse", func(context.Context, echo) (echo, error) {
		return echo{}, waxwingpick.NotRun(waxwingpick.ReasonLeaving, time.Second, "target leaves")
	})
	jsonrpc.HandleTypedOpen(s, "status", func(_ context.Context, p echo) (echo, error) {
		return p, nil
	})
	block := make(chan struct{})
	jsonrpc.HandleTyped(s, "block", func(ctx context.Context, p echo) (echo, error) {
		select {
		case <-block:
		case <-ctx.Done():
		}
		return p, nil
	})
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	c, err := jsonrpc.NewClient(jsonrpc.Fleet("tanzplan"))
	require.NoError(t, err)
	t.Cleanup(func() {
		close(block)
		c.Close()
		s.Close()
	})
	return s, addr, c
}

func TestCallReturnsTypedRefusal(t *testing.T) {
	_, addr, c := start(t)
	var got echo
	require.NoError(t, c.Call(t.Context(), addr, "echo", echo{Text: "a"}, &got))
	require.Equal(t, "a", got.Text)
	err := c.Call(t.Context(), addr, "refuse", echo{}, &got)
	var refusal *waxwingpick.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, waxwingpick.ReasonLeaving, refusal.Reason)
	require.Equal(t, time.Second, refusal.RetryAfter)
	err = c.Call(t.Context(), addr, "absent", echo{}, &got)
	require.ErrorContains(t, err, "no method tanzplan/absent")
	require.ErrorIs(t, err, jsonrpc.ErrNotHandled)
}

func TestOtherFleetsAreNotServed(t *testing.T) {
	_, addr, _ := start(t)
	for _, fleet := range []string{"cacaotera", ""} {
		c, err := jsonrpc.NewClient(jsonrpc.Fleet(fleet))
		require.NoError(t, err)
		defer c.Close()
		var got echo
		require.ErrorIs(t, c.Call(t.Context(), addr, "echo", echo{Text: "a"}, &got), jsonrpc.ErrNotHandled)
		if fleet == "" {
			require.NoError(t, c.Call(t.Context(), addr, "status", echo{Text: "a"}, &got))
		}
	}
}

func TestSlowCallDoesNotDelayOthers(t *testing.T) {
	_, addr, c := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- c.Call(ctx, addr, "block", echo{}, nil)
	}()
	var got echo
	require.NoError(t, c.Call(t.Context(), addr, "echo", echo{Text: "b"}, &got))
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

func TestServerRejectsOversizedFrame(t *testing.T) {
	_, addr, _ := start(t)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	head := binary.AppendUvarint(nil, jsonrpc.MaxFrameSize+1)
	_, err = c.Write(append(head, make([]byte, 16)...))
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestClientReconnectsAfterServerRestart(t *testing.T) {
	s, addr, c := start(t)
	var got echo
	require.NoError(t, c.Call(t.Context(), addr, "echo", echo{Text: "a"}, &got))
	s.Close()
	require.Error(t, c.Call(t.Context(), addr, "echo", echo{Text: "a"}, &got))
	restarted := jsonrpc.NewServer("tanzplan")
	jsonrpc.HandleTyped(restarted, "echo", func(_ context.Context, p echo) (echo, error) {
		return p, nil
	})
	_, err := restarted.Start(addr)
	require.NoError(t, err)
	defer restarted.Close()
	require.NoError(t, c.Call(t.Context(), addr, "echo", echo{Text: "c"}, &got))
	require.Equal(t, "c", got.Text)
}

// TestServerClosesWhileCallsArrive closes a server while it still reads buffered calls. If the server counted running
// calls in a plain sync.WaitGroup, Add would race with Wait and the race detector would report it.
func TestServerClosesWhileCallsArrive(t *testing.T) {
	call := []byte(`{"jsonrpc":"2.0","method":"tanzplan/echo","params":{"text":"a"}}`)
	frame := append(binary.AppendUvarint(nil, uint64(len(call))), call...)
	for range 200 {
		s, addr, _ := start(t)
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = c.Write(bytes.Repeat(frame, 512))
		require.NoError(t, err)
		s.Close()
		require.NoError(t, c.Close())
	}
}
