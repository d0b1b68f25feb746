package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// convergeTimeout bounds the wait until all nodes hold the same records.
const convergeTimeout = time.Minute

var (
	sizes     = flag.String("nodes", "10,50,200", "numbers of nodes, separated by commas")
	idle      = flag.Duration("idle", 10*time.Second, "time without changes that is measured")
	changes   = flag.Int("changes", 40, "number of changes, of the configuration and the plan in turn")
	spacing   = flag.Duration("spacing", 500*time.Millisecond, "time between two changes")
	useTCP    = flag.Bool("loopback", false, "carry the messages over TCP on loopback")
	entries   = flag.Int("entries", 0, "number of nodes that are entries; 0 for one in four")
	takeovers = flag.Int("takeovers", 3, "number of times that the holder is cut off")
)

func main() {
	flag.Parse()
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "nodes\tphase\tspread p50\tp99\tmax\tbytes/s/node\tmessages/s/node\treads/s\twrites/s\tlist reads/s\tCPU/node\theap/node")
	for _, text := range strings.Split(*sizes, ",") {
		size, err := strconv.Atoi(text)
		if err == nil {
			err = measure(w, size)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// counters is a reading of all counters of the fleet.
type counters struct {
	at       time.Time
	cpu      time.Duration
	bytes    int64
	messages int64
	reads    int64
	writes   int64
	lists    int64
}

func (f *fleet) counters() (counters, error) {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	s := counters{
		at:    time.Now(),
		cpu:   time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		lists: f.platform.reads.Load(),
	}
	var err error
	if s.messages, s.bytes, err = f.net.traffic(); err != nil {
		return s, err
	}
	for _, kind := range waxwingpick.KeyValueCalls() {
		if kind.Writes() {
			s.writes += f.kv.Calls(kind)
		} else {
			s.reads += f.kv.Calls(kind)
		}
	}
	return s, nil
}

func measure(w *tabwriter.Writer, size int) error {
	var net transport = &memTransport{
		handlers: make(map[waxwingpick.InstanceID]waxwingpick.PeerHandler),
	}
	if *useTCP {
		net = &tcpTransport{}
	}
	f, err := newFleet(size, net)
	if err != nil {
		return err
	}
	defer f.stop()
	if !await(convergeTimeout, f.converged) {
		return eris.Errorf("%d nodes did not agree within %s", size, convergeTimeout)
	}
	time.Sleep(2 * time.Second)
	before, err := f.counters()
	if err != nil {
		return err
	}
	time.Sleep(*idle)
	if err := f.report(w, "idle", before); err != nil {
		return err
	}
	if err := f.measureChanges(w); err != nil {
		return err
	}
	if err := f.measureLists(w); err != nil {
		return err
	}
	return f.measureTakeovers(w)
}

// measureLists measures the propagation of the platform's list over as many changes as measureChanges.
func (f *fleet) measureLists(w *tabwriter.Writer) error {
	f.mu.Lock()
	f.delays.Reset()
	f.mu.Unlock()
	before, err := f.counters()
	if err != nil {
		return err
	}
	for range *changes {
		f.platform.change()
		time.Sleep(*spacing)
	}
	if !await(convergeTimeout, f.listConverged) {
		return eris.Errorf("the nodes did not hold the same list within %s", convergeTimeout)
	}
	return f.report(w, "list", before)
}

func (f *fleet) measureChanges(w *tabwriter.Writer) error {
	f.mu.Lock()
	f.delays.Reset()
	f.mu.Unlock()
	before, err := f.counters()
	if err != nil {
		return err
	}
	for i := range *changes {
		if i%2 == 0 {
			f.roleChanges.Add(1)
		} else if _, err := f.switchPreset(); err != nil {
			return fmt.Errorf("switch preset: %w", err)
		}
		time.Sleep(*spacing)
	}
	if !await(convergeTimeout, f.converged) {
		return eris.Errorf("the nodes did not agree within %s", convergeTimeout)
	}
	return f.report(w, "changes", before)
}

// measureTakeovers disconnects the holder from the key-value service and measures the time until another node holds the
// authority.
func (f *fleet) measureTakeovers(w *tabwriter.Writer) error {
	var maxDelay, sum time.Duration
	for range *takeovers {
		old := f.holder()
		if old == nil {
			return eris.New("no node holds the authority")
		}
		started := time.Now()
		old.client.SetPartitioned(true)
		takenOver := func() bool {
			h := f.holder()
			return h != nil && h != old
		}
		if !await(convergeTimeout, takenOver) {
			return eris.Errorf("no takeover within %s", convergeTimeout)
		}
		took := time.Since(started)
		maxDelay = max(maxDelay, took)
		sum += took
		old.client.SetPartitioned(false)
		time.Sleep(2 * time.Second)
	}
	if *takeovers > 0 {
		fmt.Fprintf(w, "%d\ttakeover\tmean %s\t\tmax %s\n", len(f.nodes), (sum / time.Duration(*takeovers)).Round(time.Millisecond), maxDelay.Round(time.Millisecond))
	}
	return w.Flush()
}

func (f *fleet) report(w *tabwriter.Writer, phase string, before counters) error {
	after, err := f.counters()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(len(f.nodes))
	f.mu.Lock()
	p50 := time.Duration(f.delays.ValueAtQuantile(50)) * time.Microsecond
	p99 := time.Duration(f.delays.ValueAtQuantile(99)) * time.Microsecond
	maxDelay := time.Duration(f.delays.Max()) * time.Microsecond
	f.mu.Unlock()
	if phase == "idle" {
		p50, p99, maxDelay = 0, 0, 0
	}
	// Each byte is sent by one node and received by another, so it counts for two nodes.
	perNode := 2 * float64(after.bytes-before.bytes) / seconds / nodes
	fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f%%\t%.0f KB\n",
		len(f.nodes), phase, p50.Round(time.Millisecond/10), p99.Round(time.Millisecond/10), maxDelay.Round(time.Millisecond/10), perNode,
		2*float64(after.messages-before.messages)/seconds/nodes,
		float64(after.reads-before.reads)/seconds, float64(after.writes-before.writes)/seconds, float64(after.lists-before.lists)/seconds,
		100*(after.cpu-before.cpu).Seconds()/seconds/nodes, float64(heap())/1000/nodes)
	return nil
}

// heap returns the size of the live heap in bytes, after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
