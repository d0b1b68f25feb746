package usage

import (
	"maps"
	"slices"
	"time"

	"waxwingpick"
)

// maxEntries limits the counts that a Sum holds over all processes and windows, to bound its memory. It allows 100
// processes with 2,600 workspaces each in every window.
const maxEntries = 1 << 20

// Sum adds up the counts of the processes of a zone. It is not safe for concurrent use.
type Sum struct {
	length  time.Duration
	windows map[Window]*zoneWindow
	entries int
	dropped int64
}

// zoneWindow is the sum of a window.
type zoneWindow struct {
	counts    Counts
	processes map[Process]*tally
}

// NewSum returns sums without any counts, for windows of the length.
func NewSum(length time.Duration) *Sum {
	return &Sum{
		length:  length,
		windows: make(map[Window]*zoneWindow),
	}
}

// Observe applies the reports of a process. Reports that exceed a bound are dropped and counted.
func (s *Sum) Observe(now time.Time, p Process, reports []WindowCounts) {
	current := WindowOf(now, s.length)
	s.retain(current)
	if !validName(string(p.Instance)) {
		s.dropped += int64(len(reports))
		return
	}
	for _, r := range reports {
		if !r.Window.relevantTo(current) {
			continue
		}
		if !r.Counts.valid(maxCount) || !validTotal(r.Total, maxCount) {
			s.dropped++
			continue
		}
		s.apply(p, r)
	}
}

func (s *Sum) apply(p Process, r WindowCounts) {
	w, ok := s.windows[r.Window]
	if !ok {
		w = &zoneWindow{
			counts:    make(Counts),
			processes: make(map[Process]*tally),
		}
		s.windows[r.Window] = w
	}
	t, ok := w.processes[p]
	if !ok {
		if len(w.processes) >= maxProcesses {
			s.dropped++
			return
		}
		t = newTally()
		w.processes[p] = t
	}
	t.through = max(t.through, r.Through)
	t.total = max(t.total, r.Total)
	for ws, n := range r.Counts {
		before, known := t.counts[ws]
		if n <= before {
			continue
		}
		_, inZone := w.counts[ws]
		if !known && (s.entries >= maxEntries || len(t.counts) >= MaxWorkspaces || !inZone && len(w.counts) >= MaxWorkspaces) {
			s.dropped++
			continue
		}
		if !known {
			s.entries++
		}
		t.counts[ws] = n
		t.held += n - before
		w.counts[ws] += n - before
	}
}

// retain removes the windows that no longer matter.
func (s *Sum) retain(current Window) {
	for n, w := range s.windows {
		if n.relevantTo(current) {
			continue
		}
		for _, t := range w.processes {
			s.entries -= len(t.counts)
		}
		delete(s.windows, n)
	}
}

// Totals returns the sums of the last windows that a process reported, oldest first.
func (s *Sum) Totals(now time.Time) []ZoneCounts {
	current := WindowOf(now, s.length)
	s.retain(current)
	var totals []ZoneCounts
	for _, n := range slices.Sorted(maps.Keys(s.windows)) {
		w := s.windows[n]
		if n > current || len(w.processes) == 0 {
			continue
		}
		totals = append(totals, ZoneCounts{
			Window:    n,
			Counts:    maps.Clone(w.counts),
			Processes: w.complete(n.End(s.length)),
			Total:     w.counts.Total(),
		})
	}
	return totals
}

// complete returns the number of instances of which an incarnation is complete for a window with the end. A killed
// incarnation never becomes complete, but its successor does.
func (w *zoneWindow) complete(end time.Time) int {
	instances := waxwingpick.NewSet[waxwingpick.InstanceID]()
	for p, t := range w.processes {
		if t.through >= end.UnixMilli() && t.held >= t.total {
			instances.Add(p.Instance)
		}
	}
	return instances.Len()
}

// Dropped returns the number of reports and counts that were dropped because they exceeded a bound.
func (s *Sum) Dropped() int64 {
	return s.dropped
}

// tally is the elementwise maximum of the counts of one process in a window.
type tally struct {
	counts Counts
	// held is the sum of counts, and total the highest sum stated by the process.
	held    int64
	total   int64
	through int64
}

func newTally() *tally {
	return &tally{
		counts: make(Counts),
	}
}
