package timer

import (
	"container/heap"
	"sync"
	"time"

	"waxwingpick"
)

var _ waxwingpick.Timers = (*Manual)(nil)

// Manual is a timer service whose time advances only by calls of Advance.
type Manual struct {
	mu         sync.Mutex
	now        time.Time
	nextSerial int
	queue      eventQueue
}

// NewManual returns a timer service whose time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{
		now: start,
	}
}

// Now returns the current virtual time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every calls fn once per period during Advance until stop is called.
func (m *Manual) Every(period time.Duration, fn func(now time.Time)) (stop func()) {
	return m.schedule(period, period, fn)
}

// After calls fn once during Advance, unless stop is called first.
func (m *Manual) After(delay time.Duration, fn func(now time.Time)) (stop func()) {
	return m.schedule(delay, 0, fn)
}

// Advance advances the time and runs the timers that are due, ordered by time and then by subscription.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for {
		fn, at, ok := m.pop(end)
		if !ok {
			return
		}
		fn(at)
	}
}

func (m *Manual) schedule(delay, period time.Duration, fn func(now time.Time)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := &event{
		at:     m.now.Add(delay),
		serial: m.nextSerial,
		period: period,
		fn:     fn,
	}
	m.nextSerial++
	heap.Push(&m.queue, e)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		e.stopped = true
	}
}

func (m *Manual) pop(end time.Time) (func(now time.Time), time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.queue) > 0 && !m.queue[0].at.After(end) {
		e := heap.Pop(&m.queue).(*event)
		if e.stopped {
			continue
		}
		at := e.at
		m.now = at
		if e.period > 0 {
			e.at = at.Add(e.period)
			heap.Push(&m.queue, e)
		}
		return e.fn, at, true
	}
	m.now = end
	return nil, time.Time{}, false
}

type event struct {
	at      time.Time
	serial  int
	period  time.Duration
	fn      func(now time.Time)
	stopped bool
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) {
	*q = append(*q, x.(*event))
}

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
