package authority_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/executor"
	"waxwingpick/core/gossip"
	"waxwingpick/core/plan"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

const service waxwingpick.ServiceName = "maestro"

// chooser makes the random choices of a run.
type chooser interface {
	// intn returns a number from 0 to n-1.
	intn(n int) int
}

// mutation disables one of the rules, to show that the oracle detects the violation.
type mutation uint8

const (
	unmutated mutation = iota
	// actOnHint executes a plan received from a process without reading it from the service.
	actOnHint
	// epochInLease makes holders rely on their lease. The epoch of the plan is not raised.
	epochInLease
	// skipPredecessorWait takes over a target's key without waiting for the predecessor.
	skipPredecessorWait
	// expiredIsReleased treats an expired key of a target as released.
	expiredIsReleased
	// anyRevision accepts any revision that a peer sends.
	anyRevision
)

// world is a fleet in virtual time. It runs the real state machines against a key-value service and engines with faults.
type world struct {
	chooser  chooser
	mutation mutation
	timers   *timer.Manual
	kv       *memkv.Store
	view     *memkv.Client
	oracle   *oracle
	engines  []*engine
	// slots holds the processes of each instance: replaced ones that still run first, the current one last.
	slots [][]*process
	// focus lists the slots that the actions of the run apply to.
	focus []int
	// meanCallsPerFault is the mean number of calls per failed call; zero means that no call fails.
	meanCallsPerFault int
	delayedOrders     []delayedOrder
	hints             []plan.Record
	desiredVersion    int
	// desiredState is the desired state for the value of desiredVersion in desiredFor.
	desiredFor   int
	desiredState plan.Desired
	// partitioned disconnects the processes of odd slots from those of even slots.
	partitioned      bool
	startedProcesses int
}

// delayedOrder is an order in flight whose sender no longer waits for it.
type delayedOrder struct {
	engine  *engine
	order   waxwingpick.EngineOrder
	arrives time.Time
}

const (
	entries  = 3
	sidecars = 3
	// maxProcessesPerSlot is the maximum number of processes in a slot, including replaced ones that still run.
	maxProcessesPerSlot = 2
)

func newWorld(c chooser, m mutation) *world {
	timers := timer.NewManual(time.Unix(1_000_000, 0))
	kv := memkv.New(timers)
	w := &world{
		chooser:  c,
		mutation: m,
		timers:   timers,
		kv:       kv,
		view:     kv.Client(),
		oracle:   newOracle(),
		slots:    make([][]*process, entries+sidecars),
	}
	for i := range sidecars {
		w.engines = append(w.engines, &engine{
			oracle:        w.oracle,
			target:        targetID(i),
			checksFencing: i == 0,
			phase:         waxwingpick.OrderIdle,
		})
	}
	w.store(config.Key, mustJSON(configRecord(1, 0)), 0)
	for slot := range w.slots {
		w.startProcess(slot)
	}
	w.focus = [][]int{
		{0, 1, 2, 3, 4, 5},
		{0, 4},
		{0, 1, 2},
		{0, 1, 3, 4},
	}[c.intn(4)]
	w.meanCallsPerFault = []int{0, 4, 15, 40}[c.intn(4)]
	return w
}

func targetID(i int) waxwingpick.TargetID {
	return waxwingpick.TargetID(fmt.Sprintf("target-%d", i))
}

func configRecord(revision int64, preset int) config.Record {
	names := []string{"ordinary", "peak", "maintenance"}
	rec := config.Record{
		Revision: revision,
		InForce:  names[preset],
	}
	for _, name := range names {
		rec.Presets = append(rec.Presets, config.Preset{
			Name: name,
		})
	}
	return rec
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// store writes a record as an operator does.
func (w *world) store(key string, value []byte, expected int64) {
	if _, err := w.view.CompareAndSwap(context.Background(), key, expected, value, 0); err == nil {
		w.observeStore()
	}
}

// observeStore passes the records in the service to the oracle.
func (w *world) observeStore() {
	for _, key := range []string{config.Key, plan.Key(service)} {
		e, err := w.view.Get(context.Background(), key)
		if err == nil {
			w.oracle.checkRecord(e)
		}
	}
}

// instances returns the platform's list.
func (w *world) instances() []waxwingpick.Instance {
	return slices.Clone(platformList)
}

// platformList is the platform's list of the fleet, one instance for each slot.
var platformList = func() []waxwingpick.Instance {
	list := make([]waxwingpick.Instance, entries+sidecars)
	for slot := range list {
		list[slot] = newInstance(slot)
	}
	return list
}()

func instance(slot int) waxwingpick.Instance {
	return platformList[slot]
}

func newInstance(slot int) waxwingpick.Instance {
	i := waxwingpick.Instance{
		ID:   waxwingpick.InstanceID(fmt.Sprintf("instance-%d", slot)),
		Kind: waxwingpick.KindEntry,
		Zone: waxwingpick.AvailabilityZone(fmt.Sprintf("sierra-%d", slot%2)),
	}
	if slot >= entries {
		i.Kind = waxwingpick.KindTarget
		i.Target = targetID(slot - entries)
	}
	return i
}

// startProcess starts a new process in a slot. The earlier ones continue to run unless they are killed.
func (w *world) startProcess(slot int) {
	w.startedProcesses++
	random := rand.New(rand.NewPCG(uint64(w.startedProcesses), 1))
	store, err := gossip.NewStore(func(string, []byte) error {
		return nil
	})
	if err != nil {
		panic(err)
	}
	p := &process{
		world:         w,
		slot:          slot,
		name:          fmt.Sprintf("process-%d", w.startedProcesses),
		client:        w.kv.Client(),
		store:         store,
		gossip:        gossip.NewGossip(instance(slot), random),
		lastRevisions: make(map[string]int64),
	}
	if slot < entries {
		p.authority = w.newAuthority(p, random)
	} else {
		p.engine = w.engines[slot-entries]
		p.executor, err = executor.New(service, p.engine.target, p.name, executor.WithRandom(random), executor.WithChecksFencing(p.engine.checksFencing))
	}
	if err != nil {
		panic(err)
	}
	w.slots[slot] = append(w.slots[slot], p)
	if len(w.slots[slot]) > maxProcessesPerSlot {
		w.slots[slot][0].kill()
	}
}

func (w *world) newAuthority(p *process, random *rand.Rand) candidate {
	changes := 0
	ids := func() string {
		changes++
		return fmt.Sprintf("%s/%d", p.name, changes)
	}
	if w.mutation == epochInLease {
		return newLeaseHolder(instance(p.slot).ID, ids)
	}
	a, err := plan.NewAuthority(service, instance(p.slot).ID, plan.WithRandom(random), plan.WithChangeIDs(ids))
	if err != nil {
		panic(err)
	}
	var live []waxwingpick.InstanceID
	for slot := range entries {
		live = append(live, instance(slot).ID)
	}
	a.SetLive(live)
	return a
}

// desired returns the policy's current desired state.
func (w *world) desired() plan.Desired {
	if w.desiredFor == w.desiredVersion && w.desiredState.ConfigRevision != 0 {
		return w.desiredState
	}
	w.desiredFor = w.desiredVersion
	w.desiredState = w.computeDesired()
	return w.desiredState
}

func (w *world) computeDesired() plan.Desired {
	d := plan.Desired{
		ConfigRevision: 1,
	}
	for i := range sidecars {
		d.Targets = append(d.Targets, plan.DesiredTarget{
			ID: targetID(i),
			Config: waxwingpick.EngineConfig{
				Role:  waxwingpick.Role((w.desiredVersion + i) % 3),
				Model: fmt.Sprintf("cacao-%d", w.desiredVersion%5),
			},
		})
	}
	return d
}

// randomProcess returns a random process of the slots in focus.
func (w *world) randomProcess() *process {
	slot := w.slots[w.focusSlot()]
	return slot[w.chooser.intn(len(slot))]
}

func (w *world) focusSlot() int {
	return w.focus[w.chooser.intn(len(w.focus))]
}

// advance advances time and drops delayed orders that can no longer arrive.
func (w *world) advance(d time.Duration) {
	w.timers.Advance(d)
	w.observeStore()
	now := w.timers.Now()
	kept := w.delayedOrders[:0]
	for _, f := range w.delayedOrders {
		if !now.After(f.arrives) {
			kept = append(kept, f)
		}
	}
	w.delayedOrders = kept
}

// heal ends all faults and runs all processes until remaining returns an empty string or d has passed.
func (w *world) heal(d time.Duration, remaining func() string) {
	w.kv.SetDown(false)
	w.kv.ReleaseDeferred()
	w.observeStore()
	for slot, processes := range w.slots {
		for len(w.slots[slot]) > 1 {
			processes[0].kill()
			processes = w.slots[slot]
		}
		p := processes[0]
		p.healthy = true
		p.paused = false
		p.peersUnreachable = false
		p.client.SetPartitioned(false)
	}
	const tick = 50 * time.Millisecond
	for i := range d / tick {
		if i%4 == 0 && remaining() == "" {
			return
		}
		w.advance(tick)
		for _, slot := range w.slots {
			slot[0].runDue()
		}
	}
}

// copyMismatch describes a process's copy that differs from the accepted record, or returns an empty string.
func (w *world) copyMismatch() string {
	for _, slot := range w.slots {
		p := slot[0]
		for _, key := range []string{config.Key, plan.Key(service)} {
			e, _ := w.view.Get(context.Background(), key)
			if _, revision := p.store.Get(key); revision != e.Revision {
				return fmt.Sprintf("%s holds %s at revision %d, accepted is %d", p.name, key, revision, e.Revision)
			}
		}
	}
	return ""
}

// planMismatch reports that the accepted plan differs from the desired state, or returns an empty string.
func (w *world) planMismatch() string {
	if _, changed := plan.Reconcile(w.oracle.plan, w.desired()); changed {
		return "the plan differs from the desired state"
	}
	return ""
}

// unsettledState describes why the fleet is not settled: the plan, an engine or the number of authority holders is wrong.
// It returns an empty string if the fleet is settled.
func (w *world) unsettledState() string {
	if problem := w.planMismatch(); problem != "" {
		return problem
	}
	for _, g := range w.engines {
		t, _ := w.oracle.plan.Target(g.target).Get()
		if g.order != t.Order || g.phase != waxwingpick.OrderDone || g.active != t.Order.Config {
			return fmt.Sprintf("%s is %+v, desired is %+v", g.target, g.state(w.timers.Now()), t.Order)
		}
	}
	holders := 0
	for _, slot := range w.slots[:entries] {
		if slot[0].authority.Holds() {
			holders++
		}
	}
	if holders != 1 {
		return fmt.Sprintf("%d processes consider themselves the authority holder", holders)
	}
	return ""
}
