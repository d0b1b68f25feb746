package plain_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"waxwingpick"
	"waxwingpick/io/plain"
)

// recorder is a net/http handler that records the requests it receives.
type recorder struct {
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func (s *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
	s.bodies = append(s.bodies, string(body))
	w.Header().Set("Keep-Alive", "timeout=5")
	w.WriteHeader(http.StatusOK)
}

func (s *recorder) take() ([]*http.Request, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, bodies := s.requests, s.bodies
	s.requests, s.bodies = nil, nil
	return requests, bodies
}

// FuzzCall sends arbitrary requests. Each must be refused without being sent, or be received at most once, unchanged and
// without hop-by-hop header fields.
func FuzzCall(f *testing.F) {
	f.Add("POST", "/bookings?x=1", "X-Note", "salsa", "body")
	f.Add("PUT", "/a b", "Connection", "X-Note", "")
	f.Add("GET", "/%2e%2e/x", "Transfer-Encoding", "chunked", "5\r\nhello\r\n0\r\n\r\n")
	f.Add("P T", "/../x", "Content-Length", "0", "smuggled")
	f.Add("HEAD", "//host/x", "Host", "other", "")
	f.Add("POST", "/x#y", "x: y\r\nz", "a\nb", "body")
	f.Add("CONNECT", "/x", "Expect", "100-continue", "body")
	f.Add("post", "/", "content-type", "", "")
	server := &recorder{}
	srv := httptest.NewServer(server)
	f.Cleanup(srv.Close)
	addr := srv.Listener.Addr().String()
	f.Fuzz(func(t *testing.T, method, path, name, value, body string) {
		c, err := plain.New(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		resp, err := c.Call(t.Context(), booking(method, path, body, name, value))
		requests, bodies := server.take()
		if errors.Is(err, waxwingpick.ErrEngineRefused) {
			if len(requests) != 0 {
				t.Fatal("request was refused, but also sent")
			}
			return
		}
		if len(requests) > 1 {
			t.Fatalf("received %d times", len(requests))
		}
		for _, h := range resp.Headers {
			if strings.EqualFold(h.Name, "Keep-Alive") || strings.EqualFold(h.Name, "Connection") {
				t.Fatalf("hop-by-hop field %s forwarded", h.Name)
			}
		}
		if len(requests) == 0 {
			return
		}
		r := requests[0]
		if r.Method != method || bodies[0] != body {
			t.Fatalf("%q with %q became %q with %q", method, body, r.Method, bodies[0])
		}
		if r.RequestURI != path {
			t.Fatalf("path %q became %q", path, r.RequestURI)
		}
		if r.Host != addr {
			t.Fatalf("host became %q", r.Host)
		}
		for _, hop := range []string{"Connection", "Keep-Alive", "Te", "Upgrade", "Proxy-Authorization", "Trailer"} {
			if len(r.Header[hop]) != 0 {
				t.Fatalf("hop-by-hop field %s forwarded", hop)
			}
		}
	})
}
