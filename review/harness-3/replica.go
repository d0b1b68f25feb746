package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the replicas of sites/tanzplan-fleet.toml.
const (
	engineSlots       = 64
	engineQueue       = 192
	engineConnections = 370
	firstToken        = 90 * time.Millisecond
	stepTime          = 4550 * time.Microsecond
	stepTimePerSlot   = 181 * time.Microsecond
	tokensPerEvent    = 7
	eventsPerStream   = 6

	plainSlots       = 6
	plainQueue       = 24
	plainConnections = 110
	plainWork        = 15 * time.Millisecond

	heartbeat = 1200 * time.Millisecond
)

// run is a request that a replica began to run.
type run struct {
	id      string
	uri     string
	replica string
	at      time.Time
}

// replica is a stand-in for a model replica or a plain service.
type replica struct {
	id      string
	service string
	zone    string
	engine  bool
	born    int64
	slots   int
	queue   int

	listener net.Listener
	server   *http.Server
	places   chan struct{}
	inside   atomic.Int64
	running  atomic.Int64
	open     atomic.Int64
	ended    atomic.Bool

	mu       sync.Mutex
	sequence int64
	state    string
	runs     []run
	// failEvery makes the replica fail every run of that number with failStatus, at the end of its work, unless it is zero.
	failEvery  int
	failStatus int
	// crash, if set, is called with a request whose body is poison when the replica begins to run it.
	crash func(r *replica)
}

// startReplica starts a replica and registers it.
func (w *world) startReplica(id, service, zone string, engine bool) (*replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start replica: %w", err)
	}
	r := &replica{
		id:       id,
		service:  service,
		zone:     zone,
		engine:   engine,
		born:     time.Now().UnixMilli(),
		slots:    plainSlots,
		queue:    plainQueue,
		listener: ln,
		state:    "ready",
	}
	connections := int64(plainConnections)
	if engine {
		r.slots, r.queue, connections = engineSlots, engineQueue, engineConnections
	}
	r.places = make(chan struct{}, r.slots)
	r.server = &http.Server{
		Handler:           r,
		ReadHeaderTimeout: time.Minute,
		ConnState: func(c net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				if r.open.Add(1) > connections {
					_ = c.(*net.TCPConn).SetLinger(0)
					c.Close()
				}
			case http.StateClosed, http.StateHijacked:
				r.open.Add(-1)
			case http.StateActive, http.StateIdle:
			}
		},
	}
	go func() { _ = r.server.Serve(ln) }()
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	return r, w.register(context.Background(), r)
}

// register writes the entry of a replica.
func (w *world) register(ctx context.Context, r *replica) error {
	if err := w.store.Put(ctx, "servers/"+r.id, r.entry()); err != nil {
		return fmt.Errorf("register %s: %w", r.id, err)
	}
	return nil
}

// beat writes the entries of all replicas until ctx ends.
func (w *world) beat(ctx context.Context) {
	for sleep(ctx, heartbeat) {
		for _, r := range w.all() {
			if !r.ended.Load() {
				_ = w.register(ctx, r)
			}
		}
	}
}

// all returns the replicas that were started so far.
func (w *world) all() []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*replica(nil), w.replicas...)
}

func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e := map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.engine {
		e["stage"] = "decode"
		e["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e
}

func (r *replica) close() {
	r.ended.Store(true)
	_ = r.server.Close()
}

// failPart makes the replica fail every run of a number with a status; zero makes it sound again.
func (r *replica) failPart(every, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failEvery, r.failStatus = every, status
}

// allRuns returns what the replica began to run.
func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// ServeHTTP answers one request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "decode", "born": r.born})
		return
	case q.URL.Path == "/health":
		w.Header().Set("Waxwingpick-Instance-Id", r.id)
		return
	case strings.HasPrefix(q.URL.Path, "/kv-handle/"):
		return
	}
	id := q.Header.Get("Waxwingpick-Request-Id")
	w.Header().Set("Waxwingpick-Request-Id", id)
	if q.Header.Get("Waxwingpick-Expect-Instance") != r.id {
		w.Header().Set("Waxwingpick-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	inside := r.inside.Add(1)
	defer r.inside.Add(-1)
	w.Header().Set("Waxwingpick-Instance-Load", fmt.Sprintf("%d,%d,%d", r.running.Load(), max(0, inside-r.running.Load()-1), r.slots))
	ctx, cancel := context.WithTimeout(q.Context(), deadlineOf(q))
	defer cancel()
	if inside > int64(r.slots+r.queue) || !r.takePlace(ctx) {
		w.Header().Set("Waxwingpick-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.places }()
	r.running.Add(1)
	defer r.running.Add(-1)
	r.mu.Lock()
	r.runs = append(r.runs, run{
		id:      id,
		uri:     q.RequestURI,
		replica: r.id,
		at:      time.Now(),
	})
	crash := r.crash
	fails := r.failEvery > 0 && len(r.runs)%r.failEvery == 0
	status := r.failStatus
	r.mu.Unlock()
	if crash != nil && isPoison(q) {
		crash(r)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Waxwingpick-Server-Stamp", "stamp-of-"+r.id+"-"+id)
	if r.engine {
		r.stream(ctx, w, q)
		return
	}
	if !sleep(ctx, plainWork) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if fails {
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, "failure of %s after it ran %s", r.id, id)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}

// takePlace waits for a slot.
func (r *replica) takePlace(ctx context.Context) bool {
	select {
	case r.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// stream sends the events after the one that the request names.
func (r *replica) stream(ctx context.Context, w http.ResponseWriter, q *http.Request) {
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if !sleep(ctx, firstToken) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= eventsPerStream; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, q.Header.Get("Waxwingpick-Request-Id")); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if i < eventsPerStream && !sleep(ctx, tokensPerEvent*(stepTime+time.Duration(r.running.Load())*stepTimePerSlot)) {
			panic(http.ErrAbortHandler)
		}
	}
}

// deadlineOf returns how long the sender of a request waits.
func deadlineOf(q *http.Request) time.Duration {
	ms, err := strconv.Atoi(q.Header.Get("Waxwingpick-Deadline-Ms"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
