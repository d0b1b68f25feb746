package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["releases"] = releases
}

const (
	releaseTargets = 12
	// releaseGap is the time between two replacements.
	releaseGap = time.Second
	// releaseTime is how long targets are replaced one after the other.
	releaseTime = 100 * time.Second
	// streamCallers keep their connections, newCallers open one for each request.
	streamCallers = 480
	newCallers    = 10
	// serveOn is how long a leaving target serves: drainMs and a little longer.
	serveOn = 2200 * time.Millisecond
	// bookingTimeout is timeoutMs of the route of the bookings.
	bookingTimeout = 800 * time.Millisecond
	// answerSlack is the time after timeoutMs by which the rule wants an answer.
	answerSlack = 500 * time.Millisecond
	// minUnanswered is the number of requests without an answer from which on the case ends.
	minUnanswered = 30
)

// releases replaces the targets of a service one after the other, as releases of their software do.
func releases(w *world) ([]string, error) {
	w.brief = true
	w.limitFiles = true
	rs := newRuns()
	if err := w.configure(7, route("query", "streaming", "llm", 2, 4*time.Second), route("booking", "non_idempotent", "app", 1, bookingTimeout)); err != nil {
		return nil, err
	}
	answer := stream(6, 230*time.Millisecond)
	var current []*target
	for i := range releaseTargets {
		t, err := w.startTarget(fmt.Sprintf("llm-%03d", i), "llm", 64, rs, answer)
		if err != nil {
			return nil, err
		}
		current = append(current, t)
	}
	for i := range 4 {
		if _, err := w.startTarget(fmt.Sprint("app-", i), "app", 6, rs, plain(15*time.Millisecond, []byte("booked"))); err != nil {
			return nil, err
		}
	}
	g, err := w.startGateway("front-0")
	if err != nil {
		return nil, err
	}
	b := w.startBalancer()
	streams := &callers{
		w:        w,
		balancer: b,
		silent:   true,
	}
	bookings := &callers{
		w:        w,
		balancer: b,
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range streamCallers {
		streams.loop(&wg, stop, 100*time.Millisecond, func(one *caller, n int) {
			one.send(http.MethodPost, "/query/2f", []byte("question"), 4*time.Second, promptFields(i*1000+n)...)
		})
	}
	for range newCallers {
		bookings.loop(&wg, stop, 500*time.Millisecond, func(one *caller, _ int) {
			one.send(http.MethodPost, "/booking/2f", []byte("deposit"), orderTimeout)
			one.http.CloseIdleConnections()
		})
	}
	w.every(5*time.Second, func(int) {
		w.record.write("gateway front-0 has %d descriptors open; %d streams and %d bookings complete", g.descriptors(), streams.completed(), bookings.completed())
	})
	w.sleep(3 * time.Second)
	replaced := 0
	for began := time.Now(); time.Since(began) < releaseTime && len(bookings.unanswered()) < minUnanswered; {
		w.sleep(releaseGap)
		if !w.trouble {
			continue
		}
		next, err := w.startTarget(fmt.Sprintf("llm-%03d", releaseTargets+replaced), "llm", 64, rs, answer)
		if err != nil {
			return nil, err
		}
		old := current[0]
		current = append(current[1:], next)
		replaced++
		go old.leave(serveOn)
	}
	w.record.write("%d targets replaced", replaced)
	close(stop)
	wg.Wait()
	w.record.write("front-0 is running %t and ready %t after the callers have left", !g.hasEnded(), g.isReady())
	unanswered := bookings.unanswered()
	if len(unanswered) < minUnanswered || 2*len(unanswered) <= bookings.late() {
		return nil, nil
	}
	return unanswered, nil
}

// late returns the number of requests without an answer at their route's timeoutMs.
func (c *callers) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.results {
		if r.endAt.Sub(r.sentAt) >= bookingTimeout {
			n++
		}
	}
	return n
}

// unanswered returns the requests without an answer half a second after their route's timeoutMs. They break CONFIG if they are
// more than half of those without an answer at timeoutMs.
func (c *callers) unanswered() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	for _, r := range c.results {
		if took := r.endAt.Sub(r.sentAt); r.status == 0 && took >= bookingTimeout+answerSlack {
			broken = append(broken, fmt.Sprintf("CONFIG: %s had no answer %.3f s after it was sent, its route's timeoutMs is %d: %v", r.id, took.Seconds(), bookingTimeout.Milliseconds(), r.err))
		}
	}
	return broken
}
