package prometheus_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/callbudget"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
	"waxwingpick/io/prometheus"
)

func TestBudgetIsExposed(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	store := memkv.New(clock)
	budget, err := callbudget.New(store.Client(), clock, rand.New(rand.NewPCG(1, 1)), callbudget.WithRate(waxwingpick.CallList, callbudget.Rate{
		PerSecond: 1,
		Burst:     1,
	}))
	require.NoError(t, err)
	m, err := prometheus.New()
	require.NoError(t, err)
	kv := m.KeyValue(budget)
	for range 2 {
		_, err = kv.List(t.Context(), "k", 1)
	}
	require.ErrorIs(t, err, callbudget.ErrOverBudget)
	store.SetDown(true)
	for range 5 {
		_, err = kv.Get(t.Context(), "k")
	}
	require.ErrorIs(t, err, callbudget.ErrCircuitOpen)
	goldie.New(t).Assert(t, "budget", scrape(t, m))
}
