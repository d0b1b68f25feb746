package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// fronts is the number of front machines of sites/tanzplan-fleet.toml, over which its users are distributed.
	fronts = 5
	// contactTime is contactMs of the settings.
	contactTime = 3 * time.Second
	// minClients is the number of clients that have to try before a machine counts as one that takes no connection.
	minClients = 7
	// idleRun is how long users come. Connections that are kept open for all that time do not use up what a machine accepts, unless
	// there are more users than usual.
	idleRun = 54 * time.Second
	// burstTimes is by how much the users multiply in a burst of sites/tanzplan-fleet.toml, and burstTime how long it lasts. It begins
	// at burstAt.
	burstTimes = 1.9
	burstTime  = 14 * time.Second
	burstAt    = 5 * time.Second
)

// attempt is one client's try to be served on a new connection.
type attempt struct {
	at       time.Time
	answered bool
}

// users come each with a connection of their own, send one request, and keep the connection open without using it again.
type users struct {
	addr string

	wg       sync.WaitGroup
	mu       sync.Mutex
	attempts []attempt
	counts   map[string]int
	open     []*conn
}

// arrive lets users of a kind of request come at a rate until ctx ends.
func (u *users) arrive(ctx context.Context, k kind, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			u.wg.Go(func() { u.visit(k) })
		}
	}
}

// visit sends the request of one user.
func (u *users) visit(k kind) {
	tried := attempt{
		at: time.Now(),
	}
	a := answer{
		kind: k.name,
	}
	c, err := dial(u.addr)
	if err == nil {
		a = c.do(k, k.deadline)
		tried.answered = a.status != 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts = append(u.attempts, tried)
	u.counts[a.kind+" "+a.String()]++
	switch {
	case err != nil:
	case a.err != nil:
		c.Close()
	default:
		u.open = append(u.open, c)
	}
}

func (u *users) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.open {
		c.Close()
	}
}

// longestRefusal returns the longest time in which no attempt was answered, although enough clients tried.
func (u *users) longestRefusal() (begin time.Time, span time.Duration, clients int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	slices.SortFunc(u.attempts, func(a, b attempt) int { return a.at.Compare(b.at) })
	first := 0
	for i, a := range u.attempts {
		if a.answered {
			first = i + 1
			continue
		}
		if d := a.at.Sub(u.attempts[first].at); i+1-first >= minClients && d > span {
			begin, span, clients = u.attempts[first].at, d, i+1-first
		}
	}
	return begin, span, clients
}

// idleCase lets the users of one front machine come at the rate of the sheet, for a while at that of a burst. It breaks the rule if the
// machine takes no new connection for contactTime although it is ready.
func idleCase(ctx context.Context, w *world, trouble bool) error {
	if err := w.startSite(ctx); err != nil {
		return err
	}
	g, err := w.startGateway("front-at-ost-a-1", "at-ost-a", "127.0.0.2", w.store.Addr())
	if err != nil {
		return err
	}
	u := &users{
		addr:   g.front,
		counts: make(map[string]int),
	}
	defer u.close()
	arriving, leave := context.WithTimeout(ctx, idleRun)
	defer leave()
	kinds := []kind{seasonReplan, teacherQuery, bookingCommit, rosterRead}
	for _, k := range kinds {
		go u.arrive(arriving, k, k.perSecond/fronts)
	}
	began := time.Now()
	if trouble {
		go func() {
			if !sleep(arriving, burstAt) {
				return
			}
			w.record.printf("burst: %g times as many users for %s", burstTimes, burstTime)
			burst, end := context.WithTimeout(arriving, burstTime)
			defer end()
			for _, k := range kinds {
				go u.arrive(burst, k, (burstTimes-1)*k.perSecond/fronts)
			}
			<-burst.Done()
			w.record.printf("burst: over")
		}()
	}
	notReady := time.Time{}
	for n := 0; arriving.Err() == nil; n++ {
		ready := g.isReady()
		if !ready {
			notReady = time.Now()
		}
		if n%5 == 0 {
			w.record.printf("ready %t, process runs %t, descriptors %d, peak memory %s", ready, g.running(), g.descriptors(), g.peakMemory())
		}
		sleep(arriving, time.Second)
	}
	u.wg.Wait()
	begin, span, clients := u.longestRefusal()
	w.record.printf("%d users: %v", len(u.attempts), u.counts)
	w.record.printf("longest time without an answered attempt: %s, from %s after the first user, %d clients tried; last not ready: %t", span, begin.Sub(began), clients, !notReady.IsZero())
	if span >= contactTime && notReady.Before(begin) {
		return fmt.Errorf("%w: RECOVER: the machine was ready and took no new connection for %s, while %d clients tried", errBroken, span, clients)
	}
	return nil
}
