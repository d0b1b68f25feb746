package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/standin/target"
)

// earlyResponder answers requests with a body before it has read them, without a length, and ends the connection. Other
// requests, such as those for its identity, are answered by a sound target.
type earlyResponder struct {
	target *target.Target
	// read is how many bytes of the request it reads, response what it answers, and pause how long it waits before the end.
	read     int64
	response string
	pause    time.Duration
	// resets means that the connection does not end in order.
	resets bool
}

// listen serves until the end of the test and returns the address.
func (e *earlyResponder) listen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

func (e *earlyResponder) serve(c *net.TCPConn) {
	defer c.Close()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	if r.Method == http.MethodGet {
		e.forward(c, r)
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, e.read); err != nil {
		return
	}
	_, _ = io.WriteString(c, e.response)
	time.Sleep(e.pause)
	if e.resets {
		_ = c.SetLinger(0)
	}
}

func (e *earlyResponder) forward(w io.Writer, r *http.Request) {
	response, err := http.Get("http://" + e.target.Addr() + r.URL.Path)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_ = response.Write(w)
}

// startEarlyResponders starts a gateway whose targets are early responders.
func startEarlyResponders(t *testing.T, e earlyResponder) *testGateway {
	s := newTestGateway(t)
	for _, tgt := range s.without(s.engines[2]) {
		service, body, contentType := "app", strings.Repeat("x", 5000), "text/plain"
		if slices.Contains(s.engines, tgt) {
			service, body, contentType = "llm", "id: 1\ndata: piece 1\n\n", "text/event-stream"
		}
		responder := e
		responder.target = tgt
		responder.response = unframed(contentType, body)
		record := tgt.ListRecord(service, "zone", "ready")
		record["address"] = responder.listen(t)
		require.NoError(t, s.store.Put(t.Context(), "servers/"+tgt.ID(), record))
	}
	s.start()
	t.Cleanup(s.stop)
	return s
}

// upload sends a request with a body, in chunks or with its length, and reports whether its response is a complete success.
func (s *testGateway) upload(path, body string, chunks bool) bool {
	var r io.Reader = strings.NewReader(body)
	if chunks {
		r = io.MultiReader(r)
	}
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.boot.Callers+path, r)
	require.NoError(s.t, err)
	req.Host = "a.example"
	req.Header.Set("Waxwingpick-Request-Id", "id")
	req.Header.Set("Waxwingpick-Deadline-Ms", "60000")
	req.Header.Set("Waxwingpick-Model-Name", "m")
	req.Header.Set("Waxwingpick-Token-Counts", "500,10")
	resp, err := s.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestEarlyResponseThatIsResetIsNotComplete has targets answer uploads before they have read them, with a body that ends with its
// connection, and reset that connection while the upload is being written or after it.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	t.Parallel()
	paths := []string{"/order/a", "/read/a", "/long/a"}
	for _, size := range []int{10, 100_000, 6 << 20} {
		for _, read := range []int{0, size / 2, size} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d/%d/%v", size, read, pause), func(t *testing.T) {
					t.Parallel()
					s := startEarlyResponders(t, earlyResponder{
						read:   int64(read),
						pause:  pause,
						resets: true,
					})
					for _, path := range paths {
						for _, chunks := range []bool{false, true, false, true} {
							require.False(t, s.upload(path, strings.Repeat("u", size), chunks), "%s, chunks %t", path, chunks)
						}
					}
				})
			}
		}
	}
	t.Run("ended in order", func(t *testing.T) {
		t.Parallel()
		s := startEarlyResponders(t, earlyResponder{
			read: 10,
		})
		for _, path := range paths {
			require.True(t, s.upload(path, strings.Repeat("u", 10), false), path)
		}
	})
}
