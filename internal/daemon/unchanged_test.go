package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/loopback"
	"waxwingpick/internal/rawhttp"
	"waxwingpick/internal/standin/target"
)

// drawnMessages is the number of messages that a test sends through the gateway.
const drawnMessages = 300

// TestRequestReachesItsTargetUnchanged guards against parts of the gateway that interpret a request in place of forwarding it, as a
// server that parses a form and encodes it anew does.
func TestRequestReachesItsTargetUnchanged(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	routes := []string{"/read/", "/order/", "/quick/"}
	for seed := range drawnMessages {
		r := rawhttp.Requests(routes[seed%len(routes)]).Example(seed)
		id := fmt.Sprint("id", seed)
		status, err := loopback.SendThenRead(s.boot.Callers, r.Encode("Host: a.example\r\nWaxwingpick-Request-Id: "+id+"\r\n"), false)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		runs := s.runs()
		i := slices.IndexFunc(runs, func(run target.Run) bool { return run.ID == id })
		require.GreaterOrEqual(t, i, 0, "request has not run")
		require.Equal(t, r.Method, runs[i].Method)
		require.Equal(t, r.URI, runs[i].URI)
		require.Equal(t, r.Body, runs[i].Body)
		got := make(map[string]string)
		for name, value := range runs[i].Headers {
			if name != "Host" && name != "Content-Length" && !strings.HasPrefix(name, "Waxwingpick-") {
				got[name] = value
			}
		}
		require.Equal(t, valuesOf(r.Fields), got)
	}
}

// TestResponseReachesItsCallerUnchanged guards against parts of the gateway that interpret a response, as a client that decodes its
// body does.
func TestResponseReachesItsCallerUnchanged(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	responses := rawhttp.Responses()
	for seed := range drawnMessages {
		want := responses.Example(seed)
		id := fmt.Sprint("Waxwingpick-Request-Id: id", seed, "\r\n")
		setFaults(target.Faults{
			Raw: want.Encode(id + "Waxwingpick-Server-Stamp: s\r\nConnection: close\r\n"),
		}, s.services...)
		resp, body, err := loopback.Exchange(s.boot.Callers, "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"+id+"\r\n", false)
		require.NoError(t, err)
		require.Equal(t, want.Status, resp.StatusCode)
		require.Equal(t, want.Body, string(body))
		got := make(map[string]string)
		for name, values := range resp.Header {
			if name != "Content-Length" && !strings.HasPrefix(name, "Waxwingpick-") {
				got[name] = strings.Join(values, "|")
			}
		}
		require.Equal(t, valuesOf(want.Fields), got)
	}
}

// valuesOf returns the values of fields by their names.
func valuesOf(fields []waxwingpick.Header) map[string]string {
	values := make(map[string]string)
	for _, f := range fields {
		values[f.Name] = f.Value
	}
	return values
}
