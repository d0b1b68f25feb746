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

// ErrTombstonesFull says that a shard's aged claims stay, because it has no room for their tombstones.
var ErrTombstonesFull = eris.New("no room for tombstones")

// SweepPeriod is how often one process of the system has to sweep.
const SweepPeriod = 5 * time.Second

const (
	// opaqueBatch bounds the claims that one sweep reads, issuedBatch the records of claims.
	opaqueBatch = 256
	issuedBatch = ClaimShards
	// issuedBatches bounds the batches of one sweep; it removes more in a SweepPeriod than orders can add.
	issuedBatches = 8
	// defaultGrace is how much longer a claim is kept than its key counts; clocks must agree within it.
	defaultGrace = time.Hour
)

// Sweeper removes claims that have aged out; any number of processes may sweep at once, but one is enough.
type Sweeper struct {
	kv     waxwingpick.KeyValue
	policy func() Policy
	shard  int
}

// NewSweeper returns a sweeper of claims under the policy that the entries use.
func NewSweeper(kv waxwingpick.KeyValue, policy func() Policy) *Sweeper {
	return &Sweeper{
		kv:     kv,
		policy: policy,
	}
}

// Sweep removes what has aged out of the issued claims, in a few batches, and of the next shard of opaque
// ones, and returns the number of removed records. Once each SweepPeriod is enough.
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

// SweepIssued removes the oldest records of claims of keys that carry their issue time, and returns their number.
func (s *Sweeper) SweepIssued(ctx context.Context, now time.Time) (int, error) {
	entries, err := s.kv.List(ctx, issuedPrefix, issuedBatch)
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	before := s.oldest(now).Truncate(BucketWidth)
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
	if err := s.raiseFloor(ctx, before); err != nil {
		return 0, err
	}
	return s.removeAll(ctx, entries[:end])
}

// SweepOpaque removes the aged claims of one shard of opaque keys, 0 to OpaqueShards-1, and returns their number.
func (s *Sweeper) SweepOpaque(ctx context.Context, now time.Time, shard int) (int, error) {
	entries, err := s.kv.List(ctx, opaqueShardPath(shard), opaqueBatch)
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	aged := s.aged(entries, now)
	if len(aged) == 0 {
		return 0, nil
	}
	if err := s.bury(ctx, shard, aged); err != nil {
		return 0, err
	}
	return s.removeAll(ctx, aged)
}

func (s *Sweeper) oldest(now time.Time) time.Time {
	return now.Add(-s.policy().retention - defaultGrace)
}

func (s *Sweeper) aged(entries []waxwingpick.Entry, now time.Time) []waxwingpick.Entry {
	var aged []waxwingpick.Entry
	for _, e := range entries {
		claim, err := decodeClaim(e.Value)
		if err == nil && claim.ClaimedAt.Before(s.oldest(now)) {
			aged = append(aged, e)
		}
	}
	return aged
}

// bury writes the tombstones of the claims; only a write that surely took effect allows to remove them.
func (s *Sweeper) bury(ctx context.Context, shard int, aged []waxwingpick.Entry) error {
	page, err := s.kv.Get(ctx, tombstonePath(shard))
	if err != nil {
		return fmt.Errorf("read tombstones: %w", err)
	}
	if tombstonePage(page.Value).full() {
		return fmt.Errorf("shard %d: %w", shard, ErrTombstonesFull)
	}
	fingerprints := make([]uint64, 0, len(aged))
	for _, e := range aged {
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

// raiseFloor writes that claims issued before the time are removed; only a write that surely took effect allows to remove them.
func (s *Sweeper) raiseFloor(ctx context.Context, before time.Time) error {
	record, err := s.kv.Get(ctx, floorPath)
	if err != nil {
		return fmt.Errorf("read floor: %w", err)
	}
	held, err := decodeFloor(record.Value)
	if err != nil {
		return err
	}
	if !held.Before.Before(before) {
		return nil
	}
	raised := floor{
		Before: before,
	}
	if _, err := s.kv.CompareAndSwap(ctx, floorPath, record.Revision, raised.encode(), 0); err != nil {
		return fmt.Errorf("raise floor: %w", err)
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
		// Another sweeper was faster.
		return nil
	}
	if err != nil {
		return fmt.Errorf("remove claim: %w", err)
	}
	return nil
}

// fingerprintOf returns the fingerprint of the key whose claim has the path.
func fingerprintOf(path string) (uint64, error) {
	hash, err := hex.DecodeString(path[strings.LastIndexByte(path, '/')+1:])
	if err != nil {
		return 0, fmt.Errorf("claim path %s: %w", path, err)
	}
	return Key{
		hash: [32]byte(append(hash, make([]byte, 32-len(hash))...)),
	}.fingerprint(), nil
}
