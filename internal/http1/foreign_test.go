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

// talker answers each request on a connection by what answer returns, which may be no answer or several.
func talker(t *testing.T, answer func(n int, id string) string) (addr string, conns *atomic.Int32) {
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
			go talk(c, answer)
		}
	}()
	return ln.Addr().String(), conns
}

func talk(c net.Conn, answer func(n int, id string) string) {
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
		if _, err := io.WriteString(c, answer(n, req.Header.Get("Id"))); err != nil {
			return
		}
	}
}

func answerTo(id, body, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, fields, len(body), body)
}

func ask(t *testing.T, c *http1.Client, id string, stream bool) (string, error) {
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
		addr, _ := talker(t, func(_ int, id string) string {
			return answerTo("earlier", "foreign", "") + answerTo(id, "own", "")
		})
		c := http1.New(addr, 1<<20)
		defer c.Close()
		for i := range 3 {
			body, err := ask(t, c, fmt.Sprint(i), stream)
			require.NoError(t, err)
			require.Equal(t, "own", body)
		}
	}
}

func TestPeerThatAnswersOthersOnlyIsGivenUp(t *testing.T) {
	addr, _ := talker(t, func(int, string) string {
		return answerTo("a", "x", "") + answerTo("b", "x", "") + answerTo("c", "x", "") + answerTo("d", "x", "")
	})
	c := http1.New(addr, 1<<20)
	defer c.Close()
	_, err := ask(t, c, "mine", false)
	require.ErrorIs(t, err, waxwingpick.ErrEngineLost)
}

func TestExtraAnswerDoesNotReachTheNextRequest(t *testing.T) {
	addr, _ := talker(t, func(_ int, id string) string {
		return answerTo(id, "own "+id, "") + answerTo(id, "again "+id, "")
	})
	c := http1.New(addr, 1<<20)
	defer c.Close()
	for i := range 5 {
		body, err := ask(t, c, fmt.Sprint(i), false)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("own ", i), body)
	}
}

func TestConnectionsAreUsedAgainWithinTheirPeersLimit(t *testing.T) {
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
			name:   "told too short to be safe",
			fields: "Keep-Alive: timeout=0\r\n",
			conns:  3,
		},
		{
			name:   "not told",
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
			addr, conns := talker(t, func(_ int, id string) string {
				return answerTo(id, "x", tc.fields)
			})
			c := http1.New(addr, 1<<20, http1.IdleFor(0))
			defer c.Close()
			for i := range 3 {
				_, err := ask(t, c, fmt.Sprint(i), false)
				require.NoError(t, err)
			}
			require.Equal(t, tc.conns, conns.Load())
		})
	}
}

func TestOpenConnectionsAreBounded(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	addr, _ := talker(t, func(_ int, id string) string {
		close(received)
		<-release
		return answerTo(id, "x", "")
	})
	c := http1.New(addr, 1<<20, http1.MaxConnections(1))
	defer c.Close()
	done := make(chan error, 1)
	go func() {
		_, err := ask(t, c, "first", false)
		done <- err
	}()
	<-received
	_, err := ask(t, c, "second", false)
	require.ErrorIs(t, err, waxwingpick.ErrEngineUnreachable)
	close(release)
	require.NoError(t, <-done)
}
