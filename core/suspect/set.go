package suspect

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	setShards = 16

	defaultExpiry = time.Hour
	defaultSize   = 4096
)

// Set holds the records of fingerprints that were in flight at a crash.
type Set struct {
	expiry  time.Duration
	size    int
	evicted atomic.Int64
	shards  [setShards]setShard
}

type setShard struct {
	mu      sync.RWMutex
	records map[Fingerprint]Record
}

// Option configures a set.
type Option func(*Set) error

// WithExpiry sets the time after which a crash no longer counts.
func WithExpiry(expiry time.Duration) Option {
	return func(s *Set) error {
		if expiry <= 0 {
			return eris.Errorf("expiry %s: want a positive one", expiry)
		}
		s.expiry = expiry
		return nil
	}
}

// WithSize sets the maximum number of records.
func WithSize(records int) Option {
	return func(s *Set) error {
		if records < setShards {
			return eris.Errorf("size of %d records: want at least %d", records, setShards)
		}
		s.size = records / setShards
		return nil
	}
}

// NewSet returns an empty set.
func NewSet(opts ...Option) (*Set, error) {
	s := &Set{
		expiry: defaultExpiry,
		size:   defaultSize / setShards,
	}
	for _, opt := range opts {
		if err := opt(s); err != nil {
			return nil, fmt.Errorf("set option: %w", err)
		}
	}
	for i := range s.shards {
		s.shards[i].records = make(map[Fingerprint]Record)
	}
	return s, nil
}

// Status returns how a request with the fingerprint may run.
func (s *Set) Status(now time.Time, f Fingerprint) Status {
	shard := s.shard(f)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.records[f].status(now.Add(-s.expiry))
}

// Record returns the record of a fingerprint.
func (s *Set) Record(f Fingerprint) Record {
	shard := s.shard(f)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	record := shard.records[f]
	record.Fingerprint = f
	return record
}

// Crashed records a target's crash with the fingerprints that were in flight there, and returns the records to publish.
func (s *Set) Crashed(now time.Time, crash Crash, inFlight []Fingerprint) []Record {
	records := make([]Record, 0, len(inFlight))
	for _, f := range inFlight {
		records = append(records, Record{
			Fingerprint: f,
			Crashes:     []Crash{crash},
		})
	}
	s.Merge(now, records)
	return records
}

// Clear clears a fingerprint of the crashes up to now and returns the record to publish.
func (s *Set) Clear(now time.Time, f Fingerprint) Record {
	record := Record{
		Fingerprint: f,
		Lifted:      now,
	}
	s.Merge(now, []Record{record})
	return record
}

// ClearSuspect clears a suspect whose response was complete and returns the record to publish. False means that the
// request was not a suspect.
func (s *Set) ClearSuspect(now time.Time, f Fingerprint) (Record, bool) {
	if s.Status(now, f) != StatusSuspect {
		return Record{}, false
	}
	return s.Clear(now, f), true
}

// Merge merges records of another process and returns the number of those that changed this set.
func (s *Set) Merge(now time.Time, records []Record) int {
	oldest := now.Add(-s.expiry)
	changed := 0
	for _, record := range records {
		if record.newest().After(oldest) && s.shard(record.Fingerprint).merge(record) {
			changed++
		}
	}
	if changed > 0 {
		s.bound(oldest)
	}
	return changed
}

// Records returns every record that has not expired, ordered by fingerprint.
func (s *Set) Records(now time.Time) []Record {
	oldest := now.Add(-s.expiry)
	var all []Record
	for i := range s.shards {
		all = append(all, s.shards[i].current(oldest)...)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return all
}

// Evicted returns the number of records that were removed before they expired, because the set was full.
func (s *Set) Evicted() int64 {
	return s.evicted.Load()
}

func (s *Set) shard(f Fingerprint) *setShard {
	return &s.shards[uint64(f)%setShards]
}

func (s *Set) bound(oldest time.Time) {
	for i := range s.shards {
		s.evicted.Add(s.shards[i].bound(s.size, oldest))
	}
}

func (s *setShard) merge(record Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.records[record.Fingerprint]
	merged := record.merge(existing)
	if merged.equal(existing) {
		return false
	}
	s.records[record.Fingerprint] = merged
	return true
}

func (s *setShard) current(oldest time.Time) []Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var records []Record
	for _, record := range s.records {
		if record.newest().After(oldest) {
			records = append(records, record)
		}
	}
	return records
}

// bound removes expired records and then, if too many remain, the first ones in eviction order. It returns the number of
// the latter.
func (s *setShard) bound(size int, oldest time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) <= size {
		return 0
	}
	for f, record := range s.records {
		if !record.newest().After(oldest) {
			delete(s.records, f)
		}
	}
	excess := len(s.records) - size
	if excess <= 0 {
		return 0
	}
	for _, record := range s.evictionOrder(oldest)[:excess] {
		delete(s.records, record.Fingerprint)
	}
	return int64(excess)
}

// evictionOrder returns the records by status, then by age, so that suspects are evicted before refused fingerprints.
func (s *setShard) evictionOrder(oldest time.Time) []Record {
	records := make([]Record, 0, len(s.records))
	for _, record := range s.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(
			cmp.Compare(a.status(oldest), b.status(oldest)),
			a.newest().Compare(b.newest()),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	return records
}
