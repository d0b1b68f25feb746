package engine

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

var errStaleOrder = eris.New("the engine has a newer order")

// Submit accepts an order, or rejects one with an old fencing number as the engine of this deployment does.
func (e *Engine) Submit(order waxwingpick.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	stale := order.Number < e.order.Number ||
		order.Number == e.order.Number && order.Config != e.order.Config
	if stale && !e.faults.IgnoreFencing {
		e.recordOrder(order, now, false)
		return fmt.Errorf("order %d after %d: %w", order.Number, e.order.Number, errStaleOrder)
	}
	e.recordOrder(order, now, true)
	if stale {
		e.record.Violations.StaleOrders++
	}
	same := order == e.order
	if same && e.phase == waxwingpick.OrderRunning {
		return nil
	}
	if e.phase == waxwingpick.OrderRunning && order.Config != e.order.Config {
		e.record.Violations.ConflictingOrders++
	}
	e.order = order
	if order.Config == e.active && e.phase != waxwingpick.OrderRunning {
		e.phase = waxwingpick.OrderDone
		return nil
	}
	e.change(now)
	return nil
}

// change starts to apply the current order. It cuts all running and waiting streams.
func (e *Engine) change(now time.Time) {
	e.phase = waxwingpick.OrderRunning
	e.record.Violations.CutRequests += len(e.running)
	for len(e.running) > 0 {
		e.finish(e.running[0], phaseCut, now)
	}
	for len(e.waiting) > 0 {
		e.finish(e.waiting[0], phaseCut, now)
	}
	for id := range e.handles {
		e.free(id)
	}
	e.cache.reset(e.cfg.kvBlocks)
	e.changeSerial++
	change := e.changeSerial
	if e.stopTimer != nil {
		e.stopTimer()
	}
	d := e.cfg.changeTime
	if e.faults.CrashInOrder > 0 {
		d /= 2
	}
	e.stopTimer = e.timers.After(d, func(time.Time) {
		e.finishChange(change)
	})
}

func (e *Engine) finishChange(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change != e.changeSerial || e.phase != waxwingpick.OrderRunning {
		return
	}
	e.stopTimer()
	e.stopTimer = nil
	if e.faults.CrashInOrder > 0 {
		e.faults.CrashInOrder--
		e.crash()
		return
	}
	if e.faults.FailOrders > 0 {
		e.faults.FailOrders--
		e.phase = waxwingpick.OrderFailed
		return
	}
	e.active = e.order.Config
	e.phase = waxwingpick.OrderDone
	e.admit(e.now())
}
