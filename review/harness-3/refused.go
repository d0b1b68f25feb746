package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// greyTime is how long a replica fails a part of its requests, and greyEvery which part: one in greyEvery.
	greyTime  = 6500 * time.Millisecond
	greyEvery = 3
	// refusedLead and refusedTail are the times before and after in which all replicas are sound.
	refusedLead = 3 * time.Second
	refusedTail = 3 * time.Second
)

// refusedCase has one of the replicas of a plain service fail a part of its requests: it runs them and answers 503, without stating that
// it didn't run them. It breaks the rule if a client is told with a promise that its booking has not run.
func refusedCase(ctx context.Context, w *world, trouble bool) error {
	if err := w.startSite(ctx); err != nil {
		return err
	}
	g, err := w.startGateway("front-at-ost-a-1", "at-ost-a", "127.0.0.3", w.store.Addr())
	if err != nil {
		return err
	}
	var grey *replica
	for _, r := range w.all() {
		if !r.engine {
			grey = r
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	sending, stop := context.WithTimeout(ctx, refusedLead+greyTime+refusedTail)
	defer stop()
	if trouble {
		time.AfterFunc(refusedLead, func() {
			w.record.printf("%s fails one in %d of its requests with 503 for %s", grey.id, greyEvery, greyTime)
			grey.failPart(greyEvery, http.StatusServiceUnavailable)
		})
		time.AfterFunc(refusedLead+greyTime, func() { grey.failPart(0, 0) })
	}
	for t := time.NewTicker(time.Duration(float64(time.Second) / bookingCommit.perSecond)); sending.Err() == nil; {
		select {
		case <-sending.Done():
		case <-t.C:
			wg.Go(func() {
				a := once(g.front, bookingCommit)
				mu.Lock()
				defer mu.Unlock()
				answers[a.id] = a
			})
		}
	}
	wg.Wait()
	runs := make(map[string]string)
	for _, r := range w.all() {
		for _, ran := range r.allRuns() {
			runs[ran.id] = ran.replica
		}
	}
	counts, broken := make(map[string]int), 0
	for id, a := range answers {
		counts[a.String()]++
		promised := a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests ||
			a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest)
		if by, ran := runs[id]; ran && promised {
			broken++
			w.record.printf("%s was run by %s, and its client got %d, stamp %q, body %q", id, by, a.status, a.header.Get("Waxwingpick-Server-Stamp"), a.body)
		}
	}
	w.record.printf("%d bookings sent, %d run; answers: %v", len(answers), len(runs), counts)
	if broken > 0 {
		return fmt.Errorf("%w: REFUSED: %d bookings have run, and their clients got a status that promises the contrary", errBroken, broken)
	}
	return nil
}
