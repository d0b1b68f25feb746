package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/standin/target"
)

// startSmallGateway returns a gateway whose requests may hold some hundred kilobytes each.
func startSmallGateway(t *testing.T) *testGateway {
	s := newTestGateway(t)
	s.boot = bootOf(t, "gateway", s.store.Addr(), 2*time.Second)
	s.boot.Memory = 16 << 20
	s.process = launch(t, s.boot)
	require.Eventually(t, s.ready, time.Minute, 5*time.Millisecond)
	s.awaitMetric(s.boot, "waxwingpick_gateway_sharing 1\n")
	t.Cleanup(s.stop)
	return s
}

// TestRequestThatFindsNoMemoryIsToldWhatHasRun sends bodies and responses that are larger than the memory for them. A request that was
// not sent is refused as not run, one that has run is not, and nothing stays accounted for.
func TestRequestThatFindsNoMemoryIsToldWhatHasRun(t *testing.T) {
	t.Parallel()
	const large = 1 << 20
	s := startSmallGateway(t)
	long := target.Faults{
		Flood: &target.Flood{
			Fields: "Content-Length: 1048576\r\n",
			Piece:  strings.Repeat("x", 1<<14),
			Every:  1,
		},
	}
	event := target.Faults{
		Flood: &target.Flood{
			Fields: "Content-Type: text/event-stream\r\n",
			Piece:  "data: " + strings.Repeat("x", 1<<14) + "\n",
			Every:  1,
		},
	}
	resp, err := s.send("id", "/order/1", strings.Repeat("x", large))
	require.NoError(t, err)
	status, _, _ := s.read(resp, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, s.runs())

	setFaults(long, s.services...)
	status, _, _ = s.read(s.send("id", "/order/1", ""))
	require.Equal(t, http.StatusBadGateway, status)
	require.Len(t, s.runs(), 1)

	// The next target of a request that may be repeated responds with less.
	for i, one := range s.services {
		sound := s.services[1-i]
		f := long
		f.AfterRun = func() { sound.SetFaults(target.Faults{}) }
		one.SetFaults(f)
	}
	status, body, _ := s.read(s.send("id", "/read/1", ""))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "answer of app")

	setFaults(event, s.engines[:2]...)
	status, _, _ = s.read(s.send("id", "/long/1", "", "Waxwingpick-Token-Counts", "500,10"))
	require.Equal(t, http.StatusBadGateway, status)

	setFaults(target.Faults{}, append(s.engines[:2:2], s.services...)...)
	status, _, _ = s.read(s.send("id", "/order/1", strings.Repeat("x", large/16)))
	require.Equal(t, http.StatusOK, status)
	s.http.CloseIdleConnections()
	s.awaitMetric(s.boot, "waxwingpick_gateway_held_bytes 0\n")
	s.awaitMetric(s.boot, "waxwingpick_gateway_memory_refusals_total 4\n")
}

// TestCutRequestReachesNoTarget sends a part of a request's body and closes the connection in order. The part must not run as if it
// were the request.
func TestCutRequestReachesNoTarget(t *testing.T) {
	t.Parallel()
	s := startTestGateway(t)
	const head = "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nWaxwingpick-Request-Id: id\r\n"
	for name, raw := range map[string]string{
		"length":                   head + "Content-Length: 10\r\n\r\nhalf",
		"long":                     head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000),
		"chunks":                   head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"inside a chunk":           head + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"last chunk, without end":  head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		"more than is allowed":     head + "Content-Length: 100000000\r\n\r\nhalf",
		"size of a chunk not hex":  head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nhalf\r\n0\r\n\r\n",
		"100-continue, then half":  head + "Expect: 100-continue\r\nContent-Length: 10\r\n\r\nhalf",
		"length and chunks, as is": head + "Content-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", s.boot.Callers)
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, raw)
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
			r := bufio.NewReader(c)
			for {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				require.NotEqual(t, http.StatusOK, resp.StatusCode)
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			require.Empty(t, s.runs())
		})
	}
}
