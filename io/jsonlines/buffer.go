package jsonlines

import (
	"bytes"
	"sync"

	"waxwingpick"
)

// classes is the number of classes of log lines.
const classes = 2

// buffer holds lines until the writing goroutine takes them. Each class has a separate size limit.
type buffer struct {
	mu       sync.Mutex
	nonEmpty *sync.Cond
	classes  [classes]queue
	closed   bool
}

// queue holds the buffered lines of one class. The field bytes includes lines that are being written.
type queue struct {
	lines   [][]byte
	bytes   int
	limit   int
	dropped uint64
}

func newBuffer(limits [classes]int) *buffer {
	b := &buffer{}
	b.nonEmpty = sync.NewCond(&b.mu)
	for i, limit := range limits {
		b.classes[i].limit = limit
	}
	return b
}

// push adds a copy of a line, or counts it as dropped if it exceeds the limit of its class.
func (b *buffer) push(l waxwingpick.LogClass, line []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &b.classes[l]
	if b.closed || q.bytes+len(line) > q.limit {
		q.dropped++
		return
	}
	q.lines = append(q.lines, bytes.Clone(line))
	q.bytes += len(line)
	b.nonEmpty.Signal()
}

// take waits for lines and returns all of them by class, LogClassKept first, with the numbers of lines dropped so far.
// After close it returns the remaining lines without waiting.
func (b *buffer) take() (lines [classes][][]byte, dropped [classes]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && b.empty() {
		b.nonEmpty.Wait()
	}
	for i := range b.classes {
		lines[i], b.classes[i].lines = b.classes[i].lines, nil
		dropped[i] = b.classes[i].dropped
	}
	return lines, dropped
}

func (b *buffer) empty() bool {
	for i := range b.classes {
		if len(b.classes[i].lines) > 0 {
			return false
		}
	}
	return true
}

// written releases the buffer space of a line that was written.
func (b *buffer) written(l waxwingpick.LogClass, line []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.classes[l].bytes -= len(line)
}

func (b *buffer) droppedOf(l waxwingpick.LogClass) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.classes[l].dropped
}

// close makes the writing goroutine end after it has written the buffered lines.
func (b *buffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.nonEmpty.Broadcast()
}

// lineWriter adds the lines of a logger to one class of a buffer.
type lineWriter struct {
	buffer *buffer
	class  waxwingpick.LogClass
}

// Write adds a line or drops it. It never fails or blocks.
func (w lineWriter) Write(line []byte) (int, error) {
	w.buffer.push(w.class, line)
	return len(line), nil
}
