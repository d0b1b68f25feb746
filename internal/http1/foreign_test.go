package http1_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/http1"
	"waxwingpick/internal/loopback"
)

// startResponder starts a server that sends for each request what respond returns, which may be any number of
// responses.
func startResponder(t *testing.T, respond func(n int, id string) string) (addr string, conns *atomic.Int32) {
	ln, err := net.Listen("tcp", loopback.AnyPort())
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	conns = &atomic.Int32{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serveResponder(c, respond)
		}
	}()
	return ln.Addr().String(), conns
}

func serveResponder(c net.Conn, respond func(n int, id string) string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, respond(n, req.Header.Get("Id"))); err != nil {
			return
		}
	}
}

func responseTo(id, body, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, fields, len(body), body)
}

func sendWithEcho(t *testing.T, c *http1.Client, id string, stream bool) (string, error) {
	echo := http1.Field{
		Name:  "Id",
		Value: id,
	}
	a, err := c.Send(t.Context(), http1.Request{
		Method:  http.MethodPost,
		URI:     "/",
		Header:  []http1.Field{echo},
		Body:    []byte("body"),
		Timeout: 10 * time.Second,
		Stream:  stream,
		Echo:    echo,
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.Body(1 << 10)
	return string(body), err
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	for _, stream := range []bool{false, true} {
		addr, _ := startResponder(t, func(_ int, id string) string {
			return responseTo("earlier", "foreign", "") + responseTo(id, "own", "")
		})
		c := http1.New(addr, 1<<20)
		defer c.Close()
		for i := range 3 {
			body, err := sendWithEcho(t, c, fmt.Sprint(i), stream)
			require.NoError(t, err)
			require.Equal(t, "own", body)
		}
	}
}

func TestRequestFailsIfPeerSendsOnlyForeignResponses(t *testing.T) {
	addr, _ := startResponder(t, func(int, string) string {
		return responseTo("a", "x", "") + responseTo("b", "x", "") + responseTo("c", "x", "") + responseTo("d", "x", "")
	})
	c := http1.New(addr, 1<<20)
	defer c.Close()
	_, err := sendWithEcho(t, c, "mine", false)
	require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
}

func TestExtraAnswerDoesNotReachTheNextRequest(t *testing.T) {
	addr, _ := startResponder(t, func(_ int, id string) string {
		return responseTo(id, "own "+id, "") + responseTo(id, "again "+id, "")
	})
	c := http1.New(addr, 1<<20)
	defer c.Close()
	for i := range 5 {
		body, err := sendWithEcho(t, c, fmt.Sprint(i), false)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("own ", i), body)
	}
}

func TestConnectionsAreReusedWithinThePeersLimit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fields string
		conns  int32
	}{
		{
			name:   "told",
			fields: "Keep-Alive: timeout=10\r\n",
			conns:  1,
		},
		{
			name:   "announced too short to be safe",
			fields: "Keep-Alive: timeout=0\r\n",
			conns:  3,
		},
		{
			name:   "not announced",
			fields: "",
			conns:  3,
		},
		{
			name:   "closing",
			fields: "Keep-Alive: timeout=10\r\nConnection: close\r\n",
			conns:  3,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, conns := startResponder(t, func(_ int, id string) string {
				return responseTo(id, "x", tc.fields)
			})
			c := http1.New(addr, 1<<20, http1.IdleTimeout(0))
			defer c.Close()
			for i := range 3 {
				_, err := sendWithEcho(t, c, fmt.Sprint(i), false)
				require.NoError(t, err)
			}
			require.Equal(t, tc.conns, conns.Load())
		})
	}
}

func TestOpenConnectionsAreBounded(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	addr, _ := startResponder(t, func(_ int, id string) string {
		close(received)
		<-release
		return responseTo(id, "x", "")
	})
	c := http1.New(addr, 1<<20, http1.MaxConnections(1))
	defer c.Close()
	done := make(chan error, 1)
	go func() {
		_, err := sendWithEcho(t, c, "first", false)
		done <- err
	}()
	<-received
	_, err := sendWithEcho(t, c, "second", false)
	require.ErrorIs(t, err, waxwingpick.ErrEngineUnreachable)
	close(release)
	require.NoError(t, <-done)
}

// TestEarlierRefusalIsNotTakenForAnAnswer has the peer write an earlier refusal once more, when it has received the next request
// of a kept connection. The copy must not tell the caller that its request has not run.
func TestEarlierRefusalIsNotTakenForAnAnswer(t *testing.T) {
	t.Parallel()
	for name, copied := range map[string]string{
		"ID of the earlier request": "HTTP/1.1 503 Service Unavailable\r\nId: 0\r\nContent-Length: 4\r\n\r\nfull",
		"ID in lower case":          "HTTP/1.1 503 Service Unavailable\r\nid: 0\r\nContent-Length: 4\r\n\r\nfull",
		"no ID":                     "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull",
		"empty ID":                  "HTTP/1.1 503 Service Unavailable\r\nId:\r\nContent-Length: 4\r\n\r\nfull",
		"no ID, no body":            "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
		"no ID, chunks":             "HTTP/1.1 421 Misdirected Request\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
	} {
		for _, identified := range []bool{true, false} {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%t/%t", name, identified, stream), func(t *testing.T) {
					t.Parallel()
					addr, _ := startResponder(t, func(n int, id string) string {
						switch {
						case n > 1:
							return copied + responseTo(id, "own", "")
						case identified:
							return responseTo(id, "own", "")
						}
						return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
					})
					c := http1.New(addr, 1<<20)
					defer c.Close()
					for i := range 4 {
						body, err := sendWithEcho(t, c, fmt.Sprint(i), stream)
						if err != nil {
							require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
							continue
						}
						require.Equal(t, "own", body)
					}
				})
			}
		}
	}
}

// TestResponseThatDoesNotNameItsRequestIsNoAnswer has the peer answer the first request of a connection without the request's ID,
// as another program would.
func TestResponseThatDoesNotNameItsRequestIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, fields := range map[string]string{
		"no ID":                  "",
		"empty ID":               "Id:\r\n",
		"two IDs":                "Id: mine\r\nId: other\r\n",
		"two IDs, own one last":  "Id: other\r\nId: mine\r\n",
		"ID, then an empty one":  "Id: mine\r\nId:\r\n",
		"ID in the wrong letter": "Id: MINE\r\n",
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%t", name, stream), func(t *testing.T) {
				t.Parallel()
				addr, _ := startResponder(t, func(int, string) string {
					return "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\nContent-Length: 3\r\n\r\nyes"
				})
				c := http1.New(addr, 1<<20)
				defer c.Close()
				_, err := sendWithEcho(t, c, "mine", stream)
				require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
			})
		}
	}
}
