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

// entryPolicy is the policy of the entries. The retention was raised for them only, not for the sweepers, so that old
// keys are refused because of the records of removed claims alone.
var entryPolicy = ledger.PolicyFor(7 * 24 * time.Hour)

// sweepStore is the key-value service as seen by a sweeper, with faults and with steps of submissions between its calls.
type sweepStore struct {
	waxwingpick.KeyValue
	simulation *simulation
	draw       rapidtest.Draw
}

func (s sweepStore) enter() error {
	if len(s.simulation.submissions) > 0 && s.draw(2) == 0 {
		s.simulation.step(s.simulation.submissions[s.draw(len(s.simulation.submissions))], 0)
	}
	if s.simulation.down || s.draw(6) == 0 {
		return waxwingpick.ErrUnavailable
	}
	return nil
}

func (s sweepStore) Get(_ context.Context, key string) (waxwingpick.Entry, error) {
	err := s.enter()
	e := s.simulation.store(0)[key]
	e.Key = key
	return e, err
}

func (s sweepStore) List(_ context.Context, prefix string, _ int) ([]waxwingpick.Entry, error) {
	if err := s.enter(); err != nil {
		return nil, err
	}
	var found []waxwingpick.Entry
	for key, e := range s.simulation.store(0) {
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
	return s.simulation.swap(0, ledger.Action{
		Key:      key,
		Expected: expected,
		Value:    value,
	})
}

func (s sweepStore) CompareAndDelete(_ context.Context, key string, expected int64) error {
	if err := s.enter(); err != nil {
		return err
	}
	store := s.simulation.store(0)
	if store[key].Revision != expected {
		return waxwingpick.ErrConflict
	}
	delete(store, key)
	return nil
}

// sweep removes expired claims. The unrecorded variant writes neither the minimum issue time nor tombstones.
func (sim *simulation) sweep(d rapidtest.Draw) {
	if sim.variant.unrecordedSweeps {
		sim.sweepUnrecorded()
		return
	}
	store := sweepStore{
		simulation: sim,
		draw:       d,
	}
	sweeper := ledger.NewSweeper(store, func() ledger.Policy { return ledger.PolicyFor(24 * time.Hour) })
	_, _ = sweeper.SweepIssued(context.Background(), sim.now)
	for _, shard := range sim.shards() {
		_, _ = sweeper.SweepOpaque(context.Background(), sim.now, shard)
	}
}

func (sim *simulation) sweepUnrecorded() {
	for key, e := range sim.store(0) {
		var claim ledger.Claim
		if err := json.Unmarshal(e.Value, &claim); err != nil {
			panic(err)
		}
		if sim.now.Sub(claim.ClaimedAt) > 24*time.Hour {
			delete(sim.store(0), key)
		}
	}
}

// shards returns the shards of the claims of opaque keys, in ascending order.
func (sim *simulation) shards() []int {
	var shards []int
	for key := range sim.store(0) {
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
