package tcp_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/io/tcp"
)

// fill writes to a connection whose peer reads nothing until the kernel accepts no more, and returns the number of bytes.
func fill(t *testing.T, c net.Conn) int64 {
	sent := int64(0)
	for {
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
		n, err := c.Write(make([]byte, 1<<20))
		sent += int64(n)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return sent
		}
		require.NoError(t, err)
	}
}

// TestUndeliveredDataIsDiscarded guards against data that the kernel delivers although the connection was given up, or although its
// time has passed. An orderly close is what becomes of the connections of a process that is killed.
func TestUndeliveredDataIsDiscarded(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		end       func(c net.Conn)
		delivered bool
	}{
		"closed":            {end: func(c net.Conn) { c.Close() }, delivered: true},
		"aborted":           {end: tcp.Abort},
		"closed, limited":   {end: func(c net.Conn) { c.Close() }},
		"left open, frozen": {end: func(net.Conn) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const limit = 200 * time.Millisecond
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { ln.Close() })
			c, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { c.Close() })
			peer, err := ln.Accept()
			require.NoError(t, err)
			t.Cleanup(func() { peer.Close() })
			if name == "closed, limited" || name == "left open, frozen" {
				tcp.LimitDelivery(c, limit)
			}
			sent := fill(t, c)
			tc.end(c)
			time.Sleep(5 * limit)
			require.NoError(t, peer.SetReadDeadline(time.Now().Add(5*limit)))
			received, err := io.Copy(io.Discard, peer)
			if tc.delivered {
				require.NoError(t, err)
				require.Equal(t, sent, received)
				return
			}
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection still delivers")
			require.Less(t, received, sent)
		})
	}
}
