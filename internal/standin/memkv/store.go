package memkv

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// Store is the service: its keys, leases, watches and the faults that apply to all clients.
type Store struct {
	timers waxwingpick.Timers

	mu        sync.Mutex
	revision  int64
	records   map[string]record
	leases    map[waxwingpick.LeaseID]*lease
	lastLease waxwingpick.LeaseID
	watches   []*subscription
	pending   []func()
	record    func(c Change)
	deferred  []func()
	faults    serviceFaults
	calls     map[waxwingpick.KeyValueCall]int64
}

type record struct {
	value    []byte
	revision int64
	created  int64
	version  int64
	lease    waxwingpick.LeaseID
}

// Details is the metadata of a key that an Entry does not have.
type Details struct {
	// Created is the revision at which the key was created.
	Created int64
	// Version is the number of writes since then, the creation included.
	Version int64
	Lease   waxwingpick.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	stop    func()
}

// New returns an empty service. The timer service runs its leases and delays.
func New(timers waxwingpick.Timers) *Store {
	return &Store{
		timers:  timers,
		records: make(map[string]record),
		leases:  make(map[waxwingpick.LeaseID]*lease),
		calls:   make(map[waxwingpick.KeyValueCall]int64),
	}
}

// Client returns a client for a process.
func (s *Store) Client() *Client {
	return &Client{
		store: s,
	}
}

// Calls returns the number of calls of the kind that reached the service, including rejected ones.
func (s *Store) Calls(kind waxwingpick.KeyValueCall) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// ResetCalls sets every call counter to zero.
func (s *Store) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.calls)
}

// Revision returns the current revision of the service.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Peek reads a key without faults and without counting a call, for oracles and admin pages.
func (s *Store) Peek(key string) (waxwingpick.Entry, Details) {
	s.mu.Lock()
	defer s.unlock()
	s.expireLocked()
	return s.entryLocked(key), s.detailsLocked(key)
}

func (s *Store) detailsLocked(key string) Details {
	r := s.records[key]
	return Details{
		Created: r.created,
		Version: r.version,
		Lease:   r.lease,
	}
}

func (s *Store) get(key string, after int64) waxwingpick.Entry {
	s.mu.Lock()
	defer s.unlock()
	s.expireLocked()
	if e := s.entryLocked(key); e.Revision > after {
		return e
	}
	return waxwingpick.Entry{
		Key: key,
	}
}

func (s *Store) list(prefix string, after int64, limit int) []waxwingpick.Entry {
	s.mu.Lock()
	defer s.unlock()
	s.expireLocked()
	var keys []string
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) && r.revision > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	entries := make([]waxwingpick.Entry, 0, len(keys))
	for _, key := range keys {
		entries = append(entries, s.entryLocked(key))
	}
	return entries
}

func (s *Store) entryLocked(key string) waxwingpick.Entry {
	r := s.records[key]
	return waxwingpick.Entry{
		Key:      key,
		Value:    slices.Clone(r.value),
		Revision: r.revision,
	}
}

func (s *Store) swap(key string, expected int64, value []byte, id waxwingpick.LeaseID) (waxwingpick.Entry, error) {
	if len(value) > waxwingpick.MaxValueSize {
		return waxwingpick.Entry{}, fmt.Errorf("%d bytes: %w", len(value), waxwingpick.ErrValueTooLarge)
	}
	s.mu.Lock()
	defer s.unlock()
	s.expireLocked()
	if s.records[key].revision != expected {
		return waxwingpick.Entry{}, fmt.Errorf("swap %s at %d: %w", key, expected, waxwingpick.ErrConflict)
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return waxwingpick.Entry{}, fmt.Errorf("swap %s: %w", key, waxwingpick.ErrLeaseExpired)
	}
	s.revision++
	r := record{
		value:    slices.Clone(value),
		revision: s.revision,
		created:  s.revision,
		version:  1,
		lease:    id,
	}
	if expected != 0 {
		r.created = s.records[key].created
		r.version = s.records[key].version + 1
	}
	s.records[key] = r
	s.notifyLocked(key)
	return s.entryLocked(key), nil
}

func (s *Store) remove(key string, expected int64) error {
	s.mu.Lock()
	defer s.unlock()
	s.expireLocked()
	if s.records[key].revision != expected {
		return fmt.Errorf("delete %s at %d: %w", key, expected, waxwingpick.ErrConflict)
	}
	if expected == 0 {
		return nil
	}
	s.revision++
	delete(s.records, key)
	s.notifyLocked(key)
	return nil
}

func (s *Store) grant(ttl time.Duration) (waxwingpick.LeaseID, error) {
	if ttl <= 0 {
		return 0, eris.Errorf("lease TTL %s: must be positive", ttl)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	l := &lease{
		ttl: ttl,
	}
	s.leases[s.lastLease] = l
	s.renewLocked(l)
	return s.lastLease, nil
}

func (s *Store) keepAlive(id waxwingpick.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.unlock()
	s.expireLocked()
	l, ok := s.leases[id]
	if !ok {
		return 0, fmt.Errorf("lease %d: %w", id, waxwingpick.ErrLeaseExpired)
	}
	l.stop()
	s.renewLocked(l)
	return l.ttl, nil
}

func (s *Store) renewLocked(l *lease) {
	l.expires = s.timers.Now().Add(l.ttl)
	l.stop = s.timers.After(l.ttl, func(time.Time) {
		s.mu.Lock()
		defer s.unlock()
		s.expireLocked()
	})
}

// expireLocked ends the expired leases, in the order of their IDs.
func (s *Store) expireLocked() {
	now := s.timers.Now()
	var due []waxwingpick.LeaseID
	for id, l := range s.leases {
		if !l.expires.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		s.endLocked(id)
	}
}

// endLocked removes a lease and its keys.
func (s *Store) endLocked(id waxwingpick.LeaseID) {
	s.leases[id].stop()
	delete(s.leases, id)
	var keys []string
	for key, r := range s.records {
		if r.lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.revision++
		delete(s.records, key)
		s.notifyLocked(key)
	}
}

func (s *Store) revoke(id waxwingpick.LeaseID) error {
	s.mu.Lock()
	defer s.unlock()
	s.expireLocked()
	if _, ok := s.leases[id]; !ok {
		return fmt.Errorf("lease %d: %w", id, waxwingpick.ErrLeaseExpired)
	}
	s.endLocked(id)
	return nil
}
