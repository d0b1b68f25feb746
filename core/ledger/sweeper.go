package ledger

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// ErrTombstonesFull means that a shard's expired claims are retained, because its page of tombstones is full.
var ErrTombstonesFull = eris.New("tombstone page is full")

// SweepPeriod is the interval at which one process of the system has to sweep.
const SweepPeriod = 5 * time.Second

const (
	// opaqueBatch is the maximum number of claims that one sweep reads, issuedBatch that of records of claims.
	opaqueBatch = 256
	issuedBatch = ClaimShards
	// issuedBatches is the maximum number of batches of one sweep. They remove more per SweepPeriod than orders can add.
	issuedBatches = 8
	// defaultGrace is the time for which a claim is retained after its key has expired. Clocks must agree within it.
	defaultGrace = time.Hour
)

// Sweeper removes expired claims. Any number of processes may sweep concurrently, but one is enough.
type Sweeper struct {
	kv     waxwingpick.KeyValue
	policy func() Policy
	shard  int
}

// NewSweeper returns a sweeper that applies the same policy as the entries.
func NewSweeper(kv waxwingpick.KeyValue, policy func() Policy) *Sweeper {
	return &Sweeper{
		kv:     kv,
		policy: policy,
	}
}

// Sweep removes expired issued claims, in a few batches, and expired opaque claims of the next shard, and returns the
// number of removed records. It needs to run once per SweepPeriod.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (int, error) {
	removed := 0
	for range issuedBatches {
		count, err := s.SweepIssued(ctx, now)
		removed += count
		if err != nil {
			return removed, err
		}
		if count < issuedBatch {
			break
		}
	}
	shard := s.shard
	s.shard = (s.shard + 1) % OpaqueShards
	count, err := s.SweepOpaque(ctx, now, shard)
	return removed + count, err
}

// SweepIssued removes the oldest records of claims of keys with an issue time, and returns their number.
func (s *Sweeper) SweepIssued(ctx context.Context, now time.Time) (int, error) {
	entries, err := s.kv.List(ctx, issuedPrefix, issuedBatch)
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	before := s.cutoff(now).Truncate(BucketWidth)
	limit := issuedPath(before)
	end := slices.IndexFunc(entries, func(e waxwingpick.Entry) bool {
		return e.Key >= limit
	})
	if end < 0 {
		end = len(entries)
	}
	if end == 0 {
		return 0, nil
	}
	if err := s.raiseMinIssueTime(ctx, before); err != nil {
		return 0, err
	}
	return s.removeAll(ctx, entries[:end])
}

// SweepOpaque removes the expired claims of one shard of opaque keys, 0 to OpaqueShards-1, and returns their number.
func (s *Sweeper) SweepOpaque(ctx context.Context, now time.Time, shard int) (int, error) {
	entries, err := s.kv.List(ctx, opaqueShardPath(shard), opaqueBatch)
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	expired := s.expired(entries, now)
	if len(expired) == 0 {
		return 0, nil
	}
	if err := s.writeTombstones(ctx, shard, expired); err != nil {
		return 0, err
	}
	return s.removeAll(ctx, expired)
}

func (s *Sweeper) cutoff(now time.Time) time.Time {
	return now.Add(-s.policy().retention - defaultGrace)
}

func (s *Sweeper) expired(entries []waxwingpick.Entry, now time.Time) []waxwingpick.Entry {
	var expired []waxwingpick.Entry
	for _, e := range entries {
		claim, err := decodeClaim(e.Value)
		if err == nil && claim.ClaimedAt.Before(s.cutoff(now)) {
			expired = append(expired, e)
		}
	}
	return expired
}

// writeTombstones writes the tombstones of the claims. The claims may be removed only if this write certainly took effect.
func (s *Sweeper) writeTombstones(ctx context.Context, shard int, expired []waxwingpick.Entry) error {
	page, err := s.kv.Get(ctx, tombstonePath(shard))
	if err != nil {
		return fmt.Errorf("read tombstones: %w", err)
	}
	if tombstonePage(page.Value).full() {
		return fmt.Errorf("shard %d: %w", shard, ErrTombstonesFull)
	}
	fingerprints := make([]uint64, 0, len(expired))
	for _, e := range expired {
		fingerprint, err := fingerprintOf(e.Key)
		if err != nil {
			return err
		}
		fingerprints = append(fingerprints, fingerprint)
	}
	value := tombstonePage(page.Value).with(fingerprints...)
	if _, err := s.kv.CompareAndSwap(ctx, page.Key, page.Revision, value, 0); err != nil {
		return fmt.Errorf("write tombstones: %w", err)
	}
	return nil
}

// raiseMinIssueTime records that claims issued before the time are removed. They may be removed only if this write
// certainly took effect.
func (s *Sweeper) raiseMinIssueTime(ctx context.Context, before time.Time) error {
	record, err := s.kv.Get(ctx, minIssueTimePath)
	if err != nil {
		return fmt.Errorf("read minimum issue time: %w", err)
	}
	current, err := decodeMinIssueTime(record.Value)
	if err != nil {
		return err
	}
	if !current.Before.Before(before) {
		return nil
	}
	raised := minIssueTime{
		Before: before,
	}
	if _, err := s.kv.CompareAndSwap(ctx, minIssueTimePath, record.Revision, raised.encode(), 0); err != nil {
		return fmt.Errorf("raise minimum issue time: %w", err)
	}
	return nil
}

func (s *Sweeper) removeAll(ctx context.Context, entries []waxwingpick.Entry) (int, error) {
	for i, e := range entries {
		if err := s.remove(ctx, e); err != nil {
			return i, err
		}
	}
	return len(entries), nil
}

func (s *Sweeper) remove(ctx context.Context, e waxwingpick.Entry) error {
	err := s.kv.CompareAndDelete(ctx, e.Key, e.Revision)
	if errors.Is(err, waxwingpick.ErrConflict) {
		// Another sweeper removed it first.
		return nil
	}
	if err != nil {
		return fmt.Errorf("remove claim: %w", err)
	}
	return nil
}

// fingerprintOf returns the fingerprint of the key whose claim is at path.
func fingerprintOf(path string) (uint64, error) {
	hash, err := hex.DecodeString(path[strings.LastIndexByte(path, '/')+1:])
	if err != nil {
		return 0, fmt.Errorf("claim path %s: %w", path, err)
	}
	return Key{
		hash: [32]byte(append(hash, make([]byte, 32-len(hash))...)),
	}.fingerprint(), nil
}
