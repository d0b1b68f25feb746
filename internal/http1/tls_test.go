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

// joinedConn buffers writes while buffering is set, so that they can be sent in one write.
type joinedConn struct {
	net.Conn
	buffering bool
	buffer    bytes.Buffer
}

// Write sends or buffers the data.
func (c *joinedConn) Write(p []byte) (int, error) {
	if c.buffering {
		return c.buffer.Write(p)
	}
	return c.Conn.Write(p)
}

// TestUnsolicitedTLSRecordsReachNoRequest has a peer send an unsolicited second response in a TLS record of its own.
// The client receives both records in one read of the socket, so that the second is invisible to a check of the socket.
// The connection must not be reused then, but it must be reused without a second response.
func TestUnsolicitedTLSRecordsReachNoRequest(t *testing.T) {
	for conns, odd := range map[int]string{
		1: "",
		3: responseHead + "odd!",
	} {
		addr, accepted := listenTLS(t, responseHead+"mine", odd)
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

// listenTLS serves each request with the texts, each in its own record, in a single write.
func listenTLS(t *testing.T, texts ...string) (string, <-chan struct{}) {
	t.Helper()
	a, err := ca.New(time.Now())
	require.NoError(t, err)
	pair, err := a.Pair(ca.Subject{})
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
			go serveTLS(&joinedConn{Conn: raw}, &tls.Config{
				Certificates: []tls.Certificate{pair},
			}, texts)
		}
	}()
	return ln.Addr().String(), accepted
}

func serveTLS(raw *joinedConn, cfg *tls.Config, texts []string) {
	defer raw.Close()
	conn := tls.Server(raw, cfg)
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		raw.buffering = true
		for _, text := range texts {
			_, _ = io.WriteString(conn, text)
		}
		raw.buffering = false
		if _, err := raw.buffer.WriteTo(raw.Conn); err != nil {
			return
		}
	}
}
