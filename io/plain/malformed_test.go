package plain_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/plain"
)

// callsOfServices returns the calls that read responses of plain services.
func callsOfServices(t *testing.T) rawhttp.Calls {
	send := func(addr string) error {
		c, err := plain.New(addr)
		require.NoError(t, err)
		defer c.Close()
		resp, err := c.Call(t.Context(), booking(http.MethodPost, "/bookings/1", "{}"))
		if err != nil {
			require.Equal(t, waxwingpick.CallResponse{}, resp)
		}
		return err
	}
	calls := make(rawhttp.Calls)
	for _, status := range []string{"200 OK", "404 Not Found", "503 Service Unavailable"} {
		calls[status] = rawhttp.Call{
			Status: status,
			Fields: "Retry-After: 9\r\n",
			Body:   "mine",
			Send:   send,
			Lost:   waxwingpick.ErrEngineLost,
		}
	}
	return calls
}

// TestMalformedHeaderIsNoResponseOfAService has a service send headers with malformed field names.
func TestMalformedHeaderIsNoResponseOfAService(t *testing.T) {
	t.Parallel()
	callsOfServices(t).CheckMalformed(t)
}

// TestStatusBelow100IsNoResponseOfAService has a service send statuses that fasthttp takes for a success.
func TestStatusBelow100IsNoResponseOfAService(t *testing.T) {
	t.Parallel()
	callsOfServices(t).CheckStatus(t)
}
