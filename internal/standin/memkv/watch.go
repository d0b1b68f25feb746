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

// Subscribe calls changed in the goroutine of each writer, which suits single-threaded tests.
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

// notifyLocked queues the watch events of a key; unlock delivers them.
func (s *Store) notifyLocked(key string) {
	if s.faults.dropEvents {
		return
	}
	for _, sub := range s.watches {
		if strings.HasPrefix(key, sub.prefix) {
			s.pending = append(s.pending, func() {
				sub.changed(key)
			})
		}
	}
}

// unlock releases the lock and then delivers queued events, so that a receiver may call the service.
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

// Watch is one open watch; a goroutine waits on it by Next.
type Watch struct {
	stop   func()
	broken chan struct{}
	filled chan struct{}

	mu   sync.Mutex
	keys []string
}

func (s *Store) open(prefix string) *Watch {
	w := &Watch{
		broken: make(chan struct{}),
		filled: make(chan struct{}, 1),
	}
	w.stop = s.subscribe(&subscription{
		prefix:  prefix,
		changed: w.push,
		broken:  sync.OnceFunc(func() { close(w.broken) }),
	})
	return w
}

// Next waits for changed keys; it fails with ErrUnavailable where the watch broke.
func (w *Watch) Next(ctx context.Context) ([]string, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.broken:
		return nil, fmt.Errorf("watch broke: %w", waxwingpick.ErrUnavailable)
	case <-w.filled:
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
	case w.filled <- struct{}{}:
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
