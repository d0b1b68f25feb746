package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/http1"
	"waxwingpick/internal/standin/ca"
)

// joinedConn sends what is written while it holds in one piece.
type joinedConn struct {
	net.Conn
	hold bool
	held bytes.Buffer
}

// Write sends, or holds.
func (c *joinedConn) Write(p []byte) (int, error) {
	if c.hold {
		return c.held.Write(p)
	}
	return c.Conn.Write(p)
}

// TestRecordsThatNoRequestAskedForReachNobody has a peer send a second answer in a record of its own behind the first,
// which the client reads from the socket with it; the connection must not be used again. One that holds nothing is.
func TestRecordsThatNoRequestAskedForReachNobody(t *testing.T) {
	for conns, odd := range map[int]string{
		1: "",
		3: answer + "odd!",
	} {
		addr, accepted := listenTLS(t, answer+"mine", odd)
		c := http1.New(addr, 100, http1.Secured(func(ctx context.Context, raw net.Conn) (net.Conn, error) {
			conn := tls.Client(raw, &tls.Config{
				InsecureSkipVerify: true,
			})
			return conn, conn.HandshakeContext(ctx)
		}))
		for range 3 {
			got, err := send(t, c, http.MethodPost)
			require.NoError(t, err)
			require.Equal(t, "mine", got)
		}
		c.Close()
		require.Len(t, accepted, conns)
	}
}

// listenTLS answers each request with the texts, each in a record, in one piece.
func listenTLS(t *testing.T, texts ...string) (string, <-chan struct{}) {
	t.Helper()
	a, err := ca.New(time.Now())
	require.NoError(t, err)
	pair, err := a.Pair(ca.Holder{})
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		ln.Close()
	})
	accepted := make(chan struct{}, 8)
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go answerTLS(&joinedConn{Conn: raw}, &tls.Config{
				Certificates: []tls.Certificate{pair},
			}, texts)
		}
	}()
	return ln.Addr().String(), accepted
}

func answerTLS(raw *joinedConn, cfg *tls.Config, texts []string) {
	defer raw.Close()
	conn := tls.Server(raw, cfg)
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		raw.hold = true
		for _, text := range texts {
			_, _ = io.WriteString(conn, text)
		}
		raw.hold = false
		if _, err := raw.held.WriteTo(raw.Conn); err != nil {
			return
		}
	}
}
