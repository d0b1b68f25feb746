package usage

import (
	"maps"
	"time"

	"waxwingpick"
)

// SettleLag is how long after its end a window counts as complete, since the begin of a request may be learned late.
const SettleLag = 2 * time.Second

// keptAhead is the number of windows after the current one that a counter keeps, since fleet time may go back.
const keptAhead = 2

// Counter counts the requests that began at targets for this process. It is not safe for concurrent use.
type Counter struct {
	length  time.Duration
	windows map[Window]Counts
	dropped int64
}

// NewCounter returns a counter for windows of the length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{
		length:  length,
		windows: make(map[Window]Counts),
	}
}

// Began counts a request that began some time ago. One that began longer ago than SettleLag counts as begun then, since its window may
// have been reported.
func (c *Counter) Began(now time.Time, ago time.Duration, ws waxwingpick.WorkspaceID) {
	w := WindowOf(now.Add(-max(0, min(ago, SettleLag))), c.length)
	counts, ok := c.windows[w]
	if !ok {
		c.retain(WindowOf(now, c.length))
		counts = make(Counts)
		c.windows[w] = counts
	}
	n, ok := counts[ws]
	if n >= maxCount || !ok && (len(counts) >= MaxWorkspaces || !validName(string(ws))) {
		c.dropped++
		return
	}
	counts[ws] = n + 1
}

// retain removes the windows that do not matter while current is the current one.
func (c *Counter) retain(current Window) {
	for w := range c.windows {
		if w <= current-RelevantWindows || w > current+keptAhead {
			delete(c.windows, w)
		}
	}
}

// Report returns the cumulative counts of the last windows, oldest first. Windows without requests are included, since
// receivers need to know that they are complete.
func (c *Counter) Report(now time.Time) []WindowCounts {
	current := WindowOf(now, c.length)
	c.retain(current)
	reports := make([]WindowCounts, 0, RelevantWindows)
	for w := current - RelevantWindows + 1; w <= current; w++ {
		counts := maps.Clone(c.windows[w])
		if counts == nil {
			counts = make(Counts)
		}
		reports = append(reports, WindowCounts{
			Window:  w,
			Counts:  counts,
			Through: now.Add(-SettleLag).UnixMilli(),
			Total:   counts.Total(),
		})
	}
	return reports
}

// Dropped returns the number of requests that were not counted because a limit was reached.
func (c *Counter) Dropped() int64 {
	return c.dropped
}
