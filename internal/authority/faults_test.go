package authority_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/executor"
	"waxwingpick/core/kvcall"
	"waxwingpick/core/plan"
	"waxwingpick/internal/standin/memkv"
)

// actions returns the random actions of a run. Each run leaves out some faults, so that the others combine in long
// sequences.
func (w *world) actions() map[string]func() {
	all := w.allActions()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !strings.HasPrefix(name, "run") && name != "wait" && name != "want" && w.chooser.intn(2) == 0 {
			delete(all, name)
		}
	}
	return all
}

func (w *world) allActions() map[string]func() {
	return map[string]func(){
		"run":        w.run,
		"runAll1":    w.runAll,
		"runAll2":    w.runAll,
		"runAll3":    w.runAll,
		"runAll4":    w.runAll,
		"wait":       func() { w.advance(time.Duration(1+w.chooser.intn(40)) * 10 * time.Millisecond) },
		"waitLong":   func() { w.advance(time.Duration(1+w.chooser.intn(8)) * time.Second) },
		"exchange":   func() { w.randomProcess().exchange() },
		"hear":       func() { w.randomProcess().readResponse() },
		"watchEvent": func() { w.randomProcess().readRecords() },
		"want":       func() { w.desiredVersion++ },
		"operators":  w.operators,
		"kill":       w.kill,
		"replace":    func() { w.startProcess(w.focusSlot()) },
		"pause":      func() { w.randomProcess().paused = true },
		"resume":     w.resume,
		"cut":        w.partitionProcess,
		"down":       func() { w.kv.SetDown(w.chooser.intn(4) == 0) },
		"lapse":      w.expireLease,
		"late":       func() { w.kv.ReleaseDeferred(); w.observeStore() },
		"land":       w.deliverDelayedOrder,
		"crash":      func() { w.engines[w.chooser.intn(sidecars)].crash() },
		"fail":       func() { w.engines[w.chooser.intn(sidecars)].fail() },
		"work":       func() { w.randomProcess().changeLoad() },
		"liar":       w.sendFalseHint,
	}
}

// runAll advances time while every process runs.
func (w *world) runAll() {
	for range 1 + w.chooser.intn(20) {
		w.advance(time.Duration(1+w.chooser.intn(20)) * 10 * time.Millisecond)
		for _, slot := range w.slots {
			for _, p := range slot {
				p.run(1 + w.chooser.intn(8))
			}
		}
	}
}

// run runs a random process for a few stages.
func (w *world) run() {
	w.randomProcess().run(1 + w.chooser.intn(12))
}

func (w *world) kill() {
	slot := w.focusSlot()
	newest := len(w.slots[slot]) - 1
	w.slots[slot][newest].kill()
	w.startProcess(slot)
}

func (w *world) resume() {
	for _, slot := range w.slots {
		for _, p := range slot {
			p.paused = p.paused && w.chooser.intn(2) == 0
		}
	}
}

// partitionProcess disconnects a process from the key-value service, from its peers or from both, or reconnects it.
// Lost responses of calls cover a partition in one direction.
func (w *world) partitionProcess() {
	p := w.randomProcess()
	p.client.SetPartitioned(w.chooser.intn(3) == 0)
	p.peersUnreachable = w.chooser.intn(3) == 0
}

// expireLease expires a lease without notifying its holder.
func (w *world) expireLease() {
	keys := []string{plan.AuthorityKey(service)}
	for i := range sidecars {
		keys = append(keys, executor.Key(targetID(i)))
	}
	w.kv.ExpireKey(keys[w.chooser.intn(len(keys))])
}

// deliverDelayedOrder delivers an order whose sender no longer waits for it.
func (w *world) deliverDelayedOrder() {
	if len(w.delayedOrders) == 0 {
		return
	}
	i := w.chooser.intn(len(w.delayedOrders))
	f := w.delayedOrders[i]
	w.delayedOrders = append(w.delayedOrders[:i], w.delayedOrders[i+1:]...)
	_ = f.engine.execute(w.timers.Now(), f.order)
}

// sendFalseHint sends all processes a plan that was once proposed, whether or not it was accepted.
func (w *world) sendFalseHint() {
	if len(w.hints) == 0 {
		return
	}
	hint := w.hints[w.chooser.intn(len(w.hints))]
	for _, slot := range w.slots[entries:] {
		for _, p := range slot {
			p.hint = hint
			p.executor.Hint(hint)
		}
	}
	for _, slot := range w.slots[:entries] {
		for _, p := range slot {
			p.authority.Hint(hint)
		}
	}
}

// operators makes two operators switch the preset from the same revision. At most one may succeed.
func (w *world) operators() {
	e, err := w.view.Get(context.Background(), config.Key)
	if err != nil {
		return
	}
	var rec config.Record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		w.oracle.fail("accepted configuration: %w", err)
		return
	}
	wins := 0
	for range 2 {
		next := mustJSON(configRecord(rec.Revision+1, w.chooser.intn(3)))
		if _, err := w.view.CompareAndSwap(context.Background(), config.Key, e.Revision, next, 0); err == nil {
			wins++
			w.observeStore()
		}
	}
	if wins > 1 {
		w.oracle.fail("two racing operators succeeded")
	}
}

// fate returns the random fate of a call.
func (w *world) fate() memkv.Fault {
	if w.meanCallsPerFault == 0 || w.chooser.intn(w.meanCallsPerFault) > 0 {
		return memkv.FaultNone
	}
	return memkv.Faults()[w.chooser.intn(len(memkv.Faults()))]
}

func (w *world) call(p *process, call kvcall.Call) kvcall.Result {
	fate := memkv.FaultNone
	if !p.healthy {
		fate = w.fate()
	}
	p.client.SetFault(func(waxwingpick.KeyValueCall) memkv.Fault {
		return fate
	})
	defer w.observeStore()
	return call.Do(context.Background(), p.client)
}
