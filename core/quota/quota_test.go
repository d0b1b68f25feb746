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

// TestFleetKeepsToTheRate drives entries through kills, pauses, cuts, lost and late answers, and changes of the owner.
func TestFleetKeepsToTheRate(t *testing.T) {
	rapidtest.Check(t, func(d rapidtest.Draw) error {
		return newWorld().drive(d)
	})
}

func TestOracleCatchesAnOwnerThatGrantsAtOnce(t *testing.T) {
	err := rapidtest.FirstViolation(func(d rapidtest.Draw) error {
		w := newWorld()
		w.greedy = true
		return w.drive(d)
	})
	require.ErrorContains(t, err, "more than allowed")
}

// TestOverTheRateEntriesShareItWhole offers twice the rate: all of it is used, and where half comes through one entry, a
// request there has at least half of the chance that it has at the others.
func TestOverTheRateEntriesShareItWhole(t *testing.T) {
	limit := quota.NewLimit(20, 40)
	for _, entries := range []int{1, 3, 50} {
		for _, throughOne := range []float64{0, 0.5, 1} {
			f := quotafleet.New(entries, limit)
			f.Offer(quotafleet.Load{
				Workspace:  studio,
				Times:      2,
				ThroughOne: throughOne,
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

// TestOrderOfTheListIsNoChange hands the same entries over in another order again and again, as replicas of the platform do.
func TestOrderOfTheListIsNoChange(t *testing.T) {
	f := quotafleet.New(worldEntries, quota.NewLimit(20, 40))
	list := slices.Clone(f.Entries()[0].View())
	for range 100 {
		f.Pass(quotafleet.Tick)
		slices.Reverse(list)
		for _, e := range f.Entries() {
			f.See(e, list)
		}
		f.Request(f.Entries()[0], studio)
		f.Settle()
	}
	require.Greater(t, f.Admitted(), 20, "more than a second of the rate, as a base comes on top")
}

// TestUnusedTokensExpire lets a busy entry fall silent: what it asked for ahead is gone after its lifetime.
func TestUnusedTokensExpire(t *testing.T) {
	f := quotafleet.New(worldEntries, quota.NewLimit(100, 200))
	e := f.Entries()[0]
	for f.Asks() < 20 {
		f.Pass(2 * quotafleet.Tick)
		f.Request(e, studio)
		f.Settle()
	}
	f.Pass(quota.Lifetime)
	f.ResetCounts()
	for f.Request(e, studio).Admitted {
		require.Less(t, f.Admitted(), 1000)
	}
	require.InDelta(t, f.Limit().Base(worldEntries), f.Admitted(), 1)
}

// TestRetryAfterIsTrue uses a rate up and comes back when it was told, the second time at the latest with success.
func TestRetryAfterIsTrue(t *testing.T) {
	for _, entries := range []int{1, worldEntries, 400} {
		for _, perSecond := range []float64{0.1, 8, 500} {
			f := quotafleet.New(entries, quota.NewLimit(perSecond, 2*perSecond))
			e := f.Entries()[0]
			v := f.Request(e, studio)
			for ; v.Admitted; v = f.Request(e, studio) {
				f.Settle()
			}
			for returns := 0; !v.Admitted; returns++ {
				require.Less(t, returns, 2, "%d entries, %f requests a second", entries, perSecond)
				for told := f.Now().Add(v.RetryAfter); f.Now().Before(told); f.Settle() {
					f.Pass(quotafleet.Tick)
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

// BenchmarkCheck is the cost on the path of a request.
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
			c.Granted(now, v.Ask, quota.Grant{
				Tokens: v.Ask.Room,
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
