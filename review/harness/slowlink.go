package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["stop-on-slow-link"] = stopOnSlowLink
}

const (
	// linkMegabits is the bandwidth at which each caller receives.
	linkMegabits  = 40
	recordBytes   = 7_500_000
	recordTimeout = 3 * time.Second
	// recordCallers send one request each in recordPeriod, which is within the time for which callers reuse idle connections.
	recordCallers = 24
	recordPeriod  = 6 * time.Second
)

// stopOnSlowLink stops the gateways in turn while callers with slow links receive answers.
func stopOnSlowLink(w *world) ([]string, error) {
	rs := newRuns()
	err := w.configure(7, route("record", "idempotent", "app", 2, recordTimeout))
	if err != nil {
		return nil, err
	}
	body := bytes.Repeat([]byte("0123456789"), recordBytes/10)
	for i := range 3 {
		if _, err := w.startTarget(fmt.Sprint("app-", i), "app", 6, rs, plain(15*time.Millisecond, body)); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		g, err := w.startGateway(fmt.Sprint("front-", i))
		if err != nil {
			return nil, err
		}
		if err := w.startLink(g, linkMegabits); err != nil {
			return nil, err
		}
	}
	c := &callers{
		w:        w,
		balancer: w.startBalancer(),
	}
	var stops []func()
	for range recordCallers {
		one := c.newCaller()
		stops = append(stops, w.every(recordPeriod, func(int) {
			one.send(http.MethodGet, "/record/2f", nil, recordTimeout)
		}))
		w.sleep(recordPeriod / recordCallers)
	}
	w.sleep(10 * time.Second)
	for i := range w.gateways {
		if w.trouble {
			g := w.gateway(i)
			g.term()
			if err := w.restart(g); err != nil {
				return nil, err
			}
		}
		w.sleep(10 * time.Second)
	}
	for _, stop := range stops {
		stop()
	}
	return c.lost(rs), nil
}
