package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/demo"
)

const (
	model    = "salsa-1"
	endDelay = 20 * time.Millisecond
)

// countingProxy forwards TCP connections and counts them.
type countingProxy struct {
	ln       net.Listener
	accepted atomic.Int32
}

func newCountingProxy(t *testing.T, to string) *countingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &countingProxy{
		ln: ln,
	}
	t.Cleanup(func() {
		ln.Close()
	})
	go r.serve(to)
	return r
}

func (r *countingProxy) serve(to string) {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		go proxyConn(c, to)
	}
}

func proxyConn(c net.Conn, to string) {
	defer c.Close()
	peer, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer peer.Close()
	go func() {
		_, _ = io.Copy(peer, c)
		peer.Close()
	}()
	_, _ = io.Copy(delayedEndWriter{
		Writer: c,
	}, peer)
}

// delayedEndWriter delays the end of a chunked body by endDelay, as a busy sidecar does.
type delayedEndWriter struct {
	io.Writer
}

// Write writes the data before the end immediately.
func (w delayedEndWriter) Write(p []byte) (int, error) {
	rest, ended := bytes.CutSuffix(p, []byte("0\r\n\r\n"))
	n, err := w.Writer.Write(rest)
	if err != nil || !ended {
		return n, err
	}
	time.Sleep(endDelay)
	end, err := w.Writer.Write(p[n:])
	return n + end, err
}

func TestSidecarConnectionsAreReused(t *testing.T) {
	const responses = 10
	log := logrus.New()
	log.SetOutput(t.Output())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := demo.NewCluster(ctx, demo.Layout{
		Config:  demo.OneModel("engines", model),
		Engines: 1,
		Entries: 1,
		Zones:   []waxwingpick.AvailabilityZone{"at-ost-a"},
		Log:     log,
	})
	require.NoError(t, err)
	defer func() {
		require.NoError(t, c.Close(context.Background()))
	}()
	rows := c.Instances()
	var r *countingProxy
	for i := range rows {
		if rows[i].Kind == waxwingpick.KindTarget {
			r = newCountingProxy(t, rows[i].Data)
			rows[i].Data = r.ln.Addr().String()
		}
	}
	c.Platform().Set(rows...)
	caller := demo.NewCaller("studio-1")
	defer caller.Close()
	send := func(i int) error {
		_, err := caller.Chat(ctx, c.Entries()[0].CallerAddr(), model, fmt.Sprintf("who swapped salsa %d", i), 3)
		return err
	}
	require.Eventually(t, func() bool {
		return send(-1) == nil && r.accepted.Load() > 0
	}, time.Minute, 10*time.Millisecond)
	before := r.accepted.Load()
	for i := range responses {
		require.NoError(t, send(i))
		// The end of the response arrives endDelay after its data.
		time.Sleep(5 * endDelay)
	}
	require.Less(t, r.accepted.Load()-before, int32(responses/2))
}
