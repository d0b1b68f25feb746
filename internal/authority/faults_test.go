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

// actions are the steps that a run is made of. Each run leaves some of the faults out, so that a few of them meet in
// long sequences.
func (w *world) actions() map[string]func() {
	all := w.allActions()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !strings.HasPrefix(name, "run") && name != "wait" && name != "want" && w.choose.intn(2) == 0 {
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
		"wait":       func() { w.advance(time.Duration(1+w.choose.intn(40)) * 10 * time.Millisecond) },
		"waitLong":   func() { w.advance(time.Duration(1+w.choose.intn(8)) * time.Second) },
		"exchange":   func() { w.pick().exchange() },
		"hear":       func() { w.pick().hear() },
		"watchEvent": func() { w.pick().readRecords() },
		"want":       func() { w.wanted++ },
		"operators":  w.operators,
		"kill":       w.kill,
		"replace":    func() { w.spawn(w.focusSlot()) },
		"pause":      func() { w.pick().paused = true },
		"resume":     w.resume,
		"cut":        w.cut,
		"down":       func() { w.kv.SetDown(w.choose.intn(4) == 0) },
		"lapse":      w.lapse,
		"late":       func() { w.kv.ReleaseDeferred(); w.look() },
		"land":       w.land,
		"crash":      func() { w.engines[w.choose.intn(sidecars)].crash() },
		"fail":       func() { w.engines[w.choose.intn(sidecars)].fail() },
		"work":       func() { w.pick().work() },
		"liar":       w.liar,
	}
}

// runAll lets time pass while every process goes on.
func (w *world) runAll() {
	for range 1 + w.choose.intn(20) {
		w.advance(time.Duration(1+w.choose.intn(20)) * 10 * time.Millisecond)
		for _, slot := range w.slots {
			for _, p := range slot {
				p.run(1 + w.choose.intn(8))
			}
		}
	}
}

// run lets a process go on for a few stages.
func (w *world) run() {
	w.pick().run(1 + w.choose.intn(12))
}

func (w *world) kill() {
	slot := w.focusSlot()
	newest := len(w.slots[slot]) - 1
	w.slots[slot][newest].kill()
	w.spawn(slot)
}

func (w *world) resume() {
	for _, slot := range w.slots {
		for _, p := range slot {
			p.paused = p.paused && w.choose.intn(2) == 0
		}
	}
}

// cut cuts a process off the service, its peers, or in one way only: a lost answer is the other way.
func (w *world) cut() {
	p := w.pick()
	p.client.SetCut(w.choose.intn(3) == 0)
	p.cutPeers = w.choose.intn(3) == 0
}

// lapse ends a lease without a word to its holder.
func (w *world) lapse() {
	keys := []string{plan.AuthorityKey(service)}
	for i := range sidecars {
		keys = append(keys, executor.Key(targetID(i)))
	}
	w.kv.LapseKey(keys[w.choose.intn(len(keys))])
}

// land lets an order arrive that nobody waits for any more.
func (w *world) land() {
	if len(w.flights) == 0 {
		return
	}
	i := w.choose.intn(len(w.flights))
	f := w.flights[i]
	w.flights = append(w.flights[:i], w.flights[i+1:]...)
	_ = f.engine.submit(w.timers.Now(), f.order)
}

// liar sends a hint of a plan that was proposed once, whatever became of it.
func (w *world) liar() {
	if len(w.hints) == 0 {
		return
	}
	hint := w.hints[w.choose.intn(len(w.hints))]
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

// operators lets two operators race to switch the preset from the same revision; one of them at most wins.
func (w *world) operators() {
	e, err := w.view.Get(context.Background(), config.Key)
	if err != nil {
		return
	}
	var rec config.Record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		w.oracle.breaks("accepted configuration: %w", err)
		return
	}
	wins := 0
	for range 2 {
		next := mustJSON(configRecord(rec.Revision+1, w.choose.intn(3)))
		if _, err := w.view.CompareAndSwap(context.Background(), config.Key, e.Revision, next, 0); err == nil {
			wins++
			w.look()
		}
	}
	if wins > 1 {
		w.oracle.breaks("two racing operators won")
	}
}

// fate is what becomes of a call.
func (w *world) fate() memkv.Fate {
	if w.trouble == 0 || w.choose.intn(w.trouble) > 0 {
		return memkv.FateDeliver
	}
	return memkv.Fates()[w.choose.intn(len(memkv.Fates()))]
}

func (w *world) call(p *process, call kvcall.Call) kvcall.Result {
	fate := memkv.FateDeliver
	if !p.healthy {
		fate = w.fate()
	}
	p.client.SetFate(func(waxwingpick.KeyValueCall) memkv.Fate {
		return fate
	})
	defer w.look()
	return call.Do(context.Background(), p.client)
}
