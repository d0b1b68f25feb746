package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2 * time.Second
	contact   = 3 * time.Second
	// lateBy is how long after its call the store executes the heartbeat whose answer it lost. The pages allow 1 to 6 s.
	lateBy = 5550 * time.Millisecond
	// leaveAfter is the time from the last heartbeat before the leave to the report that the replica drains.
	leaveAfter = 700 * time.Millisecond
	// callInterval is the time between two requests of a client to one gateway.
	callInterval = 200 * time.Millisecond
	callTimeout  = 1500 * time.Millisecond
	// bookingWork is the mean work of a booking in sites/tanzplan-fleet.toml.
	bookingWork = 15 * time.Millisecond
	host        = "ficu95.example"
	prefix      = "/pule252/"
	apiKey      = "492cqf75rjvz48wuakn2"
)

// configuration has one route, of bookings, which must not be repeated.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name":            "r-booking",
			"host":            host,
			"pathPrefix":      prefix,
			"kind":            "non_idempotent",
			"timeoutMs":       800,
			"targetLatencyMs": 100,
			"priority":        2,
			"service":         "studio-app",
			"maxAttempts":     1,
			"sticky":          false,
			"resumable":       false,
		}},
		"services": []map[string]any{{
			"name":           "studio-app",
			"healthPath":     "/health",
			"maxConnections": 110,
			"protocol":       "h1",
			"tls":            false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes":  16384,
			"maxBodyBytes":    4194304,
			"headerTimeoutMs": 3000,
			"idleTimeoutMs":   15000,
		},
	}
}

// client sends bookings to one gateway at a steady rate until stop is closed.
func (w *world) client(g *gateway, stop <-chan struct{}) {
	c := http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 4,
		},
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		id := fmt.Sprintf("%s-%d", g.name, n)
		calls.Go(func() { w.book(&c, g, id) })
	}
}

// book sends one booking and records its answer.
func (w *world) book(c *http.Client, g *gateway, id string) {
	sent := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front+prefix+"2f", http.NoBody)
	if err != nil {
		panic(err) // The address is valid.
	}
	req.Host = host
	req.Header.Set("Waxwingpick-Request-Id", id)
	req.Header.Set("Waxwingpick-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if w.cloud != "" {
		req.Header.Set("Authorization", "Bearer "+apiKey)
	}
	response, err := c.Do(req)
	if err != nil {
		w.logAt(sent, "client sends %s, no answer: %v", id, err)
		return
	}
	defer response.Body.Close()
	w.logAt(sent, "client sends %s, answer %d %s", id, response.StatusCode, response.Header.Get("Waxwingpick-Server-Stamp"))
}

// beat writes the entry of a replica once per heartbeat until stop is closed.
func (w *world) beat(r *replica, state func() string, stop <-chan struct{}) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		entry := r.entry(state())
		if at, err := w.put(r.key(), entry); err == nil {
			w.logAt(at, "store has entry %d of %s: %s", entry["sequence"], r.id, entry["state"])
		}
	}
}

// lateHeartbeat lets the store lose the answer of one heartbeat and execute it seconds later, after the replica has reported that
// it drains.
func lateHeartbeat(w *world, trouble bool) error {
	if _, err := w.put("op/config", configuration(7)); err != nil {
		return err
	}
	zones := []string{"at-ost-a", "at-ost-b", "at-ost-c"}
	stop := make(chan struct{})
	var running sync.WaitGroup
	var replicas []*replica
	for i, zone := range zones {
		r, err := startReplica(fmt.Sprintf("i-%04d", i+1), "studio-app", zone, address(101+i), bookingWork)
		if err != nil {
			return err
		}
		defer r.exit()
		replicas = append(replicas, r)
		if _, err := w.put(r.key(), r.entry("ready")); err != nil {
			return err
		}
		if i > 0 {
			running.Go(func() { w.beat(r, func() string { return "ready" }, stop) })
		}
	}
	for i, zone := range zones {
		g, err := w.startGateway(i+1, zone, w.store.Addr())
		if err != nil {
			return err
		}
		running.Go(func() { w.client(g, stop) })
	}
	err := w.leaveWithLateHeartbeat(replicas[0], trouble)
	close(stop)
	running.Wait()
	return err
}

// leaveWithLateHeartbeat plays the last heartbeats of a replica and its leave, and judges what reached it then.
func (w *world) leaveWithLateHeartbeat(r *replica, trouble bool) error {
	next := time.Now().Add(heartbeat)
	wait := func() {
		time.Sleep(time.Until(next))
		next = next.Add(heartbeat)
	}
	write := func(entry map[string]any) (time.Time, error) {
		at, err := w.put(r.key(), entry)
		w.logAt(at, "store has entry %d of %s: %s", entry["sequence"], r.id, entry["state"])
		return at, err
	}
	wait()
	lost := r.entry("ready")
	executed := time.Now()
	if trouble {
		executed = executed.Add(lateBy)
		w.log("store loses the answer of entry %d of %s: ready", lost["sequence"], r.id)
	} else if _, err := write(lost); err != nil {
		return err
	}
	for range 2 {
		wait()
		if _, err := write(r.entry("ready")); err != nil {
			return err
		}
	}
	// The store has been without disruption for contactMs when the replica reports that it drains.
	time.Sleep(leaveAfter)
	next = time.Now().Add(heartbeat)
	r.leave()
	left, err := write(r.entry("draining"))
	if err != nil {
		return err
	}
	late := time.After(time.Until(executed))
	for end := left.Add(drainTime + contact); time.Now().Before(end); {
		select {
		case <-late:
			late = nil
			if !trouble {
				continue
			}
			w.log("store executes entry %d of %s", lost["sequence"], r.id)
			if _, err := write(lost); err != nil {
				return err
			}
		case <-time.After(time.Until(next)):
			next = next.Add(heartbeat)
			if _, err := write(r.entry("draining")); err != nil {
				return err
			}
		}
	}
	return w.judgeDrain(r, left)
}

// judgeDrain returns errBroken if a request reached a replica later than drainMs after the store acknowledged that it drains.
func (w *world) judgeDrain(r *replica, left time.Time) error {
	broken := r.after(left.Add(drainTime))
	for _, a := range broken {
		w.logAt(a.at, "DRAIN: %s reaches %s from %s, %d ms after the store acknowledged that it drains", a.id, r.id, a.gateway, a.at.Sub(left).Milliseconds())
	}
	w.log("%d requests reached %s before, %d too late", len(r.after(time.Time{}))-len(broken), r.id, len(broken))
	if len(broken) > 0 {
		return fmt.Errorf("DRAIN: %d requests: %w", len(broken), errBroken)
	}
	return nil
}
