package quotafleet

import (
	"math/rand/v2"
	"time"

	"waxwingpick"
)

const (
	// Tick is the time between two deliveries of a steady load.
	Tick = 10 * time.Millisecond
	// Warmup passes before a steady load is counted.
	Warmup = time.Minute
	// Measured is the time for which a steady load is counted.
	Measured = 5 * time.Minute
)

// Load is a steady demand of one workspace.
type Load struct {
	Workspace waxwingpick.WorkspaceID
	// Times is the demand in multiples of the rate.
	Times float64
	// ThroughOne is the part of the requests that come through the first entry alone; the others come through any.
	ThroughOne float64
}

// Offer sends a load for a while, messages without delay, and counts what comes after the warm-up.
func (f *Fleet) Offer(l Load) {
	r := rand.New(rand.NewPCG(1, 1))
	start := f.now
	next := start
	for f.now.Before(start.Add(Warmup + Measured)) {
		f.Pass(Tick)
		for !next.After(f.now) {
			f.Request(f.pick(r, l), l.Workspace)
			next = next.Add(time.Duration(r.ExpFloat64() / (l.Times * f.limit.PerSecond()) * float64(time.Second)))
		}
		f.Settle()
		if f.now.Equal(start.Add(Warmup)) {
			f.ResetCounts()
		}
	}
}

func (f *Fleet) pick(r *rand.Rand, l Load) *Entry {
	if r.Float64() < l.ThroughOne {
		return f.entries[0]
	}
	return f.entries[r.IntN(len(f.entries))]
}
