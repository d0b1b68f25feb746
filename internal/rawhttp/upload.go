package rawhttp

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
)

// Upload is a call of a client that sends a body.
type Upload struct {
	// Response is the raw response, without a length.
	Response string
	// Sizes are the sizes of the bodies, in bytes.
	Sizes []int
	// Send makes the call with a body at an address.
	Send func(addr string, body []byte) error
	// Lost is the error of the call with a response that is none.
	Lost error
}

// CheckEarlyReset has a peer respond before it has read the body, or just after, and reset the connection. The response ends with its
// connection, so that what has arrived of it must not be taken for all of it.
func (u Upload) CheckEarlyReset(t *testing.T) {
	t.Helper()
	for _, size := range u.Sizes {
		body := make([]byte, size)
		for i := range body {
			body[i] = 'u'
		}
		for _, read := range []int{0, size / 2, size} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d/%d/%v", size, read, pause), func(t *testing.T) {
					t.Parallel()
					peer, err := loopback.NewEarlyReset(int64(read), u.Response, pause)
					require.NoError(t, err)
					defer peer.Close()
					for range 2 {
						require.ErrorIs(t, u.Send(peer.Addr(), body), u.Lost)
					}
				})
			}
		}
	}
}
