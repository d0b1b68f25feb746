package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["overlapping-stops"] = overlappingStops
}

// secondStop is the time between the two stops of one machine.
const secondStop = time.Second

// overlappingStops sends a second SIGTERM to a gateway that is already stopping in order, as two planned tasks do that
// overlap.
func overlappingStops(w *world) ([]string, error) {
	rs := newRuns()
	err := w.configure(7,
		route("replan", "streaming", "llm", 1, streamTimeout),
		route("booking", "non_idempotent", "app", 1, orderTimeout))
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := w.startTarget(fmt.Sprint("llm-", i), "llm", 64, rs, stream(17, 70*time.Millisecond)); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		if _, err := w.startTarget(fmt.Sprint("app-", i), "app", 6, rs, plain(60*time.Millisecond, []byte("booked"))); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		if _, err := w.startGateway(fmt.Sprint("front-", i)); err != nil {
			return nil, err
		}
	}
	c := &callers{
		w:        w,
		balancer: w.startBalancer(),
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 8 {
		c.loop(&wg, stop, 50*time.Millisecond, func(one *caller, n int) {
			one.send(http.MethodPost, "/replan/2f", []byte("season"), streamTimeout, promptFields(i*1000+n)...)
		})
	}
	for range 4 {
		c.loop(&wg, stop, 100*time.Millisecond, func(one *caller, _ int) {
			one.send(http.MethodPost, "/booking/2f", []byte("deposit"), orderTimeout)
		})
	}
	w.sleep(6 * time.Second)
	w.gateways[0].term()
	if w.trouble {
		w.sleep(secondStop)
		w.gateways[0].term()
		w.sleep(grace + time.Second - secondStop)
	} else {
		w.sleep(grace + time.Second)
	}
	close(stop)
	wg.Wait()
	w.gateways[0].logged("signal", "stopp")
	return c.lost(rs), nil
}

// lost returns the requests that break LOST around a planned stop: a gateway passed them on, and their connection ended
// without a complete answer before the grace period and a second had passed. What the rule excuses is left out.
func (c *callers) lost(rs *runs) []string {
	var broken []string
	for _, r := range c.results {
		if r.err == nil || r.gateway == nil {
			continue
		}
		termAt, _ := r.gateway.stopped()
		passedOn := rs.of(r.id)
		if termAt.IsZero() || len(passedOn) == 0 || r.endAt.Before(termAt) || r.endAt.After(termAt.Add(grace+time.Second)) {
			continue
		}
		// A target that is still at work in the last sixth of the grace period excuses the end.
		if !passedOn[0].complete && r.endAt.After(termAt.Add(grace*5/6)) {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: %s was sent %.3f s before the stop of %s, passed on to %s, and ended %.3f s after the stop: status %d, %d bytes, %v",
			r.id, termAt.Sub(r.sentAt).Seconds(), r.gateway.name, passedOn[0].target, r.endAt.Sub(termAt).Seconds(), r.status, len(r.body), r.err))
	}
	return broken
}
