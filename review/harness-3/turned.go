package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// movedService is the service to which the configuration moves a route.
	movedService = "ziti3c"
	// turnedTime is how long the store turns the machine away.
	turnedTime = 9 * time.Second
	// turnedLead is the time until the configuration is written. A watch that waits already may still be answered until then.
	turnedLead = 900 * time.Millisecond
	// applyTime and skewTime are configApplyMs and maxSkewMs of the settings.
	applyTime = 2 * time.Second
	skewTime  = 5 * time.Second
	// turnedPause is the time between two requests.
	turnedPause = 20 * time.Millisecond
)

// turnedCase has the store turn one of two machines away with 503, the only one of its zone, while the operator moves a route to another
// service. It breaks the rule if a request that is sent later than applyTime + skewTime after the acknowledgement is run by the old service.
func turnedCase(ctx context.Context, w *world, trouble bool) error {
	if err := w.startSite(ctx); err != nil {
		return err
	}
	for i := range 2 {
		if _, err := w.startReplica(fmt.Sprintf("i-moved%02d", i), movedService, "at-ost-b", false); err != nil {
			return err
		}
	}
	d, err := newDoor(ctx, w.store.Addr())
	if err != nil {
		return err
	}
	if _, err := w.startGateway("front-at-ost-a-1", "at-ost-a", "127.0.0.8", w.store.Addr()); err != nil {
		return err
	}
	g, err := w.startGateway("front-at-ost-b-1", "at-ost-b", "127.0.0.9", d.listener.Addr().String())
	if err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	if trouble {
		w.record.printf("the store answers 503 to the machine of at-ost-b for %s", turnedTime)
		d.shut.Store(true)
		time.AfterFunc(turnedTime, func() {
			d.shut.Store(false)
			w.record.printf("the store serves it again; %d calls were refused", d.refused.Load())
		})
	}
	sleep(ctx, turnedLead)
	w.config.rosterService = movedService
	if err := w.putConfig(ctx); err != nil {
		return err
	}
	acked := time.Now()
	w.record.printf("version %d moves roster-read to %s; acknowledged", w.config.version, movedService)
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent := make(map[string]time.Duration)
	counts := make(map[string]int)
	for time.Since(acked) < turnedTime+time.Second {
		wg.Go(func() {
			at := time.Since(acked)
			a := once(g.front, rosterRead)
			mu.Lock()
			defer mu.Unlock()
			sent[a.id] = at
			counts[a.String()]++
		})
		sleep(ctx, turnedPause)
	}
	wg.Wait()
	late, last := 0, time.Duration(0)
	for _, r := range w.all() {
		for _, ran := range r.allRuns() {
			if at, ours := sent[ran.id]; ours && r.service == plainService {
				last = max(last, at)
				if at > applyTime+skewTime {
					late++
				}
			}
		}
	}
	w.record.printf("answers: %v; the last request that the old service ran was sent %s after the acknowledgement", counts, last.Round(time.Millisecond))
	if counts["200"] == 0 {
		return fmt.Errorf("%w: no request answered with %d", errNoTrial, http.StatusOK)
	}
	if late > 0 {
		return fmt.Errorf("%w: CONFIG: %d requests sent later than %s after the acknowledgement were run by the old service", errBroken, late, applyTime+skewTime)
	}
	return nil
}
