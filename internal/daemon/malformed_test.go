package daemon

import (
	"net/http"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/rawhttp"
	"waxwingpick/internal/standin/target"
)

// TestMalformedHeaderReachesNoCaller has targets send headers with malformed field names, as successes, refusals and streams. A caller
// must get neither an answer nor a refusal that promises that the request has not run, nor any field of them, and a request that must
// not be repeated is sent once.
func TestMalformedHeaderReachesNoCaller(t *testing.T) {
	t.Parallel()
	const (
		fields = "Waxwingpick-Request-Id: id\r\nWaxwingpick-Server-Stamp: stamp\r\nX-Own: v\r\n"
		stream = "Content-Type: text/event-stream\r\n"
		notRun = "Waxwingpick-Not-Executed: 1\r\nRetry-After: 0.01\r\n"
		event  = "id: 1\ndata: piece 1\n\n"
	)
	for name, row := range map[string]struct {
		status, fields, body string
	}{
		"success":             {status: "200 OK", fields: fields, body: "mine"},
		"stream":              {status: "200 OK", fields: fields + stream, body: event},
		"refusal":             {status: "503 Service Unavailable", fields: fields + notRun, body: "full"},
		"refusal of a stream": {status: "503 Service Unavailable", fields: fields + notRun + stream, body: event},
		"failure":             {status: "500 Internal Server Error", fields: fields, body: "mine"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTestGateway(t)
			targets := slices.Concat(s.services, s.engines[:2])
			for what, raw := range rawhttp.Malformed(row.status, row.fields, row.body) {
				setFaults(target.Faults{
					Raw: raw,
				}, targets...)
				for _, path := range []string{"/order/1", "/read/1", "/long/1"} {
					before := len(s.runs())
					resp, err := s.send("id", path, "", "Waxwingpick-Token-Counts", "500,10")
					status, body, complete := s.read(resp, err)
					require.Equal(t, http.StatusBadGateway, status, "%s, %s: %s", path, what, body)
					require.True(t, complete)
					for _, field := range []string{"X-Own", "Retry-After", "Waxwingpick-Server-Stamp", "Waxwingpick-Not-Executed"} {
						require.Empty(t, resp.Header.Values(field), "%s, %s", path, what)
					}
					if path != "/read/1" {
						require.Len(t, s.runs(), before+1, "%s, %s", path, what)
					}
				}
			}
			setFaults(target.Faults{
				Raw: rawhttp.Sound(row.status, row.fields, row.body),
			}, targets...)
			status, _, complete := s.read(s.send("id", "/order/1", ""))
			require.Equal(t, row.status[:3], strconv.Itoa(status), "the sound response")
			require.True(t, complete)
		})
	}
}

// TestMalformedTrailersCompleteNoResponse has targets send bodies in chunks whose trailers have malformed field names. A caller must get
// no success, or a stream that does not look complete.
func TestMalformedTrailersCompleteNoResponse(t *testing.T) {
	t.Parallel()
	const (
		fields = "Waxwingpick-Request-Id: id\r\nWaxwingpick-Server-Stamp: stamp\r\n"
		stream = "Content-Type: text/event-stream\r\n"
		event  = "id: 1\ndata: piece 1\n\n"
	)
	s := startTestGateway(t)
	answer := func(path, raw string) (status int, body string, complete bool) {
		setFaults(target.Faults{
			Raw: raw,
		}, slices.Concat(s.services, s.engines[:2])...)
		return s.read(s.send("id", path, "", "Waxwingpick-Token-Counts", "500,10"))
	}
	for what, raw := range rawhttp.MalformedTrailers("200 OK", fields, "mine") {
		status, body, _ := answer("/order/1", raw)
		require.Equal(t, http.StatusBadGateway, status, "%s: %s", what, body)
	}
	for what, raw := range rawhttp.MalformedTrailers("200 OK", fields+stream, event) {
		_, body, complete := answer("/long/1", raw)
		require.False(t, complete, what)
		require.Equal(t, event, body, what)
	}
	status, body, complete := answer("/order/1", rawhttp.Chunked("200 OK", fields, "mine", "X-T: v\r\n"))
	require.Equal(t, http.StatusOK, status)
	require.True(t, complete)
	require.Equal(t, "mine", body)
	_, body, complete = answer("/long/1", rawhttp.Chunked("200 OK", fields+stream, event, "X-T: v\r\n"))
	require.True(t, complete)
	require.Equal(t, event, body)
}
