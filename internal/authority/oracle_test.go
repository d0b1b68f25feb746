package authority_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// oracle watches the key-value service and the engines from outside and keeps the first broken promise.
type oracle struct {
	broken    error
	plan      plan.Record
	planAt    int64
	committed map[int64]commitment
	// owners names the process that raised each epoch.
	owners map[int64]string
	bodies map[string]map[int64][]byte
	// taken counts the orders that took effect on engines that check fencing numbers, and on others.
	taken map[bool]int
}

// commitment is an order that stood in an accepted plan.
type commitment struct {
	target waxwingpick.TargetID
	order  waxwingpick.EngineOrder
}

func newOracle() *oracle {
	return &oracle{
		committed: make(map[int64]commitment),
		owners:    make(map[int64]string),
		bodies:    make(map[string]map[int64][]byte),
		taken:     make(map[bool]int),
	}
}

func (o *oracle) breaks(format string, args ...any) {
	if o.broken == nil {
		o.broken = fmt.Errorf(format, args...)
	}
}

// stored checks a record after the service accepted it.
func (o *oracle) stored(e waxwingpick.Entry) {
	if !e.Exists() {
		return
	}
	if o.bodies[e.Key] == nil {
		o.bodies[e.Key] = make(map[int64][]byte)
	}
	if _, known := o.bodies[e.Key][e.Revision]; known {
		return
	}
	o.bodies[e.Key][e.Revision] = e.Value
	if e.Key != config.Key {
		o.storedPlan(e)
	}
}

func (o *oracle) storedPlan(e waxwingpick.Entry) {
	rec, err := plan.Decode(service, e.Value)
	if err != nil {
		o.breaks("accepted plan: %w", err)
		return
	}
	if o.planAt != 0 {
		if err := plan.Verify(o.plan, rec); err != nil {
			o.breaks("accepted plan: %w", err)
		}
	}
	writer, _, _ := strings.Cut(rec.ChangeID, "/")
	if rec.Epoch != o.plan.Epoch {
		o.owners[rec.Epoch] = writer
	}
	if o.owners[rec.Epoch] != writer {
		o.breaks("epoch %d belongs to %s, but %s wrote the plan in it", rec.Epoch, o.owners[rec.Epoch], writer)
	}
	for _, t := range rec.Targets {
		if _, known := o.committed[t.Order.Number]; !known {
			o.committed[t.Order.Number] = commitment{
				target: t.ID,
				order:  t.Order,
			}
		}
	}
	o.plan = rec
	o.planAt = e.Revision
}

// holds checks a process's copy of a record against what the service accepted.
func (o *oracle) holds(process, key string, body []byte, revision, before int64) {
	if revision < before {
		o.breaks("%s: %s fell from revision %d to %d", process, key, before, revision)
	}
	if revision != 0 && !bytes.Equal(o.bodies[key][revision], body) {
		o.breaks("%s: %s at revision %d is not what was accepted", process, key, revision)
	}
}

// engine is a model engine that either refuses old fencing numbers, or takes every order.
type engine struct {
	oracle *oracle
	target waxwingpick.TargetID
	checks bool
	// unreachable makes the engine answer nobody.
	unreachable bool

	boots    int
	order    waxwingpick.EngineOrder
	phase    waxwingpick.OrderPhase
	active   waxwingpick.EngineConfig
	runUntil time.Time
	// highest is the newest order that the engine ever took; only the oracle looks at it.
	highest waxwingpick.EngineOrder
}

// submit gives the engine an order, and tells the oracle where it takes effect.
func (g *engine) submit(now time.Time, order waxwingpick.EngineOrder) error {
	g.settle(now)
	if g.checks && order.Number < g.order.Number {
		return waxwingpick.ErrStaleFencingNumber
	}
	if order == g.order && (g.phase == waxwingpick.OrderRunning || g.phase == waxwingpick.OrderDone) {
		return nil
	}
	known := g.oracle.committed[order.Number]
	switch {
	case known.target != g.target || known.order != order:
		g.oracle.breaks("%s took order %v, which no accepted plan gave it", g.target, order)
	case order.Number < g.highest.Number:
		g.oracle.breaks("%s took order %d after order %d", g.target, order.Number, g.highest.Number)
	case g.phase == waxwingpick.OrderRunning && !g.checks:
		g.oracle.breaks("%s took order %d while order %d ran", g.target, order.Number, g.order.Number)
	}
	g.highest = order
	g.oracle.taken[g.checks]++
	g.order = order
	g.phase = waxwingpick.OrderRunning
	g.runUntil = now.Add(2 * time.Second)
	return nil
}

func (g *engine) settle(now time.Time) {
	if g.phase == waxwingpick.OrderRunning && !now.Before(g.runUntil) {
		g.phase = waxwingpick.OrderDone
		g.active = g.order.Config
	}
}

// fail ends the running order without success.
func (g *engine) fail() {
	if g.phase == waxwingpick.OrderRunning {
		g.phase = waxwingpick.OrderFailed
	}
}

// crash starts the engine anew; one that checks fencing numbers remembers the highest.
func (g *engine) crash() {
	g.boots++
	g.active = waxwingpick.EngineConfig{}
	g.phase = waxwingpick.OrderIdle
	if g.checks {
		g.phase = waxwingpick.OrderFailed
		return
	}
	g.order = waxwingpick.EngineOrder{}
}

func (g *engine) state(now time.Time) waxwingpick.EngineState {
	g.settle(now)
	return waxwingpick.EngineState{
		BootID: fmt.Sprint(g.boots),
		Order:  g.order,
		Phase:  g.phase,
		Active: g.active,
	}
}
