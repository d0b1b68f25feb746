package authority_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/config"
)

// TestRegionsApartForAnHour disconnects the processes of odd slots from the key-value service and from the other processes
// for an hour.
func TestRegionsApartForAnHour(t *testing.T) {
	w := newWorld(noFaults{}, unmutated)
	w.heal(settleTimeout, w.unsettledState)
	w.heal(agreementTimeout, w.copyMismatch)
	before := make(map[*process]int64)
	w.partitioned = true
	for _, p := range w.partitionedProcesses() {
		p.client.SetPartitioned(true)
		_, before[p] = p.store.Get(config.Key)
	}
	const tick = 50 * time.Millisecond
	for i := range time.Hour / tick {
		if i%(time.Minute/tick) == 0 {
			w.operators()
		}
		if i == 10*time.Minute/tick {
			w.desiredVersion++
		}
		w.advance(tick)
		for _, slot := range w.slots {
			slot[0].runDue()
		}
		require.NoError(t, w.oracle.violation)
	}
	// The side with the service continues: one of its entries holds the authority, and its engine follows the plan.
	require.Empty(t, w.planMismatch())
	require.True(t, w.slots[0][0].authority.Holds() || w.slots[2][0].authority.Holds())
	followed, _ := w.oracle.plan.Target(targetID(1)).Get()
	require.Equal(t, followed.Order, w.engines[1].order)
	// The other side keeps the last accepted records and sends no order.
	for _, p := range w.partitionedProcesses() {
		_, revision := p.store.Get(config.Key)
		require.Equal(t, before[p], revision)
	}
	for _, target := range []int{0, 2} {
		ordered, _ := w.oracle.plan.Target(targetID(target)).Get()
		require.Less(t, w.engines[target].order.Number, ordered.Order.Number)
	}

	w.partitioned = false
	for _, p := range w.partitionedProcesses() {
		p.client.SetPartitioned(false)
	}
	w.heal(agreementTimeout, w.copyMismatch)
	require.Empty(t, w.copyMismatch())
	w.heal(settleTimeout, w.unsettledState)
	require.Empty(t, w.unsettledState())
	require.NoError(t, w.oracle.violation)
}

func (w *world) partitionedProcesses() []*process {
	var processes []*process
	for slot := range w.slots {
		if slot%2 == 1 {
			processes = append(processes, w.slots[slot][0])
		}
	}
	return processes
}
