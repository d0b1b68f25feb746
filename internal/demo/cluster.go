package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/timer"
	"waxwingpick/internal/authority"
	"waxwingpick/internal/entry"
	"waxwingpick/internal/loopback"
	"waxwingpick/internal/sidecar"
	standinengine "waxwingpick/internal/standin/engine"
	standinetcd "waxwingpick/internal/standin/etcd"
	"waxwingpick/internal/standin/memkv"
	standinplatform "waxwingpick/internal/standin/platform"
	standinservice "waxwingpick/internal/standin/service"
	"waxwingpick/io/engine"
	"waxwingpick/io/etcd"
	"waxwingpick/io/plain"
	"waxwingpick/io/platform"
	"waxwingpick/io/tcp"
)

const (
	maxBody     = 8 << 20
	readyPoll   = 20 * time.Millisecond
	dialTimeout = 200 * time.Millisecond
)

// Layout says what a cluster is made of.
type Layout struct {
	Config  config.Record
	Engines int
	Plains  int
	Entries int
	Zones   []waxwingpick.AvailabilityZone
	// EngineOptions are passed to each engine stand-in.
	EngineOptions []standinengine.Option
	// OwnOptions returns further options of one engine stand-in; nil where all have the same.
	OwnOptions func(i int) []standinengine.Option
	// Policy decides the roles and models of engines; nil takes the role policy of the presets.
	Policy authority.Policy
	// LameDuck is how long a stopping entry still takes requests.
	LameDuck time.Duration
	Log      *logrus.Logger
	// Decisions takes what the processes decide about requests; nil keeps none of it.
	Decisions waxwingpick.DecisionLog
}

// Cluster is a running system on stand-ins.
type Cluster struct {
	// fleet keeps processes of other clusters on the same machine out.
	fleet    string
	layout   Layout
	timers   *timer.System
	etcd     *standinetcd.Server
	kvAddr   string
	platform *standinplatform.Platform
	engines  []*standinengine.Engine
	services []*standinservice.Service
	sidecars []*sidecar.Process
	entries  []*entry.Process
	// options holds what each sidecar was started with.
	options   []sidecar.Options
	instances []waxwingpick.Instance
	// started counts the entries that were ever started.
	started int
}

// NewCluster starts the stand-ins, the sidecars and the entries, and returns once the entries are ready.
func NewCluster(ctx context.Context, layout Layout) (*Cluster, error) {
	c := &Cluster{
		fleet:  uuid.NewString(),
		layout: layout,
		timers: timer.NewSystem(),
	}
	if err := c.start(ctx); err != nil {
		c.Close(ctx)
		return nil, err
	}
	return c, nil
}

// Timers returns the timer service of the cluster.
func (c *Cluster) Timers() waxwingpick.Timers { return c.timers }

// Store returns the store of the key-value stand-in, with its fault switches.
func (c *Cluster) Store() *memkv.Store { return c.etcd.Store() }

// KeyValueAddr returns the address of the key-value service.
func (c *Cluster) KeyValueAddr() string { return c.kvAddr }

// Platform returns the stand-in of the platform's list.
func (c *Cluster) Platform() *standinplatform.Platform { return c.platform }

// Engines returns the engine stand-ins.
func (c *Cluster) Engines() []*standinengine.Engine { return c.engines }

// Services returns the stand-ins of plain services.
func (c *Cluster) Services() []*standinservice.Service { return c.services }

// Sidecars returns the sidecar processes, engines' first.
func (c *Cluster) Sidecars() []*sidecar.Process { return c.sidecars }

// Entries returns the entry processes.
func (c *Cluster) Entries() []*entry.Process { return c.entries }

// Instances returns the platform's rows of the cluster, targets first.
func (c *Cluster) Instances() []waxwingpick.Instance { return c.instances }

// KeyValue returns a client of the key-value service.
func (c *Cluster) KeyValue() (waxwingpick.KeyValue, error) {
	kv, err := etcd.New(c.kvAddr, etcd.WithTimers(c.timers))
	if err != nil {
		return nil, fmt.Errorf("create key-value client: %w", err)
	}
	return kv, nil
}

// Close stops everything; ctx bounds the wait for running requests.
func (c *Cluster) Close(ctx context.Context) error {
	var first error
	keep := func(err error) {
		if first == nil {
			first = err
		}
	}
	for _, e := range c.entries {
		keep(e.Stop(ctx))
	}
	for _, s := range c.sidecars {
		keep(s.Stop(ctx))
	}
	for _, e := range c.engines {
		e.Close()
	}
	for _, s := range c.services {
		s.Close()
	}
	if c.platform != nil {
		c.platform.Close()
	}
	if c.etcd != nil {
		c.etcd.Close()
	}
	c.timers.Close()
	return first
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startStandins(); err != nil {
		return err
	}
	if err := c.writeConfig(ctx); err != nil {
		return err
	}
	for i := range c.layout.Engines {
		if err := c.startEngine(i); err != nil {
			return err
		}
	}
	for i := range c.layout.Plains {
		if err := c.startPlain(i); err != nil {
			return err
		}
	}
	c.platform.Set(c.instances...)
	for i := range c.layout.Entries {
		if err := c.startEntry(i); err != nil {
			return err
		}
		c.started = i
	}
	c.platform.Set(c.instances...)
	return c.awaitReady(ctx)
}

func (c *Cluster) startStandins() error {
	var err error
	if c.etcd, err = standinetcd.New(standinetcd.WithTimers(c.timers)); err != nil {
		return fmt.Errorf("create key-value stand-in: %w", err)
	}
	if c.kvAddr, err = c.etcd.Start(loopback.AnyPort()); err != nil {
		return fmt.Errorf("start key-value stand-in: %w", err)
	}
	if c.platform, err = standinplatform.New(); err != nil {
		return fmt.Errorf("start platform stand-in: %w", err)
	}
	return nil
}

func (c *Cluster) writeConfig(ctx context.Context) error {
	return c.commit(ctx, config.ApplyRecord(c.layout.Config))
}

// serviceOf returns the first service of the kind in the configuration.
func serviceOf(cfg config.Record, kind config.TargetKind) waxwingpick.ServiceName {
	for _, s := range cfg.Services {
		if s.Kind == kind {
			return s.Name
		}
	}
	return ""
}

func (c *Cluster) zone(i int) waxwingpick.AvailabilityZone {
	return c.layout.Zones[i%len(c.layout.Zones)]
}

func (c *Cluster) startEngine(i int) error {
	opts := c.layout.EngineOptions
	if c.layout.OwnOptions != nil {
		opts = append(opts[:len(opts):len(opts)], c.layout.OwnOptions(i)...)
	}
	e, err := standinengine.New(opts...)
	if err != nil {
		return fmt.Errorf("start engine stand-in: %w", err)
	}
	c.engines = append(c.engines, e)
	client, err := engine.New(e.Addr())
	if err != nil {
		return fmt.Errorf("create engine client: %w", err)
	}
	o := c.beside(config.KindEngine, i)
	o.Engine = client
	return c.startSidecar(o)
}

func (c *Cluster) startPlain(i int) error {
	s, err := standinservice.New()
	if err != nil {
		return fmt.Errorf("start service stand-in: %w", err)
	}
	c.services = append(c.services, s)
	client, err := plain.New(s.Addr())
	if err != nil {
		return fmt.Errorf("create service client: %w", err)
	}
	o := c.beside(config.KindPlain, i)
	o.Plain = client
	o.Alive = tcp.Alive(s.Addr(), dialTimeout)
	return c.startSidecar(o)
}

// beside returns the options of a sidecar beside the target with a number.
func (c *Cluster) beside(kind config.TargetKind, i int) sidecar.Options {
	service := serviceOf(c.layout.Config, kind)
	name := fmt.Sprintf("%s-%d", service, i)
	return sidecar.Options{
		Instance: waxwingpick.InstanceID(name),
		Target:   waxwingpick.TargetID(name),
		Service:  service,
		Zone:     c.zone(i),
	}
}

// clients returns a process's own clients of the key-value service and the platform's list.
func (c *Cluster) clients() (waxwingpick.KeyValue, waxwingpick.Platform, error) {
	kv, err := c.KeyValue()
	if err != nil {
		return nil, nil, err
	}
	list, err := platform.New(c.platform.Addr())
	if err != nil {
		return nil, nil, fmt.Errorf("create platform client: %w", err)
	}
	return kv, list, nil
}

func (c *Cluster) startSidecar(o sidecar.Options) error {
	kv, list, err := c.clients()
	if err != nil {
		return err
	}
	o.Fleet = c.fleet
	o.Control = loopback.AnyPort()
	o.Data = loopback.AnyPort()
	o.KeyValue = kv
	o.Platform = list
	o.Timers = c.timers
	o.Log = c.layout.Log
	o.Decisions = c.layout.Decisions
	o.MaxBody = maxBody
	s, err := c.launchSidecar(o)
	if err != nil {
		return err
	}
	c.sidecars = append(c.sidecars, s)
	c.options = append(c.options, o)
	c.instances = append(c.instances, targetInstance(o, s))
	return nil
}

func (c *Cluster) launchSidecar(o sidecar.Options) (*sidecar.Process, error) {
	s, err := sidecar.New(o)
	if err != nil {
		return nil, fmt.Errorf("create sidecar: %w", err)
	}
	if err := s.Start(); err != nil {
		return nil, fmt.Errorf("start sidecar: %w", err)
	}
	return s, nil
}

func targetInstance(o sidecar.Options, s *sidecar.Process) waxwingpick.Instance {
	return waxwingpick.Instance{
		ID:      o.Instance,
		Kind:    waxwingpick.KindTarget,
		Zone:    o.Zone,
		Control: s.ControlAddr(),
		Data:    s.DataAddr(),
		Service: o.Service,
		Target:  o.Target,
	}
}

func (c *Cluster) startEntry(i int) error {
	kv, list, err := c.clients()
	if err != nil {
		return err
	}
	id := waxwingpick.InstanceID(fmt.Sprintf("entry-%d", i))
	e, err := entry.New(entry.Options{
		Fleet:     c.fleet,
		Instance:  id,
		Zone:      c.zone(i),
		Listen:    loopback.AnyPort(),
		Control:   loopback.AnyPort(),
		KeyValue:  kv,
		Platform:  list,
		Timers:    c.timers,
		Log:       c.layout.Log,
		Decisions: c.layout.Decisions,
		LameDuck:  c.layout.LameDuck,
		Policy:    c.layout.Policy,
		MaxBody:   maxBody,
	})
	if err != nil {
		return fmt.Errorf("create entry: %w", err)
	}
	if err := e.Start(); err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	c.entries = append(c.entries, e)
	c.instances = append(c.instances, waxwingpick.Instance{
		ID:      id,
		Kind:    waxwingpick.KindEntry,
		Zone:    c.zone(i),
		Control: e.ControlAddr(),
	})
	return nil
}
