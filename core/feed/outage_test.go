package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/rapidtest"
)

// TestPartitionOfOneProcessIsNoOutage partitions one process from the service for a long time, while another one of its zone
// reaches it. Removals must not be delayed there as after an outage of the service, and not again after each failed call.
func TestPartitionOfOneProcessIsNoOutage(t *testing.T) {
	rapidtest.Check(t, func(draw rapidtest.Draw) error {
		w := newWorld(draw, correct)
		w.nodes = []*node{w.newNode(), w.newNode()}
		run := func(d time.Duration) {
			for range d / step {
				require.NoError(t, w.tick())
				if draw(10) == 0 {
					w.store.write("key", draw(2) == 0)
				}
			}
		}
		run(3 * time.Second)
		w.lastDisruption = w.now
		w.nodes[0].cutStore = true
		run(10 * time.Second)
		w.lastDisruption = w.now
		w.nodes[0].cutStore = false
		run(3 * time.Second)
		for _, n := range w.nodes {
			require.Zero(t, n.feed.RecoveredAt(), n.id)
		}
		return nil
	})
}

// TestOutageIsNoticedByAllProcesses takes the service itself away.
func TestOutageIsNoticedByAllProcesses(t *testing.T) {
	rapidtest.Check(t, func(draw rapidtest.Draw) error {
		w := newWorld(draw, correct)
		w.nodes = []*node{w.newNode(), w.newNode(), w.newNode()}
		for _, down := range []bool{false, true, false} {
			w.store.down = down
			w.lastDisruption = w.now
			for range 4 * time.Second / step {
				require.NoError(t, w.tick())
			}
		}
		for _, n := range w.nodes {
			require.False(t, n.feed.RecoveredAt().IsZero(), n.id)
		}
		return nil
	})
}
