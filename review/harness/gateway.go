package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings is the settings file of a small deployment, with the figures of the sheets.
const settings = `nodeName = "%[1]s"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "%[2]s"
region = "region"
internalPortRange = [%[3]s,%[3]s]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
%[2]s = "region"
[listen]
front = "%[4]s"
ready = "%[5]s"
[limits]
cpuShare = 0.304
cpuCores = 1
memoryMb = 284
maxFds = %[7]d
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
address = "%[6]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// maxFiles is the limit of descriptors of a process on the sheets' machines.
const maxFiles = 4100

// gateway is a process of the system under test.
type gateway struct {
	w     *world
	name  string
	front string
	ready string
	// metrics is the port of the metrics.
	metrics string
	cmd     *exec.Cmd
	ended   chan struct{}

	mu sync.Mutex
	// termAt is when the process got its first SIGTERM; zero if it got none.
	termAt time.Time
	endAt  time.Time
}

// startGateway starts a gateway with the command of the deploy file and waits until it is ready.
func (w *world) startGateway(name string) (*gateway, error) {
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	_, internal, err := net.SplitHostPort(addrs[0])
	if err != nil {
		return nil, fmt.Errorf("split address: %w", err)
	}
	_, metrics, err := net.SplitHostPort(addrs[3])
	if err != nil {
		return nil, fmt.Errorf("split address: %w", err)
	}
	g := &gateway{
		w:     w,
		name:  name,
		front: addrs[1],
		ready: addrs[2],
		ended: make(chan struct{}),
	}
	content := fmt.Sprintf(settings, name, zone, internal, g.front, g.ready, w.store.Addr(), maxFiles)
	if err := os.WriteFile(w.path(name+".toml"), []byte(content), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	g.metrics = metrics
	if err := g.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateways = append(w.gateways, g)
	return g, nil
}

// start starts the process with its settings file and waits until it is ready.
func (g *gateway) start() error {
	w := g.w
	log, err := os.OpenFile(w.path(g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	g.cmd = exec.Command("target/waxwingpickd", "gateway", "-metricsPort", g.metrics)
	if w.limitFiles {
		// The platform limits the descriptors of a process to maxFds.
		g.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/waxwingpickd gateway -metricsPort %s", maxFiles, g.metrics))
	}
	g.cmd.Env = append(os.Environ(), "WAXWINGPICK_BOOT="+w.path(g.name+".toml"))
	g.cmd.Stdout = log
	g.cmd.Stderr = log
	if err := g.cmd.Start(); err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	go g.wait()
	for began := time.Now(); !g.isReady(); time.Sleep(20 * time.Millisecond) {
		if g.hasEnded() || time.Since(began) > startTimeout {
			return fmt.Errorf("gateway %s is not ready:\n%s", g.name, g.log())
		}
	}
	w.record.write("gateway %s ready, pid %d, address for callers %s", g.name, g.cmd.Process.Pid, g.front)
	return nil
}

// restart starts the process of a gateway again after its end, and puts it in the former one's place.
func (w *world) restart(g *gateway) error {
	<-g.ended
	next := &gateway{
		w:       w,
		name:    g.name,
		front:   g.front,
		ready:   g.ready,
		metrics: g.metrics,
		ended:   make(chan struct{}),
	}
	if err := next.start(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.gateways {
		if w.gateways[i] == g {
			w.gateways[i] = next
		}
	}
	return nil
}

// gateway returns the process that is in a place now.
func (w *world) gateway(i int) *gateway {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gateways[i]
}

func (g *gateway) wait() {
	err := g.cmd.Wait()
	g.mu.Lock()
	g.endAt = time.Now()
	g.mu.Unlock()
	g.w.record.write("gateway %s ended: %v", g.name, err)
	close(g.ended)
}

// term sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (g *gateway) term() {
	g.mu.Lock()
	first := g.termAt.IsZero()
	if first {
		g.termAt = time.Now()
	}
	g.mu.Unlock()
	g.w.record.write("platform: SIGTERM to gateway %s", g.name)
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	if first {
		time.AfterFunc(grace, func() {
			if !g.hasEnded() {
				g.w.record.write("platform: SIGKILL to gateway %s", g.name)
				_ = g.cmd.Process.Kill()
			}
		})
	}
}

func (g *gateway) kill() {
	if !g.hasEnded() {
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
}

func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// stopped returns when the first SIGTERM came and when the process ended; zero if that did not happen.
func (g *gateway) stopped() (termAt, endAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.termAt, g.endAt
}

// log returns what the process logged.
func (g *gateway) log() string {
	content, err := os.ReadFile(g.w.path(g.name + ".log"))
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// descriptors returns the number of open descriptors of the process; zero if that is not known.
func (g *gateway) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(open)
}

// logged records the lines of the process's log that contain one of the texts.
func (g *gateway) logged(texts ...string) {
	for line := range strings.Lines(g.log()) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				g.w.record.write("log of %s: %s", g.name, strings.TrimSpace(line))
				break
			}
		}
	}
}

// isReady asks the process as the load balancer does.
func (g *gateway) isReady() bool {
	c := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := c.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// balancer picks gateways for new connections as the platform does: it asks each gateway once per second, and takes one out
// after two misses.
type balancer struct {
	w *world

	mu     sync.Mutex
	misses []int
	next   int
}

func (w *world) startBalancer() *balancer {
	b := &balancer{
		w:      w,
		misses: make([]int, len(w.gateways)),
	}
	for i := range w.gateways {
		w.every(time.Second, func(int) {
			g := w.gateway(i)
			ready := g.isReady()
			b.mu.Lock()
			defer b.mu.Unlock()
			b.misses[i]++
			if ready {
				b.misses[i] = 0
			}
			if b.misses[i] == maxMisses {
				w.record.write("balancer: gateway %s is out of rotation", g.name)
			}
		})
	}
	return b
}

// maxMisses is the number of consecutive misses that take a gateway out of rotation.
const maxMisses = 2

// pick returns the gateway for a new connection.
func (b *balancer) pick() *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.misses {
		b.next++
		if i := b.next % len(b.misses); b.misses[i] < maxMisses {
			return b.w.gateway(i)
		}
	}
	return b.w.gateway(0)
}
