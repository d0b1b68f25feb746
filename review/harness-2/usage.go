package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// cutTime is the length of the cut; the site file has node_cut for 5.5 s.
	cutTime = 5500 * time.Millisecond
	// thaw is thawMs: calls that arrive so soon after a link has healed do not count.
	thaw = 300 * time.Millisecond
	// calmReports is the number of reports before the cut, and reportTimeout how long they may take.
	calmReports   = 3
	reportTimeout = 40 * time.Second
	// settleTimeout is how long the next settled window may take; a window has 5 s.
	settleTimeout = 15 * time.Second
	// afterCut is how long the case goes on after the cut.
	afterCut = 12 * time.Second
)

// usageBounds are the settings of a gateway with the duty to report usage, as in demands/prairieslopes-grown.toml.
const usageBounds = `requireFencing = false
strictRevoke = false
revokeMs = 5000
usageWindowS = 5
usageTolerance = 0.05
usageLateS = 10
`

// usageCloud is the settings of the platform's API for duties.
const usageCloud = `[cloud]
address = %q
ratePerS = 50.0
duties = ["usage","scale"]
dutyPerS = 50.0
`

// report is a call that the platform got.
type report struct {
	at     time.Time
	holder string
	token  int64
	window int64
	counts map[string]int64
}

// platformAPI is the platform's API for duties. It does not check fences.
type platformAPI struct {
	w      *world
	addr   string
	server *http.Server

	mu      sync.Mutex
	reports []report
}

func startPlatformAPI(w *world) (*platformAPI, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start platform API: %w", err)
	}
	p := &platformAPI{
		w:    w,
		addr: ln.Addr().String(),
	}
	p.server = &http.Server{
		Handler: http.HandlerFunc(p.serve),
	}
	go func() {
		// Serve ends with the case.
		_ = p.server.Serve(ln)
	}()
	return p, nil
}

func (p *platformAPI) serve(w http.ResponseWriter, req *http.Request) {
	r := report{
		at:     time.Now(),
		holder: req.Header.Get("Waxwingpick-Duty-Holder"),
	}
	var body struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}
	var err error
	r.token, err = strconv.ParseInt(req.Header.Get("Waxwingpick-Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(req.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.window, r.counts = body.Window, body.Counts
	p.mu.Lock()
	p.reports = append(p.reports, r)
	p.mu.Unlock()
	p.w.logAt(r.at, "platform gets the report of window %d from %s with token %d: %v", r.window, r.holder, r.token, r.counts)
	w.Header().Set("Keep-Alive", "timeout=15")
}

func (p *platformAPI) all() []report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]report(nil), p.reports...)
}

// node is a gateway with its links to the platform.
type node struct {
	*gateway
	store *link
	api   *link
}

// heldReport cuts the holder of the usage duty off from the platform after it has settled a window and before it has reported it.
func heldReport(w *world, trouble bool) error {
	api, err := startPlatformAPI(w)
	if err != nil {
		return err
	}
	defer api.server.Close()
	config := configuration(7)
	config["tenants"] = []map[string]any{{
		"name":    "huka270",
		"apiKeys": []string{apiKey},
	}}
	if _, err := w.put("op/config", config); err != nil {
		return err
	}
	r, err := startReplica("i-0001", "studio-app", "at-ost-a", address(101), bookingWork)
	if err != nil {
		return err
	}
	defer r.exit()
	if _, err := w.put(r.key(), r.entry("ready")); err != nil {
		return err
	}
	w.bounds = usageBounds
	stop := make(chan struct{})
	var running sync.WaitGroup
	settled := make(chan string, 1)
	nodes := make(map[string]*node)
	for i, zone := range []string{"at-ost-a", "at-ost-b"} {
		n, err := w.startNode(i+1, zone, api.addr, settled)
		if err != nil {
			return err
		}
		defer n.store.close()
		defer n.api.close()
		nodes[n.name] = n
		running.Go(func() { w.client(n.gateway, stop) })
	}
	err = w.cutHolder(api, nodes, settled, trouble)
	close(stop)
	running.Wait()
	return err
}

// startNode starts a gateway behind links of its own. Its name is sent to settled when the store has acknowledged a settled
// window.
func (w *world) startNode(i int, zone, api string, settled chan<- string) (*node, error) {
	n := &node{}
	var err error
	if n.store, err = newLink(w.store.Addr()); err != nil {
		return nil, err
	}
	if n.api, err = newLink(api); err != nil {
		return nil, err
	}
	name := gatewayName(i, zone)
	var mu sync.Mutex
	asked := false
	n.store.observe = func(sent bool, data []byte) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case sent && contains(data, "POST /kv-txn", "usage/settled"):
			asked = true
		case !sent && asked && contains(data, `"revision"`):
			asked = false
			select {
			case settled <- name:
			default:
			}
		}
	}
	n.store.start()
	n.api.start()
	w.cloud = fmt.Sprintf(usageCloud, n.api.addr)
	n.gateway, err = w.startGateway(i, zone, n.store.addr)
	return n, err
}

// cutHolder cuts the holder off after some reports, right after the store has acknowledged that it settled a window, and judges the
// calls that the platform gets.
func (w *world) cutHolder(api *platformAPI, nodes map[string]*node, settled <-chan string, trouble bool) error {
	for end := time.Now().Add(reportTimeout); len(api.all()) < calmReports; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("only %d reports in %s", len(api.all()), reportTimeout)
		}
	}
	for len(settled) > 0 {
		<-settled
	}
	var name string
	select {
	case name = <-settled:
	case <-time.After(settleTimeout):
		return fmt.Errorf("no window settled in %s", settleTimeout)
	}
	n := nodes[name]
	var healedAt time.Time
	if trouble {
		// The acknowledgement has to reach the gateway.
		time.Sleep(2 * time.Millisecond)
		n.store.cut()
		n.api.cut()
		w.log("%s is cut off from the platform", name)
		time.Sleep(cutTime)
		n.store.heal()
		n.api.heal()
		healedAt = time.Now()
		w.log("the links of %s are healed", name)
	}
	time.Sleep(afterCut)
	return w.judgeReports(api.all(), name, healedAt)
}

// judgeReports returns errBroken if the platform got a lower token after a higher one, two holders used one token, or two reports
// of a window differ.
func (w *world) judgeReports(reports []report, cut string, healedAt time.Time) error {
	broken := 0
	highest := report{}
	holders := make(map[int64]string)
	windows := make(map[int64]map[string]int64)
	for _, r := range reports {
		excused := r.holder == cut && r.at.After(healedAt) && r.at.Sub(healedAt) <= thaw
		switch counts, known := windows[r.window]; {
		case r.token < highest.token && excused:
			w.logAt(r.at, "a lower token within thawMs of the end of the cut: does not count")
		case r.token < highest.token:
			broken++
			w.logAt(r.at, "ONE: the platform gets token %d of %s after token %d of %s, %d ms after the end of the cut",
				r.token, r.holder, highest.token, highest.holder, r.at.Sub(healedAt).Milliseconds())
		case holders[r.token] != "" && holders[r.token] != r.holder:
			broken++
			w.logAt(r.at, "ONE: %s and %s use token %d", holders[r.token], r.holder, r.token)
		case known && !maps.Equal(counts, r.counts):
			broken++
			w.logAt(r.at, "ONE: two reports of window %d differ", r.window)
		}
		holders[r.token] = r.holder
		windows[r.window] = r.counts
		if r.token > highest.token {
			highest = r
		}
	}
	w.log("the platform got %d reports, %d break the rule", len(reports), broken)
	if broken > 0 {
		return fmt.Errorf("ONE: %d calls: %w", broken, errBroken)
	}
	return nil
}
