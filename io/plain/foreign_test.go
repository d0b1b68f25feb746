package plain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

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
