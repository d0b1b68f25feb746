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

// Layout configures a cluster.
type Layout struct {
	Config        config.Record
	Engines       int
	PlainServices int
	Entries       int
	Zones         []waxwingpick.AvailabilityZone
	// EngineOptions are passed to each engine stand-in.
	EngineOptions []standinengine.Option
	// ExtraEngineOptions returns options for one engine stand-in in addition to EngineOptions; it may be nil.
	ExtraEngineOptions func(i int) []standinengine.Option
	// Policy decides the roles and models of engines; nil selects the role policy of the presets.
	Policy authority.Policy
	// LameDuck is how long a stopping entry still accepts requests.
	LameDuck time.Duration
	Log      *logrus.Logger
	// Decisions receives the decisions of the processes about requests; nil discards them.
	Decisions waxwingpick.DecisionLog
}

// Cluster is a complete system that runs in this process, on stand-ins for its external services.
type Cluster struct {
	// fleet is a unique fleet name, which keeps out the processes of other clusters on the same machine.
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
	// options holds the options of each sidecar, for its replacement.
	options   []sidecar.Options
	instances []waxwingpick.Instance
	// lastStarted is the index of the entry that was started last, including entries that were stopped since.
	lastStarted int
}

// NewCluster starts the stand-ins, the sidecars and the entries. It returns when the entries are ready.
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

// Timers returns the timer service that all processes of the cluster use.
func (c *Cluster) Timers() waxwingpick.Timers { return c.timers }

// Store returns the store of the key-value stand-in, which also injects its faults.
func (c *Cluster) Store() *memkv.Store { return c.etcd.Store() }

// KeyValueAddr returns the address of the key-value stand-in.
func (c *Cluster) KeyValueAddr() string { return c.kvAddr }

// Platform returns the stand-in for the platform, which serves the list of instances.
func (c *Cluster) Platform() *standinplatform.Platform { return c.platform }

// Engines returns the engine stand-ins, in the order of their sidecars.
func (c *Cluster) Engines() []*standinengine.Engine { return c.engines }

// Services returns the stand-ins for plain services.
func (c *Cluster) Services() []*standinservice.Service { return c.services }

// Sidecars returns the sidecar processes: those of engines, then those of plain services.
func (c *Cluster) Sidecars() []*sidecar.Process { return c.sidecars }

// Entries returns the running entry processes.
func (c *Cluster) Entries() []*entry.Process { return c.entries }

// Instances returns the cluster's rows in the platform's list, targets first.
func (c *Cluster) Instances() []waxwingpick.Instance { return c.instances }

// KeyValue returns a new client of the key-value service.
func (c *Cluster) KeyValue() (waxwingpick.KeyValue, error) {
	kv, err := etcd.New(c.kvAddr, etcd.WithTimers(c.timers))
	if err != nil {
		return nil, fmt.Errorf("create key-value client: %w", err)
	}
	return kv, nil
}

// Close stops all processes and stand-ins; ctx bounds the wait for running requests. It returns the first error.
func (c *Cluster) Close(ctx context.Context) error {
	var firstErr error
	recordErr := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	for _, e := range c.entries {
		recordErr(e.Stop(ctx))
	}
	for _, s := range c.sidecars {
		recordErr(s.Stop(ctx))
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
	return firstErr
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
	for i := range c.layout.PlainServices {
		if err := c.startPlain(i); err != nil {
			return err
		}
	}
	c.platform.Set(c.instances...)
	for i := range c.layout.Entries {
		if err := c.startEntry(i); err != nil {
			return err
		}
		c.lastStarted = i
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

// serviceOf returns the name of the first service of a kind in the configuration, or an empty name.
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
	if c.layout.ExtraEngineOptions != nil {
		opts = append(opts[:len(opts):len(opts)], c.layout.ExtraEngineOptions(i)...)
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
	o := c.sidecarOptions(config.KindEngine, i)
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
	o := c.sidecarOptions(config.KindPlain, i)
	o.Plain = client
	o.Alive = tcp.ReachableCheck(s.Addr(), dialTimeout)
	return c.startSidecar(o)
}

// sidecarOptions returns the options of the sidecar of the i-th target of a kind.
func (c *Cluster) sidecarOptions(kind config.TargetKind, i int) sidecar.Options {
	service := serviceOf(c.layout.Config, kind)
	name := fmt.Sprintf("%s-%d", service, i)
	return sidecar.Options{
		Instance: waxwingpick.InstanceID(name),
		Target:   waxwingpick.TargetID(name),
		Service:  service,
		Zone:     c.zone(i),
	}
}

// clients returns new clients of the key-value service and of the platform, which one process uses.
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
