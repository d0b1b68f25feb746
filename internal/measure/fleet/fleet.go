package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
	"waxwingpick/core/timer"
	"waxwingpick/internal/authority"
	"waxwingpick/internal/instancelist"
	"waxwingpick/internal/records"
	"waxwingpick/internal/standin/memkv"
)

const (
	service waxwingpick.ServiceName = "maestro"
	// replicas is the number of targets in the plan.
	replicas = 600
	zones    = 9
	// nodesPerEntry is the number of nodes per entry, if -entries is 0.
	nodesPerEntry = 4
)

// node is one process of the fleet.
type node struct {
	instance   waxwingpick.Instance
	client     *memkv.Client
	setHandler setHandler
	list       *instancelist.Runner
	records    *records.Runner
	holder     *authority.Runner
}

// fleet holds all nodes, their transport and their key-value service.
type fleet struct {
	timers   *timer.System
	kv       *memkv.Store
	net      transport
	platform *platform
	nodes    []*node
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	// roleChanges is the number of role changes so far.
	roleChanges atomic.Int64

	mu       sync.Mutex
	accepted map[string]acceptance
	delays   *hdrhistogram.Histogram
}

// acceptance is the newest accepted revision of a record and the time of its acceptance.
type acceptance struct {
	revision int64
	at       time.Time
}

func newFleet(size int, net transport) (*fleet, error) {
	timers := timer.NewSystem()
	f := &fleet{
		timers:   timers,
		kv:       memkv.New(timers),
		net:      net,
		platform: &platform{},
		accepted: make(map[string]acceptance),
		delays:   hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	if err := f.listen(size); err != nil {
		return nil, err
	}
	f.kv.Subscribe("waxwingpick/", f.recordAccepted)
	if _, err := f.switchPreset(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, n := range f.nodes {
		if err := f.start(ctx, n); err != nil {
			cancel()
			return nil, err
		}
	}
	return f, nil
}

// listen opens an address for each node, so that the platform's list is complete before the first node starts.
func (f *fleet) listen(size int) error {
	for i := range size {
		n := &node{
			instance: instance(i),
			client:   f.kv.Client(),
		}
		var err error
		if n.instance.Control, n.setHandler, err = f.net.listen(n.instance.ID); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		f.platform.list = append(f.platform.list, n.instance)
	}
	return nil
}

func instance(i int) waxwingpick.Instance {
	inst := waxwingpick.Instance{
		ID:      waxwingpick.InstanceID(fmt.Sprintf("instance-%04d", i)),
		Kind:    waxwingpick.KindTarget,
		Zone:    waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
		Service: service,
		Target:  waxwingpick.TargetID(fmt.Sprintf("target-%04d", i)),
	}
	if *entries > 0 && i < *entries || *entries == 0 && i%nodesPerEntry == 0 {
		inst.Kind = waxwingpick.KindEntry
	}
	return inst
}

func (f *fleet) start(ctx context.Context, n *node) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	peers, err := f.net.peers()
	if err != nil {
		return err
	}
	n.list = instancelist.New(n.instance, f.platform, f.timers, instancelist.WithLog(log))
	n.records, err = records.New(n.instance, n.client, f.timers, peers, n.list.Instances, records.WithLog(log), records.WithList(n.list))
	if err != nil {
		return fmt.Errorf("start records: %w", err)
	}
	n.setHandler(n.records)
	n.records.Subscribe(f.observeRecords(n))
	n.list.Subscribe(f.observeList(n))
	for _, run := range []func(context.Context){n.list.Run, n.records.Run} {
		f.wg.Go(func() {
			run(ctx)
		})
	}
	if n.instance.Kind != waxwingpick.KindEntry {
		return nil
	}
	n.holder, err = authority.New(n.instance.ID, n.client, f.timers, n.records, n.list.Instances, authority.WithLog(log), authority.WithPolicy(f.policy))
	if err != nil {
		return fmt.Errorf("start authority: %w", err)
	}
	f.wg.Go(func() {
		n.holder.Run(ctx)
	})
	return nil
}

func (f *fleet) stop() {
	f.cancel()
	f.wg.Wait()
	f.net.close()
	f.timers.Close()
}

// policy returns a plan of many replicas, one of which changes its role with each change.
func (f *fleet) policy(authority.Input) []plan.DesiredTarget {
	change := f.roleChanges.Load()
	desired := make([]plan.DesiredTarget, 0, replicas)
	for i := range replicas {
		w := plan.DesiredTarget{
			ID:       waxwingpick.TargetID(fmt.Sprintf("target-%04d", i)),
			Instance: waxwingpick.InstanceID(fmt.Sprintf("instance-%04d", i)),
			Zone:     waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
			Config: waxwingpick.EngineConfig{
				Model:   fmt.Sprintf("model-%d", i%7),
				Version: "2026.12.03",
			},
		}
		// Each change applies to the next replica; the changes of earlier replicas persist.
		rounds := change / replicas
		if int64(i) < change%replicas {
			rounds++
		}
		w.Config.Role = waxwingpick.Role(rounds % 3)
		desired = append(desired, w)
	}
	return desired
}

// switchPreset writes a configuration with the next preset, as an operator does, and returns its revision.
func (f *fleet) switchPreset() (int64, error) {
	client := f.kv.Client()
	e, err := client.Get(context.Background(), config.Key)
	if err != nil {
		return 0, err
	}
	rec := sampleConfig()
	if e.Exists() {
		if err := json.Unmarshal(e.Value, &rec); err != nil {
			return 0, fmt.Errorf("decode configuration: %w", err)
		}
	}
	rec.Revision++
	rec.InForce = rec.Presets[int(rec.Revision)%len(rec.Presets)].Name
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encode configuration: %w", err)
	}
	stored, err := client.CompareAndSwap(context.Background(), config.Key, e.Revision, value, 0)
	return stored.Revision, err
}

func sampleConfig() config.Record {
	rec := config.Record{
		Services: []config.Service{{
			Name: service,
			Kind: config.KindEngine,
		}},
	}
	for _, name := range []string{"ordinary", "peak", "maintenance"} {
		rec.Presets = append(rec.Presets, config.Preset{
			Name: name,
		})
	}
	for i := range 7 {
		rec.Services[0].Models = append(rec.Services[0].Models, config.Model{
			Name:    fmt.Sprintf("model-%d", i),
			Version: "2026.12.03",
		})
	}
	return rec
}

// recordAccepted records when the key-value service accepted a configuration or plan.
func (f *fleet) recordAccepted(key string) {
	if key != config.Key && key != plan.Key(service) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted[key] = acceptance{
		revision: f.kv.Revision(),
		at:       time.Now(),
	}
}

// observeRecords returns a callback that records the delay from the acceptance of a record to its arrival at a node.
func (f *fleet) observeRecords(n *node) func() {
	seen := make(map[string]int64)
	return func() {
		now := time.Now()
		_, cfg := n.records.Config()
		_, planned := n.records.Plan(service)
		f.mu.Lock()
		defer f.mu.Unlock()
		for key, revision := range map[string]int64{config.Key: cfg, plan.Key(service): planned} {
			a := f.accepted[key]
			if revision == a.revision && revision != seen[key] {
				_ = f.delays.RecordValue(max(now.Sub(a.at).Microseconds(), 1))
			}
			seen[key] = revision
		}
	}
}

// converged reports whether every node holds the newest configuration and plan.
func (f *fleet) converged() bool {
	f.mu.Lock()
	cfg, planned := f.accepted[config.Key].revision, f.accepted[plan.Key(service)].revision
	f.mu.Unlock()
	for _, n := range f.nodes {
		_, c := n.records.Config()
		_, p := n.records.Plan(service)
		if c != cfg || p != planned || planned == 0 || !n.records.Synced() {
			return false
		}
	}
	return true
}

// holder returns the node that holds the authority, or nil.
func (f *fleet) holder() *node {
	for _, n := range f.nodes {
		if n.holder == nil {
			continue
		}
		for _, h := range n.holder.Holdings() {
			if h.Held && h.Holder == n.instance.ID {
				return n
			}
		}
	}
	return nil
}

// await polls a condition and reports whether it held within the limit.
func await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
