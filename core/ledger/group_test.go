package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

// forwarding is the way in which entries of a test forward claims to each other.
type forwarding string

const (
	forwardingOff         forwarding = "none"
	forwardingReliable    forwarding = "whole"
	forwardingFaulty      forwarding = "faulty"
	forwardingMisreported forwarding = "lost responses reported as not taken"
)

// connect makes the entries forward their claims to each other's ledgers, with faults according to kind.
func connect(kind forwarding, entries []*grouped) {
	if kind == forwardingOff {
		return
	}
	ids := make([]waxwingpick.InstanceID, len(entries))
	ledgers := make(map[waxwingpick.InstanceID]*Ledger)
	for i, g := range entries {
		ids[i] = waxwingpick.InstanceID(fmt.Sprintf("entry-%d", i))
		ledgers[ids[i]] = &Ledger{
			kv: g,
		}
	}
	for i, g := range entries {
		var calls atomic.Uint64
		var clock atomic.Int64
		g.owners = NewOwners(ids[i])
		g.owners.SetEntries(ids)
		// Each entry's clock runs at another speed, so that they seldom agree on which entry is skipped.
		g.now = func() time.Time { return time.Unix(clock.Add(int64(i+1)), 0) }
		g.forward = func(ctx context.Context, owner waxwingpick.InstanceID, writes []ClaimWrite) ([]WriteResult, error) {
			n := calls.Add(1)
			if kind == forwardingFaulty && n%5 == 0 {
				return nil, ErrForwardRejected
			}
			results, err := ledgers[owner].Commit(ctx, writes)
			switch {
			case kind == forwardingFaulty && n%7 == 0:
				return nil, context.DeadlineExceeded
			case kind == forwardingMisreported && n%7 == 0:
				return nil, ErrForwardRejected
			}
			return results, err
		}
	}
}

// TestGroupedClaimsSwapLikeSingleOnes increments numbers in claims by compare-and-swap through three entries with faults.
// Each successful write counts once, a write with a lost response at most once, and a rejected one not at all.
func TestGroupedClaimsSwapLikeSingleOnes(t *testing.T) {
	for _, kind := range []forwarding{forwardingOff, forwardingReliable, forwardingFaulty} {
		t.Run(string(kind), func(t *testing.T) {
			require.NoError(t, countThroughEntries(t, kind))
		})
	}
}

// TestCountTellsMisleadingHandovers reports a lost response as ErrForwardRejected. The entry then writes again and
// reports an increment as rejected that took effect. The increments are sequential and the store has no faults, so no
// outcome is unknown, which would hide the difference.
func TestCountTellsMisleadingHandovers(t *testing.T) {
	require.NoError(t, countSequentially(t, forwardingReliable))
	require.Error(t, countSequentially(t, forwardingMisreported))
}

const (
	// countedClaims is the number of claims with a number that a test increments.
	countedClaims = 6
	// countRounds is the number of increments of each worker.
	countRounds = 100
)

// counter increments numbers in claims through three entries and records the reported outcomes.
type counter struct {
	store     *memkv.Store
	keys      [countedClaims]string
	entries   [3]*grouped
	confirmed [countedClaims]atomic.Int64
	uncertain [countedClaims]atomic.Int64
}

func newCounter(kind forwarding) *counter {
	c := &counter{
		store: memkv.New(timer.NewManual(time.Now())),
	}
	for i := range c.keys {
		c.keys[i] = NewKey("tanzplan", uuid.Must(uuid.NewV7()).String()).Path()
	}
	for i := range c.entries {
		c.entries[i] = newGrouped(c.store.Client(), func(context.Context) error { return nil })
	}
	connect(kind, c.entries[:])
	return c
}

// add increments the number in a claim through an entry.
func (c *counter) add(entry, claim int) {
	switch err := count(c.entries[entry], c.keys[claim]); {
	case err == nil:
		c.confirmed[claim].Add(1)
	case errors.Is(err, waxwingpick.ErrUnknownOutcome):
		c.uncertain[claim].Add(1)
	}
}

// difference returns an error if the numbers in the claims don't match the reported outcomes.
func (c *counter) difference(t *testing.T) error {
	for _, kv := range c.entries {
		kv.close()
	}
	last := newGrouped(c.store.Client(), nil)
	for i, key := range c.keys {
		e, err := last.Get(context.Background(), key)
		require.NoError(t, err)
		require.Positive(t, c.confirmed[i].Load())
		minCount, maxCount := c.confirmed[i].Load(), c.confirmed[i].Load()+c.uncertain[i].Load()
		if n := number(e); n < minCount || n > maxCount {
			return fmt.Errorf("claim %d counts %d, not %d to %d", i, n, minCount, maxCount)
		}
	}
	return nil
}

// countThroughEntries increments through all entries concurrently, with faults of the store.
func countThroughEntries(t *testing.T, kind forwarding) error {
	c := newCounter(kind)
	for _, kv := range c.entries {
		var calls atomic.Uint64
		kv.KeyValue.(*memkv.Client).SetFault(func(waxwingpick.KeyValueCall) memkv.Fault {
			return memkv.Faults()[calls.Add(1)%9/5*(calls.Load()%4)]
		})
	}
	var wg conc.WaitGroup
	for entry := range c.entries {
		source := rand.New(rand.NewPCG(1, uint64(entry)))
		for range 4 {
			first := source.IntN(countedClaims)
			wg.Go(func() {
				for round := range countRounds {
					c.add(entry, (first+round)%countedClaims)
				}
			})
		}
	}
	wg.Wait()
	return c.difference(t)
}

// countSequentially makes one increment at a time, through one entry after the other, without faults of the store.
func countSequentially(t *testing.T, kind forwarding) error {
	c := newCounter(kind)
	for round := range countRounds {
		for entry := range c.entries {
			c.add(entry, round%countedClaims)
		}
	}
	return c.difference(t)
}

// count increments the number in a claim.
func count(kv waxwingpick.KeyValue, key string) error {
	e, err := kv.Get(context.Background(), key)
	if err != nil {
		return err
	}
	_, err = kv.CompareAndSwap(context.Background(), key, e.Revision, fmt.Append(nil, number(e)+1), 0)
	return err
}

func number(e waxwingpick.Entry) int64 {
	var n int64
	_, _ = fmt.Sscan(string(e.Value), &n)
	return n
}

// BenchmarkGroupedClaims reports the number of claims per write if the entries share 300 writes per second, a call takes
// 5 ms, and a fixed number of claims arrives at once.
func BenchmarkGroupedClaims(b *testing.B) {
	for _, entries := range []int{1, 3, 40, 400} {
		for _, arrivals := range []int{1, 100, 1000} {
			for _, kind := range []forwarding{forwardingOff, forwardingReliable} {
				b.Run(fmt.Sprintf("entries=%d/arrivals=%d/handover=%s", entries, arrivals, kind), func(b *testing.B) {
					benchmarkGroupedClaims(b, entries, arrivals, kind)
				})
			}
		}
	}
}

func benchmarkGroupedClaims(b *testing.B, entries, arrivals int, kind forwarding) {
	timers := timer.NewSystem()
	defer timers.Close()
	store := memkv.New(timers)
	store.SetDelay(5 * time.Millisecond)
	var kvs []*grouped
	for range entries {
		limiter := rate.NewLimiter(rate.Limit(300/float64(entries)), 1)
		kvs = append(kvs, newGrouped(store.Client(), limiter.Wait))
	}
	connect(kind, kvs)
	for _, kv := range kvs {
		if kind == forwardingOff {
			break
		}
		first, _ := kv.owners.ShardCounts()
		limiter := rate.NewLimiter(rate.Limit(300*float64(first)/ClaimShards), 1)
		kv.wait = limiter.Wait
	}
	claim := Claim{
		State:    ClaimOpen,
		BodyHash: HashCall(waxwingpick.CallRequest{}),
	}
	value := claim.encode()
	var placed atomic.Int64
	for b.Loop() {
		var wg conc.WaitGroup
		for i := range arrivals {
			wg.Go(func() {
				key := NewKey("tanzplan", uuid.Must(uuid.NewV7()).String())
				if _, err := kvs[i%entries].CompareAndSwap(context.Background(), key.Path(), 0, value, 0); err == nil {
					placed.Add(1)
				}
			})
		}
		wg.Wait()
	}
	writes := store.Calls(waxwingpick.CallSwap)
	b.ReportMetric(float64(placed.Load())/float64(writes), "claims/write")
	b.ReportMetric(float64(store.Calls(waxwingpick.CallGet))/float64(writes), "reads/write")
	b.ReportMetric(float64(placed.Load())/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(writes)/b.Elapsed().Seconds(), "writes/s")
}
