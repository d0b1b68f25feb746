package rawhttp

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
)

// Call is a call of a client, with the response that its peer sends.
type Call struct {
	// Status is the status with its reason, and each line of Fields ends with CRLF.
	Status string
	Fields string
	Body   string
	// Send makes the call at an address.
	Send func(addr string) error
	// Sound is the error of the call with the sound response; nil for none. Lost is the one with a response that is none.
	Sound error
	Lost  error
}

// Calls are calls by their names.
type Calls map[string]Call

// CheckMalformed makes each call with its sound response, and with each variant of it whose header is malformed.
func (calls Calls) CheckMalformed(t *testing.T) {
	t.Helper()
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t, Malformed(c.Status, c.Fields, c.Body))
		})
	}
}

// CheckStatus makes each call with its sound response, and with statuses below 100 in place of its own.
func (calls Calls) CheckStatus(t *testing.T) {
	t.Helper()
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			variants := make(map[string]string)
			for _, status := range []string{"000", "000 X", "099 X"} {
				variants["status "+status] = Sound(status, c.Fields, c.Body)
			}
			c.check(t, variants)
		})
	}
}

func (c Call) check(t *testing.T, variants map[string]string) {
	t.Helper()
	var response atomic.Pointer[string]
	peer, err := loopback.NewResponder(func(*http.Request) string {
		return *response.Load()
	})
	require.NoError(t, err)
	defer peer.Close()
	sound := Sound(c.Status, c.Fields, c.Body)
	response.Store(&sound)
	require.ErrorIs(t, c.Send(peer.Addr()), c.Sound)
	for name, raw := range variants {
		response.Store(&raw)
		err := c.Send(peer.Addr())
		require.ErrorIs(t, err, c.Lost, "%s: %.200q", name, raw)
		if c.Sound != nil {
			require.NotErrorIs(t, err, c.Sound, "%s: %.200q", name, raw)
		}
	}
}
