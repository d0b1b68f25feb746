package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// result is what a caller saw of one request.
type result struct {
	id      string
	gateway *gateway
	sentAt  time.Time
	endAt   time.Time
	status  int
	header  http.Header
	body    []byte
	// err says why the answer is incomplete; nil if it is complete.
	err error
}

// callers is a set of callers that keep their connections open for many requests. One connection is used per caller, and its
// gateway is chosen by the load balancer.
type callers struct {
	w        *world
	balancer *balancer

	mu      sync.Mutex
	number  int
	results []result
	// complete is the number of complete answers that are left out of results.
	complete int
	// keepAll keeps all results even if the record is brief.
	keepAll bool
	// silent leaves all results out of the record.
	silent bool
}

// caller is one caller with its connection.
type caller struct {
	all     *callers
	http    *http.Client
	mu      sync.Mutex
	gateway *gateway
}

func (c *callers) newCaller() *caller {
	one := &caller{
		all: c,
	}
	one.http = &http.Client{
		Transport: &http.Transport{
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     12 * time.Second,
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
				g := c.balancer.pick()
				one.mu.Lock()
				one.gateway = g
				one.mu.Unlock()
				var d net.Dialer
				return d.DialContext(ctx, network, g.front)
			},
		},
	}
	return one
}

// send sends a request and reads its answer.
func (one *caller) send(method, path string, body []byte, deadline time.Duration, fields ...string) result {
	c := one.all
	c.mu.Lock()
	c.number++
	r := result{
		id:     fmt.Sprintf("%016x", c.number),
		sentAt: time.Now(),
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	// The platform's callers repeat a request by their own rules, on a new connection.
	req.GetBody = nil
	req.Header.Set("Waxwingpick-Request-Id", r.id)
	req.Header.Set("Waxwingpick-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := one.http.Do(req)
	one.mu.Lock()
	r.gateway = one.gateway
	one.mu.Unlock()
	if err == nil {
		r.status = resp.StatusCode
		r.header = resp.Header
		r.body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	r.err = err
	r.endAt = time.Now()
	c.add(r, method, path)
	return r
}

// add records a result.
func (c *callers) add(r result, method, path string) {
	name := "none"
	if r.gateway != nil {
		name = r.gateway.name
	}
	if c.w.brief && r.err == nil && r.status == http.StatusOK {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.complete++
		if c.keepAll {
			c.results = append(c.results, r)
		}
		return
	}
	if c.silent {
		return
	}
	c.w.record.write("caller: %s %s %s by gateway %s: status %d, stamp %q, %d bytes, sum %s, error %v, sent at %.3f", r.id, method, path, name,
		r.status, r.header.Get("Waxwingpick-Server-Stamp"), len(r.body), sum(r.body), r.err, r.sentAt.Sub(c.w.record.start).Seconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// completed returns the number of complete answers that are left out of the results.
func (c *callers) completed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}

// promptFields are the headers of a model request.
func promptFields(n int) []string {
	return []string{
		"Waxwingpick-Model-Name", "m",
		"Waxwingpick-Token-Counts", "383,20",
		"Waxwingpick-Prompt-Prefix", fmt.Sprintf("5c1e07a2:92,%x:291", n),
	}
}

// loop sends requests one after the other until stop is closed.
func (c *callers) loop(wg *sync.WaitGroup, stop <-chan struct{}, pause time.Duration, send func(one *caller, n int)) {
	wg.Add(1)
	one := c.newCaller()
	go func() {
		defer wg.Done()
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			send(one, n)
		}
	}()
}
