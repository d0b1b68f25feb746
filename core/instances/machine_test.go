package instances_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick/core/instances"
)

const (
	processes = 12
	// manyRows is a number of rows for which the list is not read by the entries only.
	manyRows = 250
	// agreeLimit is the maximum time after the last fault and change until all processes use the newest list.
	agreeLimit = maxLag + instances.MaxRetryDelay*3/2 + instances.MaxStaleAfter
)

// TestListsStayFreshUnderFaults runs random faults of processes, their network and the platform.
func TestListsStayFreshUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		absent := rapid.SampledFrom([]int{0, manyRows}).Draw(rt, "absent")
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), processes, absent, naive{})
		anyProcess := func(rt *rapid.T) *process {
			return w.procs[rapid.IntRange(0, processes-1).Draw(rt, "process")]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "millis")) * time.Millisecond)
			},
			"change":   func(*rapid.T) { w.change() },
			"platform": func(*rapid.T) { w.down = !w.down },
			"kill":     func(rt *rapid.T) { anyProcess(rt).down = true },
			"restart":  func(rt *rapid.T) { w.start(anyProcess(rt)) },
			"pause": func(rt *rapid.T) {
				p := anyProcess(rt)
				p.paused = !p.paused
			},
			"cut platform": func(rt *rapid.T) {
				p := anyProcess(rt)
				p.cutPlatform = !p.cutPlatform
			},
			"cut peers": func(rt *rapid.T) {
				p := anyProcess(rt)
				p.cutPeers = !p.cutPeers
			},
			"": func(rt *rapid.T) { require.NoError(rt, w.check()) },
		})
		w.endFaults()
		w.advance(agreeLimit)
		require.NoError(rt, w.check())
		require.NoError(rt, w.behind())
	})
}

// faulty runs a world with random faults and returns the first violation found by the oracle.
func faulty(seed uint64, n naive) error {
	w := newWorld(seed, processes, int(seed%2)*manyRows, n)
	for range 60 {
		w.advance(time.Duration(w.random.IntN(4000)) * time.Millisecond)
		p := w.procs[w.random.IntN(processes)]
		switch w.random.IntN(6) {
		case 0, 1:
			w.change()
		case 2:
			p.paused = !p.paused
		case 3:
			p.cutPeers = !p.cutPeers
		case 4:
			p.cutPlatform = !p.cutPlatform
		case 5:
			w.start(p)
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func TestOracleCatchesNaiveWays(t *testing.T) {
	for _, c := range []struct {
		name  string
		naive naive
		fails bool
	}{
		{name: "real implementation"},
		{name: "age counted from arrival", naive: naive{fresh: true}, fails: true},
		{name: "only entries read the platform", naive: naive{noFallback: true}, fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			caught := 0
			for seed := range uint64(8) {
				if err := faulty(seed, c.naive); err != nil {
					caught++
					t.Logf("seed %d: %v", seed, err)
				}
			}
			require.Equal(t, c.fails, caught > 0, "caught with %d of 8 seeds", caught)
		})
	}
}

// TestReadsDoNotGrowWithTheProcesses counts the reads of the platform in normal operation, during an outage and after
// it.
func TestReadsDoNotGrowWithTheProcesses(t *testing.T) {
	const size = 120
	w := newWorld(1, size, 0, naive{})
	w.advance(15 * time.Second)
	reads := func(d time.Duration) float64 {
		before := w.reads
		w.advance(d)
		return float64(w.reads-before) / d.Seconds()
	}
	// Two availability zones read once a second each. The bound allows for jitter and a few reads of stale lists.
	require.Less(t, reads(30*time.Second), 4.0)
	w.down = true
	w.advance(30 * time.Second)
	// Each process makes one attempt per MaxRetryDelay.
	require.Less(t, reads(30*time.Second), 1.5*size/instances.MaxRetryDelay.Seconds())
	w.down = false
	w.advance(10 * time.Second)
	require.Less(t, reads(30*time.Second), 4.0)
}

// TestLongListsAreReadByAllInTurn checks the number of reads per process and the age of the lists with many targets.
func TestLongListsAreReadByAllInTurn(t *testing.T) {
	const period = 60 * time.Second
	oldest := make(map[int]time.Duration)
	maxReads := make(map[int]int)
	for _, absent := range []int{0, 1200} {
		// Two zones with 10 entries and 20 targets each.
		w := newWorld(1, 60, absent, naive{})
		w.advance(30 * time.Second)
		for _, p := range w.procs {
			p.reads = 0
		}
		before := w.reads
		for range int(period / time.Second) {
			w.advance(time.Second)
			for _, p := range w.procs {
				oldest[absent] = max(oldest[absent], w.clock(p).Sub(p.list.ReadAt()))
				maxReads[absent] = max(maxReads[absent], p.reads)
			}
		}
		require.Less(t, float64(w.reads-before)/period.Seconds(), 4.0)
	}
	t.Logf("oldest list %v, most reads by one process %v", oldest, maxReads)
	// Each process reads a long list once in 30 s on average. The minimum time between two reads is half of that.
	require.LessOrEqual(t, maxReads[1200], int(period/(15*time.Second))+1)
	require.LessOrEqual(t, oldest[1200], oldest[0]+time.Second)
}
