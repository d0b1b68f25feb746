package udp_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
	"waxwingpick/io/udp"
)

func open(t *testing.T) (*udp.Link, chan string) {
	l, err := udp.Listen(loopback.AnyPort())
	require.NoError(t, err)
	got := make(chan string, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Receive(func(message []byte) {
			got <- string(message)
		})
	}()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		<-done
	})
	return l, got
}

func TestMessagesArrive(t *testing.T) {
	a, _ := open(t)
	b, got := open(t)
	// A datagram may be lost, so the message is sent repeatedly until it arrives.
	require.Eventually(t, func() bool {
		require.NoError(t, a.Send(b.Addr(), []byte("hello")))
		select {
		case m := <-got:
			return m == "hello"
		case <-time.After(10 * time.Millisecond):
			return false
		}
	}, time.Minute, time.Millisecond)
}

func TestMessagesAreBoundedAndAddressesChecked(t *testing.T) {
	a, _ := open(t)
	require.ErrorIs(t, a.Send("127.0.0.1:9", make([]byte, udp.MaxMessage+1)), udp.ErrTooLarge)
	require.Error(t, a.Send("nowhere:9", nil))
	_, err := udp.Listen("nowhere")
	require.Error(t, err)
	_, err = udp.Listen(a.Addr())
	var inUse *net.OpError
	require.ErrorAs(t, err, &inUse)
}
