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
	// entryShare is the number of nodes for each entry.
	entryShare = 4
)

// node is one process of the fleet.
type node struct {
	instance waxwingpick.Instance
	client   *memkv.Client
	attach   attach
	list     *instancelist.Runner
	records  *records.Runner
	holder   *authority.Runner
}

// fleet is all processes, their network and their key-value service.
type fleet struct {
	timers   *timer.System
	kv       *memkv.Store
	net      carrier
	platform *platform
	nodes    []*node
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	// wanted selects the role of the target that changes.
	wanted atomic.Int64

	mu       sync.Mutex
	accepted map[string]acceptance
	times    *hdrhistogram.Histogram
}

// acceptance is the newest accepted revision of a record.
type acceptance struct {
	revision int64
	at       time.Time
}

func newFleet(size int, net carrier) (*fleet, error) {
	timers := timer.NewSystem()
	f := &fleet{
		timers:   timers,
		kv:       memkv.New(timers),
		net:      net,
		platform: &platform{},
		accepted: make(map[string]acceptance),
		times:    hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	if err := f.listen(size); err != nil {
		return nil, err
	}
	f.kv.Subscribe("waxwingpick/", f.written)
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

// listen gives each node its address, so that the platform's list is whole before the first of them starts.
func (f *fleet) listen(size int) error {
	for i := range size {
		n := &node{
			instance: instance(i),
			client:   f.kv.Client(),
		}
		var err error
		if n.instance.Control, n.attach, err = f.net.listen(n.instance.ID); err != nil {
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
	if *entries > 0 && i < *entries || *entries == 0 && i%entryShare == 0 {
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
	n.attach(n.records)
	n.records.Subscribe(f.watchNode(n))
	n.list.Subscribe(f.watchList(n))
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

// policy wants a plan of many replicas, one of which changes its role with each change.
func (f *fleet) policy(authority.Input) []plan.Wanted {
	change := f.wanted.Load()
	wanted := make([]plan.Wanted, 0, replicas)
	for i := range replicas {
		w := plan.Wanted{
			ID:       waxwingpick.TargetID(fmt.Sprintf("target-%04d", i)),
			Instance: waxwingpick.InstanceID(fmt.Sprintf("instance-%04d", i)),
			Zone:     waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
			Config: waxwingpick.EngineConfig{
				Model:   fmt.Sprintf("model-%d", i%7),
				Version: "2026.12.03",
			},
		}
		// Each change touches one replica; those before it keep the change.
		rounds := change / replicas
		if int64(i) < change%replicas {
			rounds++
		}
		w.Config.Role = waxwingpick.Role(rounds % 3)
		wanted = append(wanted, w)
	}
	return wanted
}

// switchPreset writes the next configuration as an operator does.
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

// written notes when the service accepted a record.
func (f *fleet) written(key string) {
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

// watchNode notes how long after its acceptance a record reached a node.
func (f *fleet) watchNode(n *node) func() {
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
				_ = f.times.RecordValue(max(now.Sub(a.at).Microseconds(), 1))
			}
			seen[key] = revision
		}
	}
}

// agreed reports whether every node holds the newest records.
func (f *fleet) agreed() bool {
	f.mu.Lock()
	cfg, planned := f.accepted[config.Key].revision, f.accepted[plan.Key(service)].revision
	f.mu.Unlock()
	for _, n := range f.nodes {
		_, c := n.records.Config()
		_, p := n.records.Plan(service)
		if c != cfg || p != planned || planned == 0 || !n.records.Learned() {
			return false
		}
	}
	return true
}

// holder returns the node that holds the authority.
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

// await waits until a condition holds and reports whether it did in time.
func await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
