package plain_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/plain"
)

// TestEarlyResponseThatIsResetIsNotComplete has a service respond to an upload early, without a length, and reset the connection.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	t.Parallel()
	rawhttp.Upload{
		Response: "HTTP/1.1 200 OK\r\n\r\npart of a booking",
		Sizes:    []int{10, 100_000, 6 << 20},
		Send: func(addr string, body []byte) error {
			c, err := plain.New(addr)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Call(t.Context(), booking(http.MethodPost, "/bookings/1", string(body)))
			return err
		},
		Lost: waxwingpick.ErrEngineLost,
	}.CheckEarlyReset(t)
}
