package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// slots and queue are those of studio-app in sites/tanzplan-fleet.toml.
	slots = 6
	queue = 24
)

// arrival is a request that reached a replica and was meant for it.
type arrival struct {
	id      string
	gateway string
	at      time.Time
	ran     bool
	body    []byte
}

// replica is a replica of a plain service, as the platform's pages describe it.
type replica struct {
	id      string
	service string
	zone    string
	work    time.Duration
	born    int64
	addr    string
	server  *http.Server
	running chan struct{}

	mu       sync.Mutex
	waiting  int
	sequence int64
	leaving  bool
	arrivals []arrival
}

// startReplica starts a replica that works for the given time on a request.
func startReplica(id, service, zone, ip string, work time.Duration) (*replica, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("start replica: %w", err)
	}
	r := &replica{
		id:      id,
		service: service,
		zone:    zone,
		work:    work,
		born:    time.Now().UnixMilli(),
		addr:    ln.Addr().String(),
		running: make(chan struct{}, slots),
	}
	r.server = &http.Server{
		Handler: http.HandlerFunc(r.serve),
	}
	go func() {
		// Serve ends when the replica exits.
		_ = r.server.Serve(ln)
	}()
	return r, nil
}

// entry returns the replica's next entry in the platform's store.
func (r *replica) entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service":         r.service,
		"address":         r.addr,
		"zone":            r.zone,
		"version":         "v1",
		"slots":           slots,
		"state":           state,
		"coldRemainingMs": 0,
		"sequence":        r.sequence,
		"born":            r.born,
	}
}

func (r *replica) key() string {
	return "servers/" + r.id
}

// leave makes all further answers say that the replica leaves.
func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// count adds a request that waits or runs, and returns how many there are.
func (r *replica) count(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting += n
	return r.waiting
}

func (r *replica) arrived(req *http.Request, ran bool) {
	at := time.Now()
	// A body that breaks off is recorded as far as it came.
	body, _ := io.ReadAll(req.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	host, _, _ := net.SplitHostPort(req.RemoteAddr)
	r.arrivals = append(r.arrivals, arrival{
		id:      req.Header.Get("Waxwingpick-Request-Id"),
		gateway: host,
		at:      at,
		ran:     ran,
		body:    body,
	})
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	id := req.Header.Get("Waxwingpick-Request-Id")
	switch expected := req.Header.Get("Waxwingpick-Expect-Instance"); {
	case req.URL.Path == "/health":
		w.Header().Set("Waxwingpick-Instance-Id", r.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case id == "":
		w.Header().Set("Waxwingpick-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != r.id:
		w.Header().Set("Waxwingpick-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Waxwingpick-Request-Id", id)
	calls := r.count(1)
	defer r.count(-1)
	w.Header().Set("Waxwingpick-Instance-Load", fmt.Sprintf("%d,%d,%d", min(calls, slots), max(0, calls-slots), slots))
	if calls > slots+queue {
		r.arrived(req, false)
		w.Header().Set("Waxwingpick-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.arrived(req, true)
	r.running <- struct{}{}
	time.Sleep(r.work)
	<-r.running
	w.Header().Set("Waxwingpick-Server-Stamp", "stamp-of-"+r.id+"-for-"+id)
	fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}

// after returns the requests that reached the replica after a time.
func (r *replica) after(at time.Time) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var late []arrival
	for _, a := range r.arrivals {
		if a.at.After(at) {
			late = append(late, a)
		}
	}
	return late
}

// exit closes all connections of the replica.
func (r *replica) exit() {
	r.server.Close()
}
