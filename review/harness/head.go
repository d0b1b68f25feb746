package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["head"] = head
}

// maxClosed is the number of requests that LOST allows a gateway to pass on and to close without an answer at any time.
const maxClosed = 3

// head sends one HEAD request to a route with streams, beside other requests.
func head(w *world) ([]string, error) {
	rs := newRuns()
	err := w.configure(7,
		route("replan", "streaming", "llm", 1, streamTimeout),
		route("booking", "non_idempotent", "app", 1, orderTimeout))
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := w.startTarget(fmt.Sprint("llm-", i), "llm", 64, rs, firstAfter(600*time.Millisecond, stream(17, 30*time.Millisecond))); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		if _, err := w.startTarget(fmt.Sprint("app-", i), "app", 6, rs, plain(60*time.Millisecond, []byte("booked"))); err != nil {
			return nil, err
		}
	}
	g, err := w.startGateway("front-0")
	if err != nil {
		return nil, err
	}
	c := &callers{
		w:        w,
		balancer: w.startBalancer(),
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 24 {
		c.loop(&wg, stop, time.Duration(50+10*i)*time.Millisecond, func(one *caller, n int) {
			one.send(http.MethodPost, "/replan/2f", []byte("season"), streamTimeout, promptFields(i*1000+n)...)
		})
	}
	for range 4 {
		c.loop(&wg, stop, 100*time.Millisecond, func(one *caller, _ int) {
			one.send(http.MethodPost, "/booking/2f", []byte("deposit"), orderTimeout)
		})
	}
	w.sleep(6 * time.Second)
	method := http.MethodHead
	if !w.trouble {
		method = http.MethodPost
	}
	c.newCaller().send(method, "/replan/2f", nil, streamTimeout, promptFields(1)...)
	w.sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	g.logged("panic:", "SIGSEGV")
	return c.closed(rs), nil
}

// firstAfter delays the first event, as the computation of a prompt does.
func firstAfter(d time.Duration, answer func(*target, http.ResponseWriter, *http.Request)) func(*target, http.ResponseWriter, *http.Request) {
	return func(t *target, rw http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodHead {
			time.Sleep(d)
		}
		answer(t, rw, r)
	}
}

// closed returns the breaks of LOST at any time: more than maxClosed requests from kept connections were passed on to a sound
// target, and the gateway closed the connections without an answer. The HEAD request itself doesn't count.
func (c *callers) closed(rs *runs) []string {
	var lost []string
	for _, r := range c.results {
		passedOn := rs.of(r.id)
		if r.err == nil || r.status != 0 || len(passedOn) == 0 || passedOn[0].method == http.MethodHead {
			continue
		}
		lost = append(lost, fmt.Sprintf("LOST: %s was passed on to %s, and its connection was closed without an answer after %.3f s: %v",
			r.id, passedOn[0].target, r.endAt.Sub(r.sentAt).Seconds(), r.err))
	}
	if len(lost) <= maxClosed {
		return nil
	}
	return lost
}
