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

// relay passes connections on and counts them.
type relay struct {
	ln       net.Listener
	accepted atomic.Int32
}

func newRelay(t *testing.T, to string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{
		ln: ln,
	}
	t.Cleanup(func() {
		ln.Close()
	})
	go r.run(to)
	return r
}

func (r *relay) run(to string) {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		go pass(c, to)
	}
}

func pass(c net.Conn, to string) {
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
	_, _ = io.Copy(lateEnd{
		Writer: c,
	}, peer)
}

// lateEnd holds the end of a streamed body back for a while, as a busy sidecar does.
type lateEnd struct {
	io.Writer
}

// Write writes what comes before the end at once.
func (w lateEnd) Write(p []byte) (int, error) {
	rest, ended := bytes.CutSuffix(p, []byte("0\r\n\r\n"))
	n, err := w.Writer.Write(rest)
	if err != nil || !ended {
		return n, err
	}
	time.Sleep(endDelay)
	end, err := w.Writer.Write(p[n:])
	return n + end, err
}

func TestConnectionsToASidecarServeManyAnswers(t *testing.T) {
	const answers = 10
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
	var r *relay
	for i := range rows {
		if rows[i].Kind == waxwingpick.KindTarget {
			r = newRelay(t, rows[i].Data)
			rows[i].Data = r.ln.Addr().String()
		}
	}
	c.Platform().Set(rows...)
	caller := demo.NewCaller("studio-1")
	defer caller.Close()
	ask := func(i int) error {
		_, err := caller.Chat(ctx, c.Entries()[0].CallerAddr(), model, fmt.Sprintf("who swapped salsa %d", i), 3)
		return err
	}
	require.Eventually(t, func() bool {
		return ask(-1) == nil && r.accepted.Load() > 0
	}, time.Minute, 10*time.Millisecond)
	before := r.accepted.Load()
	for i := range answers {
		require.NoError(t, ask(i))
		// The end of the answer arrives meanwhile.
		time.Sleep(5 * endDelay)
	}
	require.Less(t, r.accepted.Load()-before, int32(answers/2))
}
