package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["multipart"] = multipart
}

// boundary separates the parts of a body.
const boundary = "b6f1c02a"

// form returns a body of two parts as RFC 7578 has them: a file, and the order as JSON.
func form(n int) []byte {
	return fmt.Appendf(nil, "--%[1]s\r\nContent-Disposition: form-data; name=\"proof\"; filename=\"slip.txt\"\r\nContent-Type: text/plain\r\n\r\npaid %[2]d\r\n"+
		"--%[1]s\r\nContent-Disposition: form-data; name=\"order\"\r\nContent-Type: application/json\r\n\r\n{\"lot\":%[2]d,\"release\":true}\r\n--%[1]s--\r\n", boundary, n)
}

// multipart sends orders whose bodies have several parts.
func multipart(w *world) ([]string, error) {
	rs := newRuns()
	if err := w.configure(7, route("booking", "non_idempotent", "app", 1, orderTimeout)); err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := w.startTarget(fmt.Sprint("app-", i), "app", 6, rs, plain(15*time.Millisecond, []byte("booked"))); err != nil {
			return nil, err
		}
	}
	if _, err := w.startGateway("front-0"); err != nil {
		return nil, err
	}
	c := &callers{
		w:        w,
		balancer: w.startBalancer(),
	}
	contentType := "multipart/form-data; boundary=" + boundary
	if !w.trouble {
		contentType = "application/octet-stream"
	}
	var mu sync.Mutex
	bodies := make(map[string][]byte)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		c.loop(&wg, stop, 200*time.Millisecond, func(one *caller, n int) {
			body := form(i*1000 + n)
			r := one.send(http.MethodPost, "/booking/2f", body, orderTimeout, "Content-Type", contentType)
			mu.Lock()
			defer mu.Unlock()
			bodies[r.id] = body
		})
	}
	w.sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	var broken []string
	for _, r := range c.results {
		for _, ran := range rs.of(r.id) {
			if !bytes.Equal(ran.body, bodies[r.id]) {
				broken = append(broken, fmt.Sprintf("UNASKED: %s was sent with the body %q and run by %s with %q", r.id, bodies[r.id], ran.target, ran.body))
			}
		}
	}
	return broken, nil
}
