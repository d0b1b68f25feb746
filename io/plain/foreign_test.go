package plain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/loopback"
	"waxwingpick/io/plain"
)

// TestEarlierResponseIsNotTheAnswerToALaterCall has a service write its earlier response once more, when it has received the
// next call of a kept connection. Responses of plain services do not name their calls.
func TestEarlierResponseIsNotTheAnswerToALaterCall(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", loopback.AnyPort())
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go respondTwice(c)
		}
	}()
	c, err := plain.New(ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	for i := range 5 {
		path := fmt.Sprint("/bookings/", i)
		resp, err := c.Call(t.Context(), booking(http.MethodPost, path, "{}"))
		require.NoError(t, err)
		require.Equal(t, path, string(resp.Body))
	}
}

// TestResponseThatOnlyItsConnectionEndsIsNotComplete has a service close its connection in order after all of a response or a part
// of it, as the kernel does for a crashed process. Only a response that states its end may be complete.
func TestResponseThatOnlyItsConnectionEndsIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		raw      string
		complete bool
	}{
		"connection":        {raw: "HTTP/1.1 200 OK\r\n\r\nhalf of"},
		"connection, empty": {raw: "HTTP/1.1 200 OK\r\n\r\n"},
		"HTTP/1.0":          {raw: "HTTP/1.0 200 OK\r\n\r\nhalf of"},
		"length":            {raw: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", complete: true},
		"length, cut":       {raw: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhol"},
		"chunks":            {raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", complete: true},
		"chunks, cut":       {raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"},
		"no content":        {raw: "HTTP/1.1 204 No Content\r\n\r\n", complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			err := callRaw(t, tc.raw)
			if tc.complete {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
		})
	}
}

// TestResponseCutInItsHeadIsNoAnswer has a service close its connection in order after every byte of a response's head.
func TestResponseCutInItsHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 204 No Content\r\nX-Booking: b1\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for cut := range len(head) {
			t.Run(fmt.Sprintf("%q", head[:cut]), func(t *testing.T) {
				t.Parallel()
				require.ErrorIs(t, callRaw(t, head[:cut]), waxwingpick.ErrEngineLost)
			})
		}
	}
}

// callRaw calls a service that writes raw bytes and closes its connection in order.
func callRaw(t *testing.T, raw string) error {
	t.Helper()
	peer, err := loopback.NewResponder(func(*http.Request) string { return raw })
	require.NoError(t, err)
	t.Cleanup(peer.Close)
	c, err := plain.New(peer.Addr())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	_, err = c.Call(t.Context(), booking(http.MethodGet, "/bookings/1", ""))
	return err
}

// respondTwice responds to each request of a connection with its path, and before that with all earlier responses.
func respondTwice(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	earlier := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		if _, err := io.WriteString(c, earlier+own); err != nil {
			return
		}
		earlier += own
	}
}
