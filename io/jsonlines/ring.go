package jsonlines

import (
	"bytes"
	"sync"

	"waxwingpick"
)

// lanes is the number of classes of lines.
const lanes = 2

// ring holds lines until its writer takes them, each class within its own bound.
type ring struct {
	mu     sync.Mutex
	filled *sync.Cond
	lanes  [lanes]lane
	closed bool
}

// lane is the lines of one class; bytes counts also those that are being written.
type lane struct {
	lines   [][]byte
	bytes   int
	limit   int
	dropped uint64
}

func newRing(limits [lanes]int) *ring {
	r := &ring{}
	r.filled = sync.NewCond(&r.mu)
	for i, limit := range limits {
		r.lanes[i].limit = limit
	}
	return r
}

// push keeps a copy of a line, or counts it as dropped where there is no room.
func (r *ring) push(l waxwingpick.Lane, line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	to := &r.lanes[l]
	if r.closed || to.bytes+len(line) > to.limit {
		to.dropped++
		return
	}
	to.lines = append(to.lines, bytes.Clone(line))
	to.bytes += len(line)
	r.filled.Signal()
}

// take waits for lines and returns all of them, the kept ones first, with the numbers dropped so far; none after close.
func (r *ring) take() (lines [lanes][][]byte, dropped [lanes]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && r.empty() {
		r.filled.Wait()
	}
	for i := range r.lanes {
		lines[i], r.lanes[i].lines = r.lanes[i].lines, nil
		dropped[i] = r.lanes[i].dropped
	}
	return lines, dropped
}

func (r *ring) empty() bool {
	for i := range r.lanes {
		if len(r.lanes[i].lines) > 0 {
			return false
		}
	}
	return true
}

// written frees the room of a line.
func (r *ring) written(l waxwingpick.Lane, line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lanes[l].bytes -= len(line)
}

func (r *ring) droppedOf(l waxwingpick.Lane) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lanes[l].dropped
}

// close lets the writer end once it has written what is there.
func (r *ring) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.filled.Broadcast()
}

// lineWriter puts what a logger writes into one class.
type lineWriter struct {
	ring *ring
	lane waxwingpick.Lane
}

// Write never fails and never waits.
func (w lineWriter) Write(line []byte) (int, error) {
	w.ring.push(w.lane, line)
	return len(line), nil
}
