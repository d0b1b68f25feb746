package authority_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/config"
)

// TestRegionsApartForAnHour cuts the processes of odd slots off the service and off the others for an hour.
func TestRegionsApartForAnHour(t *testing.T) {
	w := newWorld(quiet{}, faithful)
	w.heal(settleWithin, w.unsettled)
	w.heal(agreeWithin, w.disagreement)
	before := make(map[*process]int64)
	w.apart = true
	for _, p := range w.cutOff() {
		p.client.SetCut(true)
		_, before[p] = p.store.Get(config.Key)
	}
	const tick = 50 * time.Millisecond
	for i := range time.Hour / tick {
		if i%(time.Minute/tick) == 0 {
			w.operators()
		}
		if i == 10*time.Minute/tick {
			w.wanted++
		}
		w.advance(tick)
		for _, slot := range w.slots {
			slot[0].tick()
		}
		require.NoError(t, w.oracle.broken)
	}
	// The side with the service goes on: one of its entries holds the authority, and its engine follows the plan.
	require.Empty(t, w.unplanned())
	require.True(t, w.slots[0][0].authority.Holds() || w.slots[2][0].authority.Holds())
	followed, _ := w.oracle.plan.Target(targetID(1)).Get()
	require.Equal(t, followed.Order, w.engines[1].order)
	// The other side keeps the last accepted records and gives no order.
	for _, p := range w.cutOff() {
		_, revision := p.store.Get(config.Key)
		require.Equal(t, before[p], revision)
	}
	for _, target := range []int{0, 2} {
		ordered, _ := w.oracle.plan.Target(targetID(target)).Get()
		require.Less(t, w.engines[target].order.Number, ordered.Order.Number)
	}

	w.apart = false
	for _, p := range w.cutOff() {
		p.client.SetCut(false)
	}
	w.heal(agreeWithin, w.disagreement)
	require.Empty(t, w.disagreement())
	w.heal(settleWithin, w.unsettled)
	require.Empty(t, w.unsettled())
	require.NoError(t, w.oracle.broken)
}

func (w *world) cutOff() []*process {
	var processes []*process
	for slot := range w.slots {
		if slot%2 == 1 {
			processes = append(processes, w.slots[slot][0])
		}
	}
	return processes
}
