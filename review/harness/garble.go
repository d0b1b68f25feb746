package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["garble"] = garble
}

const (
	// spoiltTargets of the targets spoil a share of their answers, as garble does.
	spoiltTargets = 2
	spoiltShare   = 0.02
	spoiltBytes   = "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 31\r\n\r\n<html><body>It works!</body></h"
	garbleTime    = 40 * time.Second
)

// garble lets targets send bytes that are no answer of theirs in place of a few answers.
func garble(w *world) ([]string, error) {
	rs := newRuns()
	err := w.configure(7, route("booking", "non_idempotent", "app", 1, orderTimeout), route("roster", "idempotent", "app", 2, orderTimeout))
	if err != nil {
		return nil, err
	}
	sound := plain(15*time.Millisecond, bytes.Repeat([]byte("a"), 800))
	spoilt := func(t *target, rw http.ResponseWriter, r *http.Request) {
		if !w.trouble || rand.Float64() >= spoiltShare {
			sound(t, rw, r)
			return
		}
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		w.record.write("target %s sends bytes that are no answer to %s", t.id, r.Header.Get("Waxwingpick-Request-Id"))
		_, _ = io.WriteString(conn, spoiltBytes)
	}
	for i := range 4 {
		answer := sound
		if i < spoiltTargets {
			answer = spoilt
		}
		if _, err := w.startTarget(fmt.Sprint("app-", i), "app", 6, rs, answer); err != nil {
			return nil, err
		}
	}
	if _, err := w.startGateway("front-0"); err != nil {
		return nil, err
	}
	w.brief = true
	c := &callers{
		w:        w,
		balancer: w.startBalancer(),
		keepAll:  true,
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range 10 {
		c.loop(&wg, stop, 300*time.Millisecond, func(one *caller, _ int) {
			one.send(http.MethodPost, "/booking/2f", []byte("deposit"), orderTimeout)
		})
	}
	for range 5 {
		c.loop(&wg, stop, 300*time.Millisecond, func(one *caller, _ int) {
			one.send(http.MethodGet, "/roster/2f", nil, orderTimeout)
		})
	}
	w.sleep(garbleTime)
	close(stop)
	wg.Wait()
	w.record.write("%d answers", len(c.results))
	return c.unsigned(rs), nil
}

// unsigned returns the breaks of MIXED: successes without the stamp of the target that ran the request.
func (c *callers) unsigned(rs *runs) []string {
	var broken []string
	for _, r := range c.results {
		if r.err != nil || r.status < 200 || r.status > 299 {
			continue
		}
		stamp := r.header.Get("Waxwingpick-Server-Stamp")
		if id, _, _ := strings.Cut(stamp, "."); id == "" {
			broken = append(broken, fmt.Sprintf("MIXED: %s got status %d with stamp %q and body %q; run by %d targets", r.id, r.status, stamp, r.body[:min(len(r.body), 40)], len(rs.of(r.id))))
		}
	}
	return broken
}
