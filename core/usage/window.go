package usage

import (
	"time"
	"unicode/utf8"

	"waxwingpick"
)

const (
	// RelevantWindows is the number of windows that are reported, of which the last one is the current one. A report is
	// due two windows after its window.
	RelevantWindows = 4
	// MaxWorkspaces limits the workspaces in a window.
	MaxWorkspaces = 5_800
	// maxNameSize limits the name of a workspace, instance or zone, in bytes.
	maxNameSize = 200
	// maxProcesses limits the processes of a zone.
	maxProcesses = 1_024
	// maxCount limits one count of a process, and maxZoneCount one of a zone, so that sums do not overflow.
	maxCount     = 1_000_000_000
	maxZoneCount = maxCount * maxProcesses
)

// Window is the number of a time window since the start of 1970.
type Window int64

// Counts holds the number of requests by workspace.
type Counts map[waxwingpick.WorkspaceID]int64

// Total returns the sum of the counts.
func (c Counts) Total() int64 {
	var total int64
	for _, n := range c {
		total += n
	}
	return total
}

// WindowOf returns the window that contains the time.
func WindowOf(t time.Time, length time.Duration) Window {
	nanos, unit := t.UnixNano(), int64(length)
	w := nanos / unit
	if nanos%unit < 0 {
		w--
	}
	return Window(w)
}

// Start returns when the window begins.
func (w Window) Start(length time.Duration) time.Time {
	return time.Unix(0, int64(w)*int64(length))
}

// End returns when the window ends.
func (w Window) End(length time.Duration) time.Time {
	return (w + 1).Start(length)
}

// relevantTo reports whether the window may be reported while current is the current window. Windows of the future are
// bounded too, since a sender's fleet time may be ahead only a little.
func (w Window) relevantTo(current Window) bool {
	return w > current-RelevantWindows && w <= current+1
}

// Process identifies a run of a gateway process. The counts of a restarted process are added to those of its earlier
// incarnations.
type Process struct {
	_           struct{} `cbor:",toarray"`
	Instance    waxwingpick.InstanceID
	Incarnation uint64
}

// WindowCounts is what one process counted in a window, or a piece of it.
type WindowCounts struct {
	_      struct{} `cbor:",toarray"`
	Window Window
	Counts Counts
	// Through is the fleet time up to which the counts are complete, in Unix milliseconds.
	Through int64
	// Total is the sum of the counts in all pieces.
	Total int64
}

// ZoneCounts is what the processes of a zone counted in a window, or a piece of it.
type ZoneCounts struct {
	_      struct{} `cbor:",toarray"`
	Window Window
	Counts Counts
	// Processes is the number of instances that are complete for the window.
	Processes int
	// Total is the sum of the counts in all pieces.
	Total int64
}

// validName reports whether a name received from another process may be kept. JSON would map names that are not valid
// UTF-8 to the same key.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameSize && utf8.ValidString(name)
}

func (c Counts) valid(limit int64) bool {
	if len(c) > MaxWorkspaces {
		return false
	}
	for ws, n := range c {
		if n < 0 || n > limit || !validName(string(ws)) {
			return false
		}
	}
	return true
}

func validTotal(total, limit int64) bool {
	return total >= 0 && total <= limit*MaxWorkspaces
}
