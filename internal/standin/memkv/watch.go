package memkv

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"waxwingpick"
)

type subscription struct {
	prefix  string
	changed func(key string)
	broken  func()
}

// Change is a change of a key. A removed key has no value.
type Change struct {
	Entry   waxwingpick.Entry
	Details Details
	Removed bool
}

// Record calls record for each change, in the order of the revisions and before its call returns. record must not call the
// service.
func (s *Store) Record(record func(c Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = record
}

// Subscribe calls changed in the goroutine of each write, so that single-threaded tests are deterministic.
func (s *Store) Subscribe(prefix string, changed func(key string)) (stop func()) {
	return s.subscribe(&subscription{
		prefix:  prefix,
		changed: changed,
		broken:  func() {},
	})
}

func (s *Store) subscribe(sub *subscription) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches = append(s.watches, sub)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watches = slices.DeleteFunc(s.watches, func(other *subscription) bool {
			return other == sub
		})
	}
}

// notifyLocked queues the watch events of a key. unlock delivers them.
func (s *Store) notifyLocked(key string) {
	if s.faults.dropEvents {
		return
	}
	if s.record != nil {
		s.record(s.changeLocked(key))
	}
	for _, sub := range s.watches {
		if strings.HasPrefix(key, sub.prefix) {
			s.pending = append(s.pending, func() {
				sub.changed(key)
			})
		}
	}
}

// changeLocked returns the change of a key that has just been made.
func (s *Store) changeLocked(key string) Change {
	c := Change{
		Entry:   s.entryLocked(key),
		Details: s.detailsLocked(key),
	}
	if !c.Entry.Exists() {
		c.Entry.Revision = s.revision
		c.Removed = true
	}
	return c
}

// unlock releases the lock and then delivers the queued events, so that receivers may call the service.
func (s *Store) unlock() {
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	for _, deliver := range pending {
		deliver()
	}
}

// BreakWatches ends every running Watch with ErrUnavailable.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	watches := slices.Clone(s.watches)
	s.mu.Unlock()
	for _, sub := range watches {
		sub.broken()
	}
}

// Watch is an open watch. One goroutine at a time may wait in Next.
type Watch struct {
	stop   func()
	broken chan struct{}
	ready  chan struct{}

	mu   sync.Mutex
	keys []string
}

func (s *Store) open(prefix string) *Watch {
	w := &Watch{
		broken: make(chan struct{}),
		ready:  make(chan struct{}, 1),
	}
	w.stop = s.subscribe(&subscription{
		prefix:  prefix,
		changed: w.push,
		broken:  sync.OnceFunc(func() { close(w.broken) }),
	})
	return w
}

// Next waits for changed keys. It fails with ErrUnavailable if the watch breaks.
func (w *Watch) Next(ctx context.Context) ([]string, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.broken:
		return nil, fmt.Errorf("watch broke: %w", waxwingpick.ErrUnavailable)
	case <-w.ready:
		return w.take(), nil
	}
}

// Close ends the watch.
func (w *Watch) Close() {
	w.stop()
}

func (w *Watch) push(key string) {
	w.mu.Lock()
	w.keys = append(w.keys, key)
	w.mu.Unlock()
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

func (w *Watch) take() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	keys := w.keys
	w.keys = nil
	return keys
}
