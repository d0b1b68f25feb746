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
	"waxwingpick/core/plan"
	"waxwingpick/core/spread"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

const service waxwingpick.ServiceName = "maestro"

// chooser makes the choices of a run.
type chooser interface {
	// intn returns a number from 0 to n-1.
	intn(n int) int
}

// mutation switches off one of the rules, to show that the oracle sees it.
type mutation uint8

const (
	faithful mutation = iota
	// actOnHint acts on a plan that a process sent, without reading it back.
	actOnHint
	// epochInLease has holders trust their lease: the epoch of the plan is not raised.
	epochInLease
	// impatient takes a target's key over without waiting for the predecessor.
	impatient
	// hasty takes a target's key that is gone as one that was given up.
	hasty
	// anyRevision takes whatever revision a peer sends.
	anyRevision
)

// world is a fleet in virtual time: the real state machines before a key-value service and engines with faults.
type world struct {
	choose  chooser
	mutant  mutation
	timers  *timer.Manual
	kv      *memkv.Store
	view    *memkv.Client
	oracle  *oracle
	engines []*engine
	// slots hold the processes of each instance: the newest last, replaced ones that still run before it.
	slots [][]*process
	// focus lists the slots that the run's steps concern.
	focus []int
	// trouble is the mean number of calls until one fails; zero means that none does.
	trouble int
	flights []flight
	hints   []plan.Record
	wanted  int
	// desiredState is the desired state for the value of wanted in desiredFor.
	desiredFor   int
	desiredState plan.Desired
	// apart keeps the processes of odd slots away from those of even ones.
	apart   bool
	spawned int
}

// flight is an order on its way that nobody waits for any more.
type flight struct {
	engine  *engine
	order   waxwingpick.EngineOrder
	arrives time.Time
}

const (
	entries  = 3
	sidecars = 3
	// maxTwins is the number of replaced processes that may still run in a slot.
	maxTwins = 2
)

func newWorld(c chooser, m mutation) *world {
	timers := timer.NewManual(time.Unix(1_000_000, 0))
	kv := memkv.New(timers)
	w := &world{
		choose: c,
		mutant: m,
		timers: timers,
		kv:     kv,
		view:   kv.Client(),
		oracle: newOracle(),
		slots:  make([][]*process, entries+sidecars),
	}
	for i := range sidecars {
		w.engines = append(w.engines, &engine{
			oracle: w.oracle,
			target: targetID(i),
			checks: i == 0,
			phase:  waxwingpick.OrderIdle,
		})
	}
	w.store(config.Key, mustJSON(configRecord(1, 0)), 0)
	for slot := range w.slots {
		w.spawn(slot)
	}
	w.focus = [][]int{
		{0, 1, 2, 3, 4, 5},
		{0, 4},
		{0, 1, 2},
		{0, 1, 3, 4},
	}[c.intn(4)]
	w.trouble = []int{0, 4, 15, 40}[c.intn(4)]
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
		w.look()
	}
}

// look shows the oracle what the service holds.
func (w *world) look() {
	for _, key := range []string{config.Key, plan.Key(service)} {
		e, err := w.view.Get(context.Background(), key)
		if err == nil {
			w.oracle.stored(e)
		}
	}
}

// instances is the platform's list.
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

// spawn starts a new process in a slot; the ones before it run on unless they are killed.
func (w *world) spawn(slot int) {
	w.spawned++
	random := rand.New(rand.NewPCG(uint64(w.spawned), 1))
	store, err := spread.NewStore(func(string, []byte) error {
		return nil
	})
	if err != nil {
		panic(err)
	}
	p := &process{
		world:  w,
		slot:   slot,
		name:   fmt.Sprintf("process-%d", w.spawned),
		client: w.kv.Client(),
		store:  store,
		gossip: spread.NewGossip(instance(slot), random),
		seen:   make(map[string]int64),
	}
	if slot < entries {
		p.authority = w.newAuthority(p, random)
	} else {
		p.engine = w.engines[slot-entries]
		p.executor, err = executor.New(service, p.engine.target, p.name, executor.WithRandom(random), executor.WithChecksFencing(p.engine.checks))
	}
	if err != nil {
		panic(err)
	}
	w.slots[slot] = append(w.slots[slot], p)
	if len(w.slots[slot]) > maxTwins {
		w.slots[slot][0].kill()
	}
}

func (w *world) newAuthority(p *process, random *rand.Rand) candidate {
	changes := 0
	ids := func() string {
		changes++
		return fmt.Sprintf("%s/%d", p.name, changes)
	}
	if w.mutant == epochInLease {
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

// desired is what the policy wants at the moment.
func (w *world) desired() plan.Desired {
	if w.desiredFor == w.wanted && w.desiredState.ConfigRevision != 0 {
		return w.desiredState
	}
	w.desiredFor = w.wanted
	w.desiredState = w.computeDesired()
	return w.desiredState
}

func (w *world) computeDesired() plan.Desired {
	d := plan.Desired{
		ConfigRevision: 1,
	}
	for i := range sidecars {
		d.Targets = append(d.Targets, plan.Wanted{
			ID: targetID(i),
			Config: waxwingpick.EngineConfig{
				Role:  waxwingpick.Role((w.wanted + i) % 3),
				Model: fmt.Sprintf("cacao-%d", w.wanted%5),
			},
		})
	}
	return d
}

// pick returns a random process.
func (w *world) pick() *process {
	slot := w.slots[w.focusSlot()]
	return slot[w.choose.intn(len(slot))]
}

func (w *world) focusSlot() int {
	return w.focus[w.choose.intn(len(w.focus))]
}

// advance moves the time forward.
func (w *world) advance(d time.Duration) {
	w.timers.Advance(d)
	w.look()
	now := w.timers.Now()
	kept := w.flights[:0]
	for _, f := range w.flights {
		if !now.After(f.arrives) {
			kept = append(kept, f)
		}
	}
	w.flights = kept
}

// heal ends all faults and lets everything run until nothing is left to do, for a time at most.
func (w *world) heal(d time.Duration, left func() string) {
	w.kv.SetDown(false)
	w.kv.ReleaseDeferred()
	w.look()
	for slot, processes := range w.slots {
		for len(w.slots[slot]) > 1 {
			processes[0].kill()
			processes = w.slots[slot]
		}
		p := processes[0]
		p.healthy = true
		p.paused = false
		p.cutPeers = false
		p.client.SetCut(false)
	}
	const tick = 50 * time.Millisecond
	for i := range d / tick {
		if i%4 == 0 && left() == "" {
			return
		}
		w.advance(tick)
		for _, slot := range w.slots {
			slot[0].tick()
		}
	}
}

// disagreement tells where the fleet differs from what was accepted; empty where it does not.
func (w *world) disagreement() string {
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

// unplanned tells whether the accepted plan is not as the policy wants it.
func (w *world) unplanned() string {
	if _, changed := plan.Reconcile(w.oracle.plan, w.desired()); changed {
		return "the plan is not as wanted"
	}
	return ""
}

// unsettled tells which engine is not as the plan wants it, or whether the plan is not as the policy wants it.
func (w *world) unsettled() string {
	if what := w.unplanned(); what != "" {
		return what
	}
	for _, g := range w.engines {
		t, _ := w.oracle.plan.Target(g.target).Get()
		if g.order != t.Order || g.phase != waxwingpick.OrderDone || g.active != t.Order.Config {
			return fmt.Sprintf("%s is %+v, wanted is %+v", g.target, g.state(w.timers.Now()), t.Order)
		}
	}
	holders := 0
	for _, slot := range w.slots[:entries] {
		if slot[0].authority.Holds() {
			holders++
		}
	}
	if holders != 1 {
		return fmt.Sprintf("%d processes believe that they hold the authority", holders)
	}
	return ""
}
