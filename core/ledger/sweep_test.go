package ledger_test

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/internal/rapidtest"
)

// entryPolicy is what the entries use: the retention was raised behind the sweepers' backs, so that the records alone keep old keys refused.
var entryPolicy = ledger.PolicyFor(7 * 24 * time.Hour)

// sweepStore is the key-value service as a sweeper sees it, with faults and with sendings between its calls.
type sweepStore struct {
	waxwingpick.KeyValue
	world *world
	draw  rapidtest.Draw
}

func (s sweepStore) enter() error {
	if len(s.world.sendings) > 0 && s.draw(2) == 0 {
		s.world.step(s.world.sendings[s.draw(len(s.world.sendings))], 0)
	}
	if s.world.down || s.draw(6) == 0 {
		return waxwingpick.ErrUnavailable
	}
	return nil
}

func (s sweepStore) Get(_ context.Context, key string) (waxwingpick.Entry, error) {
	err := s.enter()
	e := s.world.store(0)[key]
	e.Key = key
	return e, err
}

func (s sweepStore) List(_ context.Context, prefix string, _ int) ([]waxwingpick.Entry, error) {
	if err := s.enter(); err != nil {
		return nil, err
	}
	var found []waxwingpick.Entry
	for key, e := range s.world.store(0) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b waxwingpick.Entry) int {
		return strings.Compare(a.Key, b.Key)
	})
	return found, nil
}

func (s sweepStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, _ waxwingpick.LeaseID) (waxwingpick.Entry, error) {
	if err := s.enter(); err != nil {
		return waxwingpick.Entry{}, err
	}
	return s.world.swap(0, ledger.Action{
		Key:      key,
		Expected: expected,
		Value:    value,
	})
}

func (s sweepStore) CompareAndDelete(_ context.Context, key string, expected int64) error {
	if err := s.enter(); err != nil {
		return err
	}
	store := s.world.store(0)
	if store[key].Revision != expected {
		return waxwingpick.ErrConflict
	}
	delete(store, key)
	return nil
}

// sweep removes aged claims; the bare way leaves neither floor nor tombstones.
func (w *world) sweep(d rapidtest.Draw) {
	if w.variant.bareSweeps {
		w.sweepBare()
		return
	}
	store := sweepStore{
		world: w,
		draw:  d,
	}
	sweeper := ledger.NewSweeper(store, func() ledger.Policy { return ledger.PolicyFor(24 * time.Hour) })
	_, _ = sweeper.SweepIssued(context.Background(), w.now)
	for _, shard := range w.shards() {
		_, _ = sweeper.SweepOpaque(context.Background(), w.now, shard)
	}
}

func (w *world) sweepBare() {
	for key, e := range w.store(0) {
		var claim ledger.Claim
		if err := json.Unmarshal(e.Value, &claim); err != nil {
			panic(err)
		}
		if w.now.Sub(claim.ClaimedAt) > 24*time.Hour {
			delete(w.store(0), key)
		}
	}
}

// shards returns the shards of the claims of opaque keys, in ascending order.
func (w *world) shards() []int {
	var shards []int
	for key := range w.store(0) {
		if rest, ok := strings.CutPrefix(key, ledger.KeyPrefix+"opaque/"); ok {
			shard, err := strconv.ParseInt(rest[:3], 16, 32)
			if err != nil {
				panic(err)
			}
			shards = append(shards, int(shard))
		}
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}
