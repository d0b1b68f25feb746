package demo

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
	"waxwingpick/internal/rawhttp"
	standinservice "waxwingpick/internal/standin/service"
)

// TestCallReachesItsServiceUnchanged guards against processes that interpret a call to a plain service in place of forwarding it, as
// an entry that parses forms and decodes bodies does.
func TestCallReachesItsServiceUnchanged(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       1,
		PlainServices: 1,
		Entries:       1,
	})
	ran := 0
	for seed := range 300 {
		r := rawhttp.Requests(fmt.Sprintf("/bookings/%d/", seed)).Example(seed)
		want := standinservice.Run{
			Method: r.Method,
			Path:   r.URI,
			Body:   r.Body,
		}
		r.URI = "/services/studio-app" + r.URI
		status, err := loopback.SendThenRead(c.Entries()[0].CallerAddr(), r.Encode("Host: a.example\r\n"), false)
		require.NoError(t, err)
		runs := c.Services()[0].Runs()
		if !utf8.ValidString(r.URI) {
			require.Equal(t, http.StatusBadRequest, status)
			require.Len(t, runs, ran)
			continue
		}
		require.Less(t, status, http.StatusInternalServerError)
		ran = len(runs)
		require.True(t, slices.Contains(runs, want), "%d: %q is not among %q", status, want, runs[max(0, len(runs)-1):])
	}
}
