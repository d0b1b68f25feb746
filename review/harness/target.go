package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a target ran.
type run struct {
	target string
	at     time.Time
	method string
	uri    string
	body   []byte
	// complete is set once the target has written its whole answer.
	complete bool
}

// target is a replica of a service.
type target struct {
	w       *world
	id      string
	service string
	addr    string
	slots   int
	server  *http.Server
	born    int64
	running atomic.Int64
	answer  func(t *target, rw http.ResponseWriter, r *http.Request)
	runs    *runs
	// stopHeartbeat ends the heartbeat, and leaving means that the target drains.
	stopHeartbeat func()
	leaving       atomic.Bool
}

// runs holds what all targets ran, by request ID.
type runs struct {
	mu  sync.Mutex
	all map[string][]*run
}

// of returns the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []run
	for _, one := range r.all[id] {
		all = append(all, *one)
	}
	return all
}

func newRuns() *runs {
	return &runs{
		all: make(map[string][]*run),
	}
}

// startTarget starts a replica, which answers by the function and keeps itself listed.
func (w *world) startTarget(id, service string, slots int, rs *runs, answer func(t *target, rw http.ResponseWriter, r *http.Request)) (*target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for target: %w", err)
	}
	t := &target{
		w:       w,
		id:      id,
		service: service,
		addr:    ln.Addr().String(),
		slots:   slots,
		born:    time.Now().UnixMilli(),
		answer:  answer,
		runs:    rs,
	}
	t.server = &http.Server{
		Handler: http.HandlerFunc(t.serve),
	}
	go func() { _ = t.server.Serve(ln) }()
	w.mu.Lock()
	w.targets = append(w.targets, t)
	w.mu.Unlock()
	if err := t.announce(1); err != nil {
		return nil, err
	}
	t.stopHeartbeat = w.every(heartbeat, func(n int) { _ = t.announce(n + 1) })
	return t, nil
}

// leave drains the target as in a planned shutdown: it reports draining, serves on for a time, and exits.
func (t *target) leave(serveOn time.Duration) {
	t.stopHeartbeat()
	t.leaving.Store(true)
	if err := t.announce(leavingSequence); err != nil {
		return
	}
	t.w.record.write("target %s is draining", t.id)
	if !t.w.sleep(serveOn) {
		return
	}
	ctx, cancel := context.WithTimeout(t.w.ctx, exitTimeout)
	defer cancel()
	_ = t.server.Shutdown(ctx)
	_ = t.server.Close()
	_ = t.w.store.Remove(t.w.ctx, "servers/"+t.id)
	t.w.record.write("target %s has left", t.id)
}

const (
	// leavingSequence is higher than the sequence numbers of heartbeats.
	leavingSequence = 1 << 20
	// exitTimeout bounds the time for which a leaving target completes requests.
	exitTimeout = 5 * time.Second
)

// announce writes the entry of the target.
func (t *target) announce(sequence int) error {
	entry := map[string]any{
		"service":         t.service,
		"address":         t.addr,
		"zone":            zone,
		"version":         "v1",
		"slots":           t.slots,
		"state":           t.state(),
		"coldRemainingMs": 0,
		"sequence":        sequence,
		"born":            t.born,
	}
	if t.service == "llm" {
		entry["stage"] = "decode"
		entry["models"] = []any{map[string]any{
			"name":     "m",
			"version":  1,
			"adapters": []any{},
		}}
	}
	if err := t.w.store.Put(t.w.ctx, "servers/"+t.id, entry); err != nil {
		return fmt.Errorf("announce target: %w", err)
	}
	return nil
}

func (t *target) state() string {
	if t.leaving.Load() {
		return "draining"
	}
	return "ready"
}

func (t *target) close() {
	_ = t.server.Close()
}

// serve runs a request unless it expects another instance.
func (t *target) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Waxwingpick-Request-Id")
	h := rw.Header()
	h["Date"] = nil
	if t.leaving.Load() {
		h.Set("Connection", "close")
		h.Set("Server-Leaving", "1")
	}
	if id != "" {
		h.Set("Waxwingpick-Request-Id", id)
	}
	switch {
	case r.URL.Path == "/health":
		h.Set("Waxwingpick-Instance-Id", t.id)
		return
	case r.Header.Get("Waxwingpick-Expect-Instance") != t.id:
		h.Set("Waxwingpick-Instance-Id", t.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	one := &run{
		target: t.id,
		at:     time.Now(),
		method: r.Method,
		uri:    r.RequestURI,
		body:   body,
	}
	t.runs.mu.Lock()
	t.runs.all[id] = append(t.runs.all[id], one)
	t.runs.mu.Unlock()
	if !t.w.brief {
		t.w.record.write("target %s runs %s: %s %s, %d bytes, sum %s", t.id, id, r.Method, r.RequestURI, len(body), sum(body))
	}
	h.Set("Waxwingpick-Server-Stamp", t.id+"."+id)
	h.Set("Waxwingpick-Instance-Load", fmt.Sprintf("%d,0,%d", t.running.Add(1), t.slots))
	defer t.running.Add(-1)
	t.answer(t, rw, r)
	t.runs.mu.Lock()
	one.complete = r.Context().Err() == nil
	t.runs.mu.Unlock()
}

// sum returns a short digest of a body.
func sum(body []byte) string {
	s := sha256.Sum256(body)
	return fmt.Sprintf("%x", s[:6])
}

// stream writes events at a pace, as an engine does.
func stream(events int, pause time.Duration) func(*target, http.ResponseWriter, *http.Request) {
	return func(_ *target, rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(rw)
		for i := 1; i <= events; i++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			fmt.Fprintf(rw, "id: %d\ndata: piece %d of %d\n\n", i, i, events)
			_ = rc.Flush()
		}
	}
}

// plain writes a body after a time of work.
func plain(work time.Duration, body []byte) func(*target, http.ResponseWriter, *http.Request) {
	return func(_ *target, rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		rw.Header().Set("Content-Type", "application/octet-stream")
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = rw.Write(body)
	}
}
