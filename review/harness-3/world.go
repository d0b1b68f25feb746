package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick/internal/standin/server"
	"waxwingpick/internal/standin/store"
)

const (
	// program is what the deploy file builds, and the arguments are those of its role.
	program     = "target/waxwingpickd"
	metricsPort = "9464"
	// host is the host name of all routes.
	host = "ficu95.example"
	// readyTimeout bounds the wait until a gateway is ready.
	readyTimeout = 15 * time.Second
	// idleTimeout is how long a client may stay idle by the configuration.
	idleTimeout = 15 * time.Second
)

var errNotReady = eris.New("gateway is not ready")

// record writes what happens to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{
		file:  f,
		began: time.Now(),
	}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// limits are the limits of a front machine.
type limits struct {
	descriptors int
	memoryMB    int
	cores       float64
}

// frontLimits are those of sites/tanzplan-fleet.toml.
var frontLimits = limits{
	descriptors: 4100,
	memoryMB:    284,
	cores:       0.304,
}

// world is one deployment: a store, replicas and gateways.
type world struct {
	record   *record
	dir      string
	limits   limits
	store    *store.Server
	config   *configuration
	gateways []*gateway

	mu       sync.Mutex
	replicas []*replica
}

// newWorld starts a store without keys.
func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	s, err := store.New(server.Addr("127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	return &world{
		record: r,
		dir:    dir,
		limits: frontLimits,
		store:  s,
		config: &configuration{
			rosterService: plainService,
		},
	}, nil
}

// close ends every process and stand-in.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, r := range w.all() {
		r.close()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}

// putConfig writes the configuration as its next version.
func (w *world) putConfig(ctx context.Context) error {
	w.config.version++
	if err := w.store.Put(ctx, "op/config", w.config.encode()); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}

// startSite starts the replicas of sites/tanzplan-fleet.toml, and writes their entries and the configuration.
func (w *world) startSite(ctx context.Context) error {
	const engines, plain = 12, 4
	for i := range engines {
		if _, err := w.startReplica(fmt.Sprintf("i-engine%02d", i), engineService, "at-ost-a", true); err != nil {
			return err
		}
	}
	for i := range plain {
		if _, err := w.startReplica(fmt.Sprintf("i-plain%02d", i), plainService, "at-ost-a", false); err != nil {
			return err
		}
	}
	go w.beat(ctx)
	return w.putConfig(ctx)
}

// gateway is one process of the system.
type gateway struct {
	name  string
	ip    string
	front string
	ready string
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
}

// startGateway starts a gateway on its own loopback address with the command of the deploy file, and waits until it is ready.
func (w *world) startGateway(name, zone, ip, storeAddr string) (*gateway, error) {
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		name:  name,
		ip:    ip,
		front: net.JoinHostPort(ip, ports[0]),
		ready: net.JoinHostPort(ip, ports[1]),
		ended: make(chan struct{}),
	}
	settings := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(settings, []byte(settingsOf(g, w.limits, zone, ports[2], storeAddr)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if g.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	// The platform limits the descriptors of a process to maxFds of its settings.
	g.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s gateway -metricsPort %s", w.limits.descriptors, program, metricsPort))
	g.cmd.Env = append(os.Environ(), "WAXWINGPICK_BOOT="+settings)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	if err := g.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start gateway: %w", err)
	}
	go func() {
		_ = g.cmd.Wait()
		close(g.ended)
	}()
	w.gateways = append(w.gateways, g)
	return g, g.awaitReady(readyTimeout)
}

func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s after %s", errNotReady, g.name, limit)
}

// isReady asks for readiness as the platform does, on a new connection.
func (g *gateway) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) signal(s syscall.Signal) error {
	if err := g.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", g.name, err)
	}
	return nil
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

func (g *gateway) kill() {
	if g.running() {
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
	g.log.Close()
}

// descriptors returns the number of open descriptors of the process.
func (g *gateway) descriptors() int {
	entries, err := os.ReadDir("/proc/" + strconv.Itoa(g.cmd.Process.Pid) + "/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemory returns the largest resident size of the process so far, as the kernel states it.
func (g *gateway) peakMemory() string {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(g.cmd.Process.Pid) + "/status")
	if err != nil {
		return "unknown"
	}
	for line := range strings.Lines(string(data)) {
		if size, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(size)
		}
	}
	return "unknown"
}

// freePorts returns free TCP ports of an address.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("find free port: %w", err)
		}
		defer ln.Close()
		_, port, _ := net.SplitHostPort(ln.Addr().String())
		ports = append(ports, port)
	}
	return ports, nil
}

// settingsOf returns the settings file of a front machine, with the bounds of sites/tanzplan-fleet.toml.
func settingsOf(g *gateway, l limits, zone, internalPort, storeAddr string) string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "at-ost"
internalPortRange = [%s,%s]
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
at-ost-d = "at-ost"
[listen]
front = %q
ready = %q
[limits]
cpuShare = %g
cpuCores = 1
memoryMb = %d
maxFds = %d
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
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
requireFencing = true
leaseMs = 3000
thawMs = 300
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, g.name, g.ip, zone, internalPort, internalPort, g.front, g.ready, l.cores, l.memoryMB, l.descriptors, storeAddr)
}
