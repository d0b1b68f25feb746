package quota_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/quota"
	"waxwingpick/internal/quotafleet"
	"waxwingpick/internal/rapidtest"
)

// TestFleetKeepsToTheRate runs entries with kills, pauses, broken links, lost and late responses, and owner changes.
func TestFleetKeepsToTheRate(t *testing.T) {
	rapidtest.Check(t, func(d rapidtest.Draw) error {
		return newWorld().drive(d)
	})
}

func TestOracleDetectsOwnerThatGrantsAtOnce(t *testing.T) {
	err := rapidtest.FirstViolation(func(d rapidtest.Draw) error {
		w := newWorld()
		w.greedy = true
		return w.drive(d)
	})
	require.ErrorContains(t, err, "more than allowed")
}

// TestOverTheRateEntriesShareItWhole offers twice the rate. The rate must be used in full, and a request at an entry
// that receives half of all requests must be admitted with at least half of the probability at the other entries.
func TestOverTheRateEntriesShareItWhole(t *testing.T) {
	limit := quota.NewLimit(20, 40)
	for _, entries := range []int{1, 3, 50} {
		for _, throughOne := range []float64{0, 0.5, 1} {
			f := quotafleet.New(entries, limit)
			f.Offer(quotafleet.Load{
				Workspace:          studio,
				RateMultiple:       2,
				FirstEntryFraction: throughOne,
			})
			got := float64(f.Admitted()) / quotafleet.Measured.Seconds()
			require.InEpsilon(t, limit.PerSecond(), got, 0.01, "%d entries, %f through one", entries, throughOne)
			one := f.Entries()[0]
			heavy := float64(one.Admitted()) / float64(one.Offered())
			others := float64(f.Admitted()-one.Admitted()) / float64(f.Admitted()+f.Refused()-one.Offered())
			require.False(t, others > 2*heavy, "%f of the requests are admitted through the heavy entry, %f elsewhere", heavy, others)
		}
	}
}

// TestOrderOfTheListIsNoChange passes the same entries in different orders, as replicas of the platform do. An owner
// that took this for a change would empty its reserves and admit too little.
func TestOrderOfTheListIsNoChange(t *testing.T) {
	f := quotafleet.New(worldEntries, quota.NewLimit(20, 40))
	list := slices.Clone(f.Entries()[0].View())
	for range 100 {
		f.Advance(quotafleet.Tick)
		slices.Reverse(list)
		for _, e := range f.Entries() {
			f.SetList(e, list)
		}
		f.Request(f.Entries()[0], studio)
		f.Settle()
	}
	require.Greater(t, f.Admitted(), 20, "more than one second of the rate, because the base is added")
}

// TestUnusedTokensExpire checks that tokens requested in advance by a busy entry expire after their lifetime when its
// requests stop.
func TestUnusedTokensExpire(t *testing.T) {
	f := quotafleet.New(worldEntries, quota.NewLimit(100, 200))
	e := f.Entries()[0]
	for f.TokenRequests() < 20 {
		f.Advance(2 * quotafleet.Tick)
		f.Request(e, studio)
		f.Settle()
	}
	f.Advance(quota.Lifetime)
	f.ResetCounts()
	for f.Request(e, studio).Admitted {
		require.Less(t, f.Admitted(), 1000)
	}
	require.InDelta(t, f.Limit().Base(worldEntries), f.Admitted(), 1)
}

// TestRetryAfterIsTrue exhausts a rate and retries after RetryAfter. At the latest the second retry must be admitted.
func TestRetryAfterIsTrue(t *testing.T) {
	for _, entries := range []int{1, worldEntries, 400} {
		for _, perSecond := range []float64{0.1, 8, 500} {
			f := quotafleet.New(entries, quota.NewLimit(perSecond, 2*perSecond))
			e := f.Entries()[0]
			v := f.Request(e, studio)
			for ; v.Admitted; v = f.Request(e, studio) {
				f.Settle()
			}
			for retries := 0; !v.Admitted; retries++ {
				require.Less(t, retries, 2, "%d entries, %f requests a second", entries, perSecond)
				for retryAt := f.Now().Add(v.RetryAfter); f.Now().Before(retryAt); f.Settle() {
					f.Advance(quotafleet.Tick)
				}
				v = f.Request(e, studio)
			}
		}
	}
}

func TestOptionsAreBounded(t *testing.T) {
	_, err := quota.NewChecker(quota.Workspaces(0))
	require.ErrorIs(t, err, quota.ErrOption)
	_, err = quota.NewOwner("entry-0", quota.Workspaces(0))
	require.ErrorIs(t, err, quota.ErrOption)
}

// BenchmarkCheck measures the cost of Check on the request path.
func BenchmarkCheck(b *testing.B) {
	c, err := quota.NewChecker()
	require.NoError(b, err)
	limit := quota.NewLimit(20, 40)
	now := time.Unix(1_000_000, 0)
	var ids []waxwingpick.WorkspaceID
	for i := range 5800 {
		ids = append(ids, waxwingpick.WorkspaceID(fmt.Sprintf("workspace-%d", i)))
	}
	before := heap()
	for _, id := range ids {
		c.Check(now, id, limit)
	}
	perWorkspace := float64(heap()-before) / float64(len(ids))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		if v := c.Check(now, ids[i%len(ids)], limit); v.Due {
			c.Granted(now, v.Request, quota.Grant{
				Tokens: v.Request.MaxTokens,
			})
		}
	}
	b.ReportMetric(perWorkspace, "heap-B/workspace")
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
