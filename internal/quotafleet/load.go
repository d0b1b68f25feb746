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
	// Measured is the duration for which a steady load is counted.
	Measured = 5 * time.Minute
)

// Load is the steady load of one workspace.
type Load struct {
	Workspace waxwingpick.WorkspaceID
	// RateMultiple is the request rate as a multiple of the limit's rate.
	RateMultiple float64
	// FirstEntryFraction is the fraction of requests sent through the first entry. The others are sent through random
	// entries.
	FirstEntryFraction float64
}

// Offer sends a load for Warmup and Measured, with immediate delivery of messages, and counts the requests after the
// warm-up.
func (f *Fleet) Offer(l Load) {
	r := rand.New(rand.NewPCG(1, 1))
	start := f.now
	next := start
	for f.now.Before(start.Add(Warmup + Measured)) {
		f.Advance(Tick)
		for !next.After(f.now) {
			f.Request(f.chooseEntry(r, l), l.Workspace)
			next = next.Add(time.Duration(r.ExpFloat64() / (l.RateMultiple * f.limit.PerSecond()) * float64(time.Second)))
		}
		f.Settle()
		if f.now.Equal(start.Add(Warmup)) {
			f.ResetCounts()
		}
	}
}

func (f *Fleet) chooseEntry(r *rand.Rand, l Load) *Entry {
	if r.Float64() < l.FirstEntryFraction {
		return f.entries[0]
	}
	return f.entries[r.IntN(len(f.entries))]
}
