package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// backlogRate is the link of a larger front machine of grown/cacao-lotes-grown.toml, 200 Mbit/s, in bytes per second.
	backlogRate = 200_000_000 / 8
	// manyRoutes is the number of routes that the configuration grows by, and backlogCut how long the machine is cut off from the store.
	manyRoutes = 1640
	backlogCut = 9 * time.Second
	// Each of backlogStorms brings a version every stormGap for stormTime.
	backlogStorms = 2
	stormTime     = 4 * time.Second
	stormGap      = 330 * time.Millisecond
	// drainTime and contactAgain are drainMs and contactMs of that site.
	drainTime    = 3 * time.Second
	contactAgain = 4 * time.Second
	// watchTime is how long requests are observed after the replica has reported that it leaves. The store keeps its history for all of
	// that time.
	watchTime = 5500 * time.Millisecond
)

// backlogCase cuts a machine off from the store while configurations come in quick succession. Later, when the machine counts as in touch
// again, a replica reports that it leaves. It breaks the rule if requests reach that replica drainTime later.
func backlogCase(ctx context.Context, w *world, trouble bool) error {
	w.config.extra = manyRoutes
	if err := w.startSite(ctx); err != nil {
		return err
	}
	l, err := newLink(ctx, w.store.Addr(), backlogRate)
	if err != nil {
		return err
	}
	g, err := w.startGateway("front-at-ost-a-1", "at-ost-a", "127.0.0.6", l.listener.Addr().String())
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for sleep(sending, time.Duration(float64(time.Second)/bookingCommit.perSecond)) {
			wg.Go(func() {
				a := once(g.front, bookingCommit)
				mu.Lock()
				defer mu.Unlock()
				counts[a.String()]++
			})
		}
	}()
	sleep(ctx, 3*time.Second)
	if trouble {
		w.record.printf("cut off from the store for %s", backlogCut)
		l.cut.Store(true)
	}
	cutAt := time.Now()
	for storm := range backlogStorms {
		for begin := time.Now(); time.Since(begin) < stormTime; sleep(ctx, stormGap) {
			if err := w.putConfig(ctx); err != nil {
				return err
			}
		}
		w.record.printf("configurations in quick succession, %d of %d: version %d", storm+1, backlogStorms, w.config.version)
	}
	sleep(ctx, time.Until(cutAt.Add(backlogCut)))
	l.cut.Store(false)
	w.record.printf("link whole again")
	sleep(ctx, contactAgain)
	leaving := w.firstOf(plainService)
	leaving.leave()
	if err := w.register(ctx, leaving); err != nil {
		return err
	}
	acked := time.Now()
	w.record.printf("%s reports that it leaves; acknowledged by the store", leaving.id)
	sleep(ctx, watchTime)
	stop()
	wg.Wait()
	late := 0
	for _, ran := range leaving.allRuns() {
		if ran.at.Sub(acked) > drainTime {
			late++
		}
	}
	w.record.printf("answers: %v; %d requests reached %s later than %s after that", counts, late, leaving.id, drainTime)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached a replica more than %s after it had reported that it leaves", errBroken, late, drainTime)
	}
	return nil
}

// firstOf returns the first replica of a service.
func (w *world) firstOf(service string) *replica {
	for _, r := range w.all() {
		if r.service == service {
			return r
		}
	}
	return nil
}

func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = "draining"
}
