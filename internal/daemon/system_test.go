package daemon_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
	"waxwingpick/internal/demo"
	"waxwingpick/internal/loopback"
	standinengine "waxwingpick/internal/standin/engine"
	standinetcd "waxwingpick/internal/standin/etcd"
	standinplatform "waxwingpick/internal/standin/platform"
	standinservice "waxwingpick/internal/standin/service"
	"waxwingpick/io/etcd"
	"waxwingpick/io/operator"
)

const (
	plainService = "studio-app"
	nodesPerKind = 2
	firstPort    = 10_000
	// bookingTime is the duration of a booking. It is long enough that some bookings are running when a fault is injected.
	bookingTime = 200 * time.Millisecond
	// maxConcurrentSystems limits the number of systems that run at the same time.
	maxConcurrentSystems = 8
)

// lastPort is the offset from firstPort of the last port assigned to a daemon. Ports below the ephemeral range, on a
// loopback address derived from the ID of this process, do not collide with those of other processes.
var lastPort atomic.Int32

func daemonAddr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8&0x7f, pid&0xff, firstPort+lastPort.Add(1))
}

// node is one daemon, with a relay on each of its outgoing connections.
type node struct {
	instance waxwingpick.Instance
	listen   string
	list     *standinplatform.Platform
	kv       *relay
	target   *relay
	control  map[waxwingpick.InstanceID]*relay
	data     map[waxwingpick.InstanceID]*relay
	proc     *proc
	args     []string
}

// system is a fleet of separate daemons with relays between all of them. Their stand-ins run in the test process. There
// are two nodes of each kind. The first ones form one region and the second ones another.
type system struct {
	t *testing.T
	// fleet is a unique name, so that systems on the same machine do not interfere with each other.
	fleet    string
	store    *standinetcd.Server
	kvAddr   string
	kv       *etcd.Client
	status   *operator.Client
	engines  []*standinengine.Engine
	services []*standinservice.Service
	// nodes contains the sidecars of engines, the sidecars of plain services and the entries, in this order.
	nodes []*node
	// roleChangeEngine is the index of the engine whose role changes.
	roleChangeEngine int
	// changeAccepted is true if the operator's change among the faults was accepted.
	changeAccepted bool
}

func systemConfig() config.Record {
	classes := []config.ClassPolicy{{
		Class:     waxwingpick.ClassQuick,
		Deadline:  config.Duration(5 * time.Second),
		Objective: 0.95,
	}, {
		Class:     waxwingpick.ClassLong,
		Deadline:  config.Duration(20 * time.Second),
		Objective: 0.95,
	}, {
		Class:     waxwingpick.ClassOrder,
		Deadline:  config.Duration(3 * time.Second),
		Objective: 0.99,
	}}
	return config.Record{
		Revision: 1,
		ChangeID: "first",
		InForce:  "ordinary",
		Presets: []config.Preset{{
			Name:                "ordinary",
			Classes:             classes,
			RoleChangesInFlight: 1,
		}, {
			Name:                "peak",
			Classes:             classes,
			RoleChangesInFlight: 1,
			Roles: []config.RoleBounds{{
				Service: service,
				Role:    waxwingpick.RolePrefill,
				Min:     1,
				Max:     1,
			}, {
				Service: service,
				Role:    waxwingpick.RoleMixed,
				Min:     1,
				Max:     1,
			}},
		}, {
			Name:                "maintenance",
			Classes:             classes,
			RoleChangesInFlight: 1,
		}},
		Services: []config.Service{{
			Name:          service,
			Kind:          config.KindEngine,
			ChecksFencing: true,
			Models: []config.Model{{
				Name:    model,
				Version: "1",
			}},
		}, {
			Name: plainService,
			Kind: config.KindPlain,
		}},
		Limits: config.Limits{
			RetryBudget: 0.1,
		},
	}
}

// systemSlots limits the number of running systems.
var systemSlots = make(chan struct{}, maxConcurrentSystems)

// startSystem waits for a slot and starts a system that runs until the end of the test.
func startSystem(t *testing.T) *system {
	t.Helper()
	systemSlots <- struct{}{}
	t.Cleanup(func() {
		<-systemSlots
	})
	s := &system{
		t:     t,
		fleet: uuid.NewString(),
	}
	var err error
	s.store, err = standinetcd.New()
	require.NoError(t, err)
	s.kvAddr, err = s.store.Start(loopback.AnyPort())
	require.NoError(t, err)
	t.Cleanup(s.store.Close)
	s.kv, err = etcd.New(s.kvAddr)
	require.NoError(t, err)
	t.Cleanup(s.kv.Close)
	s.status, err = operator.NewClient()
	require.NoError(t, err)
	t.Cleanup(s.status.Close)
	s.commit(config.ApplyRecord(systemConfig()))
	for i := range nodesPerKind {
		s.addEngine(i)
	}
	for i := range nodesPerKind {
		s.addService(i)
	}
	for i := range nodesPerKind {
		s.addEntry(i)
	}
	s.connect()
	for _, n := range s.nodes {
		n.proc = launch(t, "waxwingpickd", n.args...)
	}
	s.awaitConverged()
	return s
}

func (s *system) addEngine(i int) {
	e, err := standinengine.New(standinengine.Speed(10*time.Microsecond, 2*time.Millisecond))
	require.NoError(s.t, err)
	s.t.Cleanup(e.Close)
	s.engines = append(s.engines, e)
	s.addSidecar(i, service, "engine", e.Addr())
}

func (s *system) addService(i int) {
	app, err := standinservice.New()
	require.NoError(s.t, err)
	s.t.Cleanup(app.Close)
	app.Faults().SetSlow(bookingTime)
	s.services = append(s.services, app)
	s.addSidecar(i, plainService, "plain", app.Addr())
}

func (s *system) addSidecar(i int, service waxwingpick.ServiceName, kind, target string) {
	id := fmt.Sprintf("%s-%d", service, i)
	n := s.addNode(i, waxwingpick.Instance{
		ID:      waxwingpick.InstanceID(id),
		Kind:    waxwingpick.KindTarget,
		Control: daemonAddr(),
		Data:    daemonAddr(),
		Service: service,
		Target:  waxwingpick.TargetID(id),
	})
	n.target = newRelay(s.t, target)
	s.settings(n, "sidecar", "target: "+id, "service: "+string(service), "kind: "+kind,
		"data: "+n.instance.Data, "targetAddress: "+n.target.Addr())
}

func (s *system) addEntry(i int) {
	n := s.addNode(i, waxwingpick.Instance{
		ID:      waxwingpick.InstanceID(fmt.Sprintf("entry-%d", i)),
		Kind:    waxwingpick.KindEntry,
		Control: daemonAddr(),
	})
	n.listen = daemonAddr()
	s.settings(n, "entry", "listen: "+n.listen)
}

func (s *system) addNode(i int, instance waxwingpick.Instance) *node {
	instance.Zone = waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i))
	list, err := standinplatform.New()
	require.NoError(s.t, err)
	s.t.Cleanup(list.Close)
	n := &node{
		instance: instance,
		list:     list,
		kv:       newRelay(s.t, s.kvAddr),
		control:  make(map[waxwingpick.InstanceID]*relay),
		data:     make(map[waxwingpick.InstanceID]*relay),
	}
	s.nodes = append(s.nodes, n)
	return n
}

func (s *system) settings(n *node, command string, lines ...string) {
	path := filepath.Join(s.t.TempDir(), string(n.instance.ID)+".yaml")
	common := []string{
		"fleet: " + s.fleet,
		"instance: " + string(n.instance.ID),
		"availabilityZone: " + string(n.instance.Zone),
		"control: " + n.instance.Control,
		"keyValue: " + n.kv.Addr(),
		"platform: " + n.list.Addr(),
		// Each node reads its own list, which contains the addresses of its relays.
		"ownList: true",
	}
	require.NoError(s.t, os.WriteFile(path, []byte(strings.Join(append(common, lines...), "\n")), 0o600))
	n.args = []string{command, "-settings", path}
}

// connect creates relays between all pairs of nodes. It gives each node a list of instances with the addresses of the
// node's relays.
func (s *system) connect() {
	for _, n := range s.nodes {
		var list []waxwingpick.Instance
		for _, peer := range s.nodes {
			listed := peer.instance
			if peer != n {
				n.control[peer.instance.ID] = newRelay(s.t, peer.instance.Control)
				listed.Control = n.control[peer.instance.ID].Addr()
			}
			if peer != n && listed.Data != "" {
				n.data[peer.instance.ID] = newRelay(s.t, peer.instance.Data)
				listed.Data = n.data[peer.instance.ID].Addr()
			}
			list = append(list, listed)
		}
		n.list.Set(list...)
	}
}

func (s *system) engineSidecar(i int) *node { return s.nodes[i] }

func (s *system) plainSidecar(i int) *node { return s.nodes[nodesPerKind+i] }

func (s *system) entry(i int) *node { return s.nodes[2*nodesPerKind+i] }

func (s *system) entries() []*node { return s.nodes[2*nodesPerKind:] }

func (s *system) load() *demo.Load {
	cfg := systemConfig()
	return demo.NewLoad([]string{s.entry(0).listen, s.entry(1).listen}, cfg, cfg.Presets[0])
}

// commit makes an operator's change.
func (s *system) commit(edit config.Edit) {
	s.t.Helper()
	require.NoError(s.t, s.commitWithin(awaitTimeout, edit))
}

func (s *system) commitUnless(accepted bool, edit config.Edit) {
	if !accepted {
		s.await(func() bool {
			return s.tryCommit(edit) == nil
		})
	}
}

// tryCommit makes an operator's change that may fail because of a fault.
func (s *system) tryCommit(edit config.Edit) error {
	return s.commitWithin(2*time.Second, edit)
}

func (s *system) commitWithin(limit time.Duration, edit config.Edit) error {
	store := config.NewStore(s.kv)
	ctx, cancel := context.WithTimeout(s.t.Context(), limit)
	defer cancel()
	base, err := store.Load(ctx)
	if err != nil {
		return err
	}
	_, err = store.Commit(ctx, base, config.Request{
		Edit:     edit,
		By:       "test",
		At:       time.Now().UTC(),
		ChangeID: uuid.NewString(),
	})
	return err
}

// config returns the current configuration in the key-value service.
func (s *system) config() config.Record {
	e, _ := s.store.Store().Peek(config.Key)
	record, err := config.Decode(e.Value)
	require.NoError(s.t, err)
	return record
}

func (s *system) plan() plan.Record {
	e, _ := s.store.Store().Peek(plan.Key(service))
	record, err := plan.Decode(service, e.Value)
	require.NoError(s.t, err)
	return record
}

// entryStatus returns an entry's status of the fleet, or nil if the entry does not respond within a second.
func (s *system) entryStatus(n *node) *operator.Status {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
	defer cancel()
	status, err := s.status.Status(ctx, n.instance.Control, operator.StatusRequest{})
	if err != nil {
		return nil
	}
	return &status
}

// pendingState describes a process that has not applied the accepted configuration or does not serve according to the
// plan. It is empty if all processes have converged.
func (s *system) pendingState() string {
	if s.config().InForce == "peak" && !slices.ContainsFunc(s.plan().Targets, hasPrefillRole) {
		return "the plan has no engine for prefill"
	}
	for _, n := range s.entries() {
		status := s.entryStatus(n)
		if status == nil || !status.Ready || status.ConfigRevision != s.config().Revision {
			return fmt.Sprintf("%s: %+v", n.instance.ID, status)
		}
		if len(status.Targets) != 2*nodesPerKind {
			return fmt.Sprintf("%s lists %d targets", n.instance.ID, len(status.Targets))
		}
		for _, target := range status.Targets {
			if !targetConverged(target, status.ConfigRevision) {
				return fmt.Sprintf("%s: %+v", n.instance.ID, target)
			}
		}
	}
	return ""
}

// targetConverged reports whether a target has applied the configuration revision and serves according to the plan.
func targetConverged(target operator.TargetStatus, revision int64) bool {
	served := target.Service != service || target.Active.Model != ""
	inUse := target.Usable || target.Leaving
	return target.HasReport && target.ConfigRevision == revision && target.Active == target.Desired && served && inUse
}

func (s *system) awaitConverged() {
	s.t.Helper()
	var pending atomic.Value
	converged := func() bool {
		last := s.pendingState()
		pending.Store(last)
		return last == ""
	}
	if !assert.Eventually(s.t, converged, 2*awaitTimeout, 10*pollEvery) {
		s.t.Fatalf("not converged: %v; accepted plan %+v", pending.Load(), s.plan())
	}
}

func (s *system) await(ok func() bool) {
	s.t.Helper()
	require.Eventually(s.t, ok, awaitTimeout, pollEvery)
}

func (s *system) kill(n *node) {
	require.NoError(s.t, n.proc.cmd.Process.Kill())
	_ = n.proc.cmd.Wait()
}

func (s *system) restart(n *node) {
	n.proc = launch(s.t, "waxwingpickd", n.args...)
}

func (s *system) signal(n *node, signal syscall.Signal) {
	require.NoError(s.t, n.proc.cmd.Process.Signal(signal))
}
