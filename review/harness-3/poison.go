package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// poisonBody is the body of the request that crashes each replica that begins to run it.
	poisonBody = "a rework that crashes each replica that begins to run it"
	// poisonPause is the time after which such a request comes again, and poisonRun how long it does so.
	poisonPause = 2 * time.Second
	poisonRun   = 30 * time.Second
	// poisonDown is how long a crashed replica is down, and entryExpiry how long its entry stays.
	poisonDown  = 3 * time.Second
	entryExpiry = 3 * heartbeat
	// maxPoisonRetries is the number of retries that may reach replicas later than contactTime after the third crash.
	maxPoisonRetries = 3
	crashesBefore    = 3
)

// isPoison reports whether a request crashes the replica that runs it.
func isPoison(q *http.Request) bool {
	body, err := io.ReadAll(q.Body)
	return err == nil && string(body) == poisonBody
}

// replace ends a replica as a crash does, and starts it anew under another ID.
func (w *world) replace(ctx context.Context, r *replica, crash func(r *replica)) {
	r.close()
	go func() {
		if !sleep(ctx, poisonDown) {
			return
		}
		next, err := w.startReplica(r.id+"n", r.service, r.zone, r.engine)
		if err != nil {
			w.record.printf("replica not started: %v", err)
			return
		}
		next.crashOn(crash)
		if sleep(ctx, entryExpiry-poisonDown) {
			_ = w.store.Remove(ctx, "servers/"+r.id)
		}
	}()
}

// crashOn sets what is called when the replica begins to run a request that crashes it.
func (r *replica) crashOn(crash func(r *replica)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crash = crash
}

// poisonCase sends one request that crashes replicas again and again, with the same path and body and a query that counts the attempts.
// It breaks the rule if more than maxPoisonRetries of them reach replicas after the third crash.
func poisonCase(ctx context.Context, w *world, trouble bool) error {
	if err := w.startSite(ctx); err != nil {
		return err
	}
	g, err := w.startGateway("front-at-ost-a-1", "at-ost-a", "127.0.0.4", w.store.Addr())
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var crashes []time.Time
	var crash func(r *replica)
	crash = func(r *replica) {
		mu.Lock()
		crashes = append(crashes, time.Now())
		n := len(crashes)
		mu.Unlock()
		w.record.printf("crash %d: %s", n, r.id)
		w.replace(ctx, r, crash)
	}
	if trouble {
		for _, r := range w.all() {
			r.crashOn(crash)
		}
	}
	sending, stop := context.WithTimeout(ctx, poisonRun)
	defer stop()
	counts := make(map[string]int)
	var wg sync.WaitGroup
	for _, k := range []kind{seasonReplan, teacherQuery, bookingCommit, rosterRead} {
		go func() {
			for sleep(sending, time.Duration(float64(time.Second)/k.perSecond)) {
				wg.Go(func() {
					a := once(g.front, k)
					mu.Lock()
					defer mu.Unlock()
					counts[a.kind+" "+a.String()]++
				})
			}
		}()
	}
	ids := make(map[string]string)
	for n := 1; sleep(sending, poisonPause); n++ {
		k := seasonReplan
		if os.Getenv("CONSTANT") != "1" {
			k.path = fmt.Sprintf("%s?attempt=%d", replanPath, n)
		}
		k.body = poisonBody
		a := once(g.front, k)
		ids[a.id] = k.path
		w.record.printf("POST %s: %s", k.path, a)
	}
	wg.Wait()
	w.record.printf("other requests: %v", counts)
	var reached []time.Time
	for _, r := range w.all() {
		for _, ran := range r.allRuns() {
			if ids[ran.id] != "" {
				reached = append(reached, ran.at)
			}
		}
	}
	slices.SortFunc(reached, time.Time.Compare)
	late := 0
	if len(crashes) >= crashesBefore {
		for _, at := range reached {
			if at.Sub(crashes[crashesBefore-1]) > contactTime {
				late++
			}
		}
	}
	w.record.printf("%d attempts reached replicas, %d crashes, %d attempts later than %s after the third crash", len(reached), len(crashes), late, contactTime)
	if late > maxPoisonRetries {
		return fmt.Errorf("%w: BUDGET: a request that crashes replicas reached them in %d retries, later than %s after it had crashed the third", errBroken, late, contactTime)
	}
	return nil
}
