package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["failing-target"] = failingTarget
}

const (
	// failingShare is the share of the requests that the failing target fails.
	failingShare   = 0.4
	failingTargets = 7
	failingTime    = 30 * time.Second
)

// failingTarget lets one target fail a share of its requests after it has run them, while its health check is good. It
// answers them 503, without stating that it has not run them.
func failingTarget(w *world) ([]string, error) {
	rs := newRuns()
	if err := w.configure(7, route("booking", "non_idempotent", "app", 1, orderTimeout)); err != nil {
		return nil, err
	}
	sound := plain(15*time.Millisecond, []byte("booked"))
	failing := func(t *target, rw http.ResponseWriter, r *http.Request) {
		if !w.trouble || rand.Float64() >= failingShare {
			sound(t, rw, r)
			return
		}
		time.Sleep(15 * time.Millisecond)
		w.record.write("target %s has run %s and answers 503", t.id, r.Header.Get("Waxwingpick-Request-Id"))
		rw.WriteHeader(http.StatusServiceUnavailable)
		_, _ = rw.Write([]byte("charged, but the confirmation could not be sent"))
	}
	for i := range failingTargets {
		answer := sound
		if i == 0 {
			answer = failing
		}
		if _, err := w.startTarget(fmt.Sprint("app-", i), "app", 6, rs, answer); err != nil {
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
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range 10 {
		c.loop(&wg, stop, 200*time.Millisecond, func(one *caller, _ int) {
			one.send(http.MethodPost, "/booking/2f", []byte("deposit"), orderTimeout)
		})
	}
	w.sleep(failingTime)
	close(stop)
	wg.Wait()
	return c.refused(rs), nil
}

// refused returns the breaks of REFUSED: requests that were answered with a status that promises that they have not run, though
// they have.
func (c *callers) refused(rs *runs) []string {
	var broken []string
	for _, r := range c.results {
		switch r.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			for _, ran := range rs.of(r.id) {
				broken = append(broken, fmt.Sprintf("REFUSED: %s was run by %s and answered %d", r.id, ran.target, r.status))
			}
		}
	}
	return broken
}
