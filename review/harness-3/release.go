package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// releaseRun is how long users come, and releaseAt when the first release begins.
	releaseRun = 94 * time.Second
	releaseAt  = 2 * time.Second
	// releaseGap is the time after which the next replicas are replaced, and releaseStep how many of each service.
	releaseGap  = time.Second
	releaseStep = 2
	// leavingTime is how long a replica that leaves still serves: drainMs of the settings and a little longer.
	leavingTime = 2500 * time.Millisecond
	// keepIdle is how long a client keeps its connection for another request. It may do so for four fifths of the configuration's
	// idle time-out.
	keepIdle = 10800 * time.Millisecond
	// recoverTime is recoverS of the settings.
	recoverTime = 12 * time.Second
	// triesTime is how long new clients try in the end, and triesPause the time between two of them.
	triesTime  = 3 * time.Second
	triesPause = 100 * time.Millisecond
)

// release replaces the replicas of a service, releaseStep at a time, until ctx ends. The new one starts first, the old one drains.
func (w *world) release(ctx context.Context, engine bool) {
	for n := 0; sleep(ctx, releaseGap); {
		for range releaseStep {
			old := w.oldest(engine)
			if old == nil {
				return
			}
			n++
			if _, err := w.startReplica(fmt.Sprintf("%s-r%03d", old.service, n), old.service, old.zone, engine); err != nil {
				w.record.printf("replica not started: %v", err)
				return
			}
			old.leave()
			_ = w.register(ctx, old)
			go func() {
				sleep(ctx, leavingTime)
				w.end(old)
			}()
		}
	}
}

// oldest returns the replica of a service that has been there for the longest time and does not leave.
func (w *world) oldest(engine bool) *replica {
	for _, r := range w.all() {
		if r.engine == engine && !r.leaving() {
			return r
		}
	}
	return nil
}

// end removes the entry of a replica, lets what it runs end, and closes it.
func (w *world) end(r *replica) {
	r.ended.Store(true)
	_ = w.store.Remove(context.Background(), "servers/"+r.id)
	ctx, cancel := context.WithTimeout(context.Background(), queryDeadline)
	defer cancel()
	_ = r.server.Shutdown(ctx)
	r.close()
}

func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = "draining"
}

func (r *replica) leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == "draining"
}

// visitors come each with a connection of their own, which they keep for a while after their request.
type visitors struct {
	addr string

	wg     sync.WaitGroup
	mu     sync.Mutex
	counts map[string]int
}

func (v *visitors) arrive(ctx context.Context, k kind) {
	t := time.NewTicker(time.Duration(float64(time.Second) / k.perSecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			v.wg.Go(func() { v.visit(ctx, k) })
		}
	}
}

func (v *visitors) visit(ctx context.Context, k kind) {
	a := answer{
		kind: k.name,
	}
	c, err := dial(v.addr)
	if err == nil {
		defer c.Close()
		a = c.do(k, k.deadline)
	}
	v.mu.Lock()
	v.counts[a.kind+" "+a.String()]++
	v.mu.Unlock()
	if err == nil && a.err == nil {
		sleep(ctx, keepIdle)
	}
}

func (v *visitors) take() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	counts := v.counts
	v.counts = make(map[string]int)
	return counts
}

// releaseCase has the replicas of both services replaced by one release after the other, while one front machine serves all users of the
// site. Then the users leave. It breaks the rule if the machine serves less than a quarter of the requests that are sent recoverTime later.
func releaseCase(ctx context.Context, w *world, trouble bool) error {
	if err := w.startSite(ctx); err != nil {
		return err
	}
	g, err := w.startGateway("front-at-ost-a-1", "at-ost-a", "127.0.0.5", w.store.Addr())
	if err != nil {
		return err
	}
	v := &visitors{
		addr:   g.front,
		counts: make(map[string]int),
	}
	arriving, leave := context.WithTimeout(ctx, releaseRun)
	defer leave()
	for _, k := range []kind{seasonReplan, teacherQuery, bookingCommit, rosterRead} {
		go v.arrive(arriving, k)
	}
	if trouble {
		time.AfterFunc(releaseAt, func() {
			w.record.printf("releases begin: %d replicas of each service are replaced every %s", releaseStep, releaseGap)
			go w.release(arriving, true)
			go w.release(arriving, false)
		})
	}
	for arriving.Err() == nil {
		sleep(arriving, 5*time.Second)
		w.record.printf("descriptors %d, ready %t, process runs %t, %d replicas so far; %v", g.descriptors(), g.isReady(), g.running(), len(w.all()), v.take())
	}
	w.record.printf("the users leave")
	sleep(ctx, recoverTime)
	v.wg.Wait()
	w.record.printf("descriptors %d, ready %t, process runs %t", g.descriptors(), g.isReady(), g.running())
	tried, served := 0, 0
	answers := make(chan answer, triesTime/triesPause+1)
	for end := time.Now().Add(triesTime); time.Now().Before(end); time.Sleep(triesPause) {
		tried++
		go func() { answers <- once(g.front, rosterRead) }()
	}
	for range tried {
		a := <-answers
		if a.err == nil && a.status == http.StatusOK {
			served++
		}
		w.record.printf("new client: %s after %s", a, a.took.Round(time.Millisecond))
	}
	w.record.printf("descriptors %d, ready %t, process runs %t", g.descriptors(), g.isReady(), g.running())
	if 4*served < tried {
		return fmt.Errorf("%w: RECOVER: %d of %d requests served later than %s after the users had left", errBroken, served, tried, recoverTime)
	}
	return nil
}
