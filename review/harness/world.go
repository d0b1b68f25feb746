package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"waxwingpick/internal/standin/store"
)

const (
	// heartbeat is the interval at which targets write their entries.
	heartbeat = 1200 * time.Millisecond
	// grace is the time between SIGTERM and SIGKILL, as in the sheets.
	grace = 8 * time.Second
	// startTimeout bounds the start of a gateway.
	startTimeout = 20 * time.Second
	// streamTimeout and orderTimeout are the deadlines of callers of the sheet.
	streamTimeout = 6 * time.Second
	orderTimeout  = 1500 * time.Millisecond
	zone          = "zone-a"
	host          = "shop.example"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// write adds a line with the time since the start of the case.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format, args...)
	fmt.Fprintln(r.file)
}

// world holds the processes and stand-ins of a case.
type world struct {
	// trouble is false if the case runs without its disruption.
	trouble  bool
	dir      string
	record   *record
	store    *store.Server
	gateways []*gateway
	targets  []*target
	stop     context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
	// mu protects gateways and targets.
	mu sync.Mutex
	// brief leaves single requests with complete answers out of the record.
	brief bool
	// limitFiles applies maxFds to the gateways, as the platform does.
	limitFiles bool
}

func newWorld(recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	s, err := store.New()
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0",
		dir:     dir,
		record: &record{
			start: time.Now(),
			file:  file,
		},
		store: s,
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w, nil
}

// closeEarly ends the case if a signal comes or its time is over. The rule is then not checked.
func (w *world) closeEarly(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-signals:
			w.record.write("ended by %v", s)
		case <-time.After(limit):
			w.record.write("ended after %v", limit)
		}
		w.close()
		os.Exit(exitNotRun)
	}()
}

// close ends every process and stand-in.
func (w *world) close() {
	w.stop()
	w.wg.Wait()
	for _, g := range w.gateways {
		g.kill()
	}
	for _, t := range w.targets {
		t.close()
	}
	w.store.Close()
	os.RemoveAll(w.dir)
}

// configure writes the operators' configuration.
func (w *world) configure(version int, routes ...map[string]any) error {
	services := []any{
		map[string]any{
			"name":           "llm",
			"healthPath":     "/health",
			"maxConnections": 370,
			"protocol":       "h1",
			"tls":            false,
			"engine": map[string]any{
				"slots":        64,
				"kvTokens":     435_004,
				"kvTokenBytes": 35_136,
				"linkMbps":     270_000.0,
				"handleTtlS":   5.0,
				"roleSwitchS":  3.0,
				"models": []any{map[string]any{
					"name": "m",
				}},
			},
		},
		map[string]any{
			"name":           "app",
			"healthPath":     "/health",
			"maxConnections": 110,
			"protocol":       "h1",
			"tls":            false,
		},
	}
	err := w.store.Put(w.ctx, "op/config", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"maxHeaderBytes":  16_384,
			"maxBodyBytes":    4_194_304,
			"headerTimeoutMs": 3_000,
			"idleTimeoutMs":   15_000,
		},
	})
	if err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	w.record.write("operator: configuration %d acknowledged", version)
	return nil
}

// route returns a route of the configuration. Its path prefix is its name.
func route(name, kind, service string, attempts int, timeout time.Duration) map[string]any {
	r := map[string]any{
		"name":            name,
		"host":            host,
		"pathPrefix":      "/" + name + "/",
		"kind":            kind,
		"timeoutMs":       timeout.Milliseconds(),
		"targetLatencyMs": 400,
		"priority":        1,
		"service":         service,
		"maxAttempts":     attempts,
	}
	if kind == "streaming" {
		r["sticky"] = true
		r["resumable"] = false
		r["gapAimMs"] = 300
	}
	return r
}

// freeAddr returns a loopback address that is not in use.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// path returns the path of a file in the case's temporary folder.
func (w *world) path(name string) string {
	return filepath.Join(w.dir, name)
}

// sleep waits, and returns false if the case ends before.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// every calls do at an interval until the case ends or until returns true.
func (w *world) every(interval time.Duration, do func(n int)) (stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				do(n)
			}
		}
	}()
	return cancel
}
