package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"waxwingpick/internal/standin/store"
)

const (
	// startTimeout is how long a gateway may take to be ready.
	startTimeout = 15 * time.Second
	// stopTimeout is how long a gateway may take to stop; it is killed then.
	stopTimeout = 12 * time.Second
	// ackTimeout bounds a write of the operator or of a replica.
	ackTimeout = 5 * time.Second
)

// world is a small deployment on loopback addresses.
type world struct {
	program string
	dir     string
	store   *store.Server
	started time.Time
	// bounds and cloud are further settings of the gateways that are started next. bounds holds at least requireFencing.
	bounds string
	cloud  string

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
}

// gateway is one process of the system.
type gateway struct {
	name  string
	front string
	ready string
	cmd   *exec.Cmd
	ended chan struct{}
}

func newWorld(program, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "harness-2-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	s, err := store.New()
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	return &world{
		program: program,
		dir:     dir,
		store:   s,
		started: time.Now(),
		bounds:  "requireFencing = true\n",
		record:  f,
	}, nil
}

// log writes a line to the record, with the time since the start.
func (w *world) log(format string, args ...any) {
	w.logAt(time.Now(), format, args...)
}

func (w *world) logAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", at.Sub(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// put writes a key of the operator or of a replica and returns when the store has acknowledged it.
func (w *world) put(key string, value any) (time.Time, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	if err := w.store.Put(ctx, key, value); err != nil {
		return time.Time{}, fmt.Errorf("write %s: %w", key, err)
	}
	return time.Now(), nil
}

// address returns a loopback address of its own for the n-th machine of this run.
func address(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, n)
}

// freePort returns a port of an address that nothing uses.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, fmt.Errorf("find free port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// settings is the settings file of a gateway; the bounds are those of sites/tanzplan-fleet.toml.
const settings = `nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "at-ost"
internalPortRange = [%d,%d]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
at-ost-a = "at-ost"
at-ost-b = "at-ost"
at-ost-c = "at-ost"
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpuShare = 0.304
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
recoverS = 12
transitMs = 120
againS = 10
leaseMs = 3000
thawMs = 300
%s[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
%s`

func gatewayName(n int, zone string) string {
	return fmt.Sprintf("front-%s-%d", zone, n)
}

// startGateway starts a gateway with the command of the deploy file and waits until it is ready.
func (w *world) startGateway(n int, zone, storeAddr string) (*gateway, error) {
	ip := address(n)
	ports := make([]int, 3)
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	g := &gateway{
		name:  gatewayName(n, zone),
		front: fmt.Sprintf("%s:%d", ip, ports[0]),
		ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		ended: make(chan struct{}),
	}
	path := filepath.Join(w.dir, g.name+".toml")
	text := fmt.Sprintf(settings, g.name, ip, zone, ports[2], ports[2], ip, ports[0], ip, ports[1], w.bounds, storeAddr, w.cloud)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	out, err := os.Create(filepath.Join(w.dir, g.name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	defer out.Close()
	g.cmd = exec.Command(w.program, "gateway", "-metricsPort", "9464")
	g.cmd.Env = append(os.Environ(), "WAXWINGPICK_BOOT="+path)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", g.name, err)
	}
	go func() {
		defer close(g.ended)
		// The exit status of a stopped process does not matter.
		_ = g.cmd.Wait()
	}()
	w.gateways = append(w.gateways, g)
	return g, g.awaitReady()
}

func (g *gateway) awaitReady() error {
	client := http.Client{
		Timeout: time.Second,
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(g.name + " is not ready")
}

// stop ends a gateway with SIGTERM, and with SIGKILL if that takes too long.
func (g *gateway) stop() {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(stopTimeout):
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
}

// logsOf returns the lines of a gateway's log that contain one of the words.
func (w *world) logsOf(g *gateway, words ...string) []string {
	data, err := os.ReadFile(filepath.Join(w.dir, g.name+".log"))
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.SplitSeq(string(data), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				found = append(found, line)
				break
			}
		}
	}
	return found
}

// close ends all processes of the run.
func (w *world) close() {
	var stops sync.WaitGroup
	for _, g := range w.gateways {
		stops.Go(g.stop)
	}
	stops.Wait()
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}
