package membudget_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/membudget"
)

func newBudget(t require.TestingT, limit int64) *membudget.Budget {
	b, err := membudget.New(limit)
	require.NoError(t, err)
	return b
}

// TestResponsesWithoutEndLeaveRoomForOthers has growing numbers of requests take all that they can get, as responses without end do,
// while others hold some kilobytes for a short time. A budget that is given to whom asks first refuses nearly all of the latter.
func TestResponsesWithoutEndLeaveRoomForOthers(t *testing.T) {
	t.Parallel()
	const (
		limit  = 57 << 20
		normal = 4 << 10
		step   = 16 << 10
	)
	for _, endless := range []int{1, 10, 100, 1000} {
		random := rand.New(rand.NewPCG(1, uint64(endless)))
		b := newBudget(t, limit)
		greedy := make([]*membudget.Hold, endless)
		for i := range greedy {
			greedy[i] = b.Hold()
		}
		naive := int64(0)
		refused, naiveRefused := 0, 0
		for range max(100, 5_000/endless) {
			for range endless {
				one := greedy[random.IntN(endless)]
				if one.Grow(step) != nil && random.IntN(10) == 0 {
					one.Release()
				}
				if naive+step <= limit {
					naive += step
				}
			}
			h := b.Hold()
			if h.Grow(normal) != nil {
				refused++
			}
			if naive+normal > limit {
				naiveRefused++
			}
			h.Release()
			require.LessOrEqual(t, b.Used(), b.Limit())
		}
		require.Zero(t, refused, "%d requests without end", endless)
		require.Positive(t, naiveRefused, "the load does not use up a budget for whom asks first")
		require.Positive(t, b.Refused())
	}
}

// TestBudgetAgainstModel performs random operations on several holds and compares the sums.
func TestBudgetAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(t, rapid.Int64Range(1, 1<<20).Draw(t, "limit"))
		holds := make([]*membudget.Hold, 4)
		model := make([]int64, len(holds))
		for i := range holds {
			holds[i] = b.Hold()
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holds)-1).Draw(t, "hold")
			n := rapid.IntRange(0, 1<<18).Draw(t, "bytes")
			switch rapid.SampledFrom([]string{"grow", "shrink", "release"}).Draw(t, "operation") {
			case "grow":
				if err := holds[i].Grow(n); err != nil {
					require.ErrorIs(t, err, waxwingpick.ErrMemory)
				} else {
					model[i] += int64(n)
				}
			case "shrink":
				holds[i].Shrink(n)
				model[i] = max(0, model[i]-int64(n))
			case "release":
				holds[i].Release()
				model[i] = 0
			}
			var sum int64
			for _, held := range model {
				sum += held
			}
			require.Equal(t, sum, b.Used())
			require.LessOrEqual(t, sum, b.Limit())
		}
	})
}

func TestBudgetNeedsALimit(t *testing.T) {
	_, err := membudget.New(0)
	require.ErrorIs(t, err, membudget.ErrLimit)
}
