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

// oracle observes the key-value service and the engines and records the first violation of the guarantees.
type oracle struct {
	violation      error
	plan           plan.Record
	planRevision   int64
	acceptedOrders map[int64]acceptedOrder
	// epochOwners holds the process that raised each epoch.
	epochOwners map[int64]string
	bodies      map[string]map[int64][]byte
	// executedOrders counts the executed orders by whether the engine checks fencing numbers.
	executedOrders map[bool]int
}

// acceptedOrder is an order of an accepted plan.
type acceptedOrder struct {
	target waxwingpick.TargetID
	order  waxwingpick.EngineOrder
}

func newOracle() *oracle {
	return &oracle{
		acceptedOrders: make(map[int64]acceptedOrder),
		epochOwners:    make(map[int64]string),
		bodies:         make(map[string]map[int64][]byte),
		executedOrders: make(map[bool]int),
	}
}

func (o *oracle) fail(format string, args ...any) {
	if o.violation == nil {
		o.violation = fmt.Errorf(format, args...)
	}
}

// checkRecord checks a record that the service has accepted.
func (o *oracle) checkRecord(e waxwingpick.Entry) {
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
		o.checkPlan(e)
	}
}

func (o *oracle) checkPlan(e waxwingpick.Entry) {
	rec, err := plan.Decode(service, e.Value)
	if err != nil {
		o.fail("accepted plan: %w", err)
		return
	}
	if o.planRevision != 0 {
		if err := plan.Verify(o.plan, rec); err != nil {
			o.fail("accepted plan: %w", err)
		}
	}
	writer, _, _ := strings.Cut(rec.ChangeID, "/")
	if rec.Epoch != o.plan.Epoch {
		o.epochOwners[rec.Epoch] = writer
	}
	if o.epochOwners[rec.Epoch] != writer {
		o.fail("epoch %d belongs to %s, but %s wrote the plan in it", rec.Epoch, o.epochOwners[rec.Epoch], writer)
	}
	for _, t := range rec.Targets {
		if _, known := o.acceptedOrders[t.Order.Number]; !known {
			o.acceptedOrders[t.Order.Number] = acceptedOrder{
				target: t.ID,
				order:  t.Order,
			}
		}
	}
	o.plan = rec
	o.planRevision = e.Revision
}

// checkCopy checks a process's copy of a record against the accepted records.
func (o *oracle) checkCopy(process, key string, body []byte, revision, before int64) {
	if revision < before {
		o.fail("%s: %s fell from revision %d to %d", process, key, before, revision)
	}
	if revision != 0 && !bytes.Equal(o.bodies[key][revision], body) {
		o.fail("%s: %s at revision %d is not what was accepted", process, key, revision)
	}
}

// engine is a model engine that either refuses old fencing numbers or executes every order.
type engine struct {
	oracle        *oracle
	target        waxwingpick.TargetID
	checksFencing bool
	// unreachable makes the engine unresponsive.
	unreachable bool

	boots    int
	order    waxwingpick.EngineOrder
	phase    waxwingpick.OrderPhase
	active   waxwingpick.EngineConfig
	runUntil time.Time
	// highestOrder is the latest order that the engine has executed. Only the oracle uses it.
	highestOrder waxwingpick.EngineOrder
}

// execute sends the engine an order. If the order takes effect, the oracle checks it.
func (g *engine) execute(now time.Time, order waxwingpick.EngineOrder) error {
	g.finishOrder(now)
	if g.checksFencing && order.Number < g.order.Number {
		return waxwingpick.ErrStaleFencingNumber
	}
	if order == g.order && (g.phase == waxwingpick.OrderRunning || g.phase == waxwingpick.OrderDone) {
		return nil
	}
	known := g.oracle.acceptedOrders[order.Number]
	switch {
	case known.target != g.target || known.order != order:
		g.oracle.fail("%s took order %v, which no accepted plan gave it", g.target, order)
	case order.Number < g.highestOrder.Number:
		g.oracle.fail("%s took order %d after order %d", g.target, order.Number, g.highestOrder.Number)
	case g.phase == waxwingpick.OrderRunning && !g.checksFencing:
		g.oracle.fail("%s took order %d while order %d ran", g.target, order.Number, g.order.Number)
	}
	g.highestOrder = order
	g.oracle.executedOrders[g.checksFencing]++
	g.order = order
	g.phase = waxwingpick.OrderRunning
	g.runUntil = now.Add(2 * time.Second)
	return nil
}

func (g *engine) finishOrder(now time.Time) {
	if g.phase == waxwingpick.OrderRunning && !now.Before(g.runUntil) {
		g.phase = waxwingpick.OrderDone
		g.active = g.order.Config
	}
}

// fail makes the running order fail.
func (g *engine) fail() {
	if g.phase == waxwingpick.OrderRunning {
		g.phase = waxwingpick.OrderFailed
	}
}

// crash restarts the engine. An engine that checks fencing numbers persists the highest one.
func (g *engine) crash() {
	g.boots++
	g.active = waxwingpick.EngineConfig{}
	g.phase = waxwingpick.OrderIdle
	if g.checksFencing {
		g.phase = waxwingpick.OrderFailed
		return
	}
	g.order = waxwingpick.EngineOrder{}
}

func (g *engine) state(now time.Time) waxwingpick.EngineState {
	g.finishOrder(now)
	return waxwingpick.EngineState{
		BootID: fmt.Sprint(g.boots),
		Order:  g.order,
		Phase:  g.phase,
		Active: g.active,
	}
}
