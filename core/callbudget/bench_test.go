package callbudget_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/callbudget"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

// BenchmarkGet compares a read through the budget with one directly from the in-memory service.
func BenchmarkGet(b *testing.B) {
	clock := timer.NewSystem()
	store := memkv.New(clock)
	budgeted, err := callbudget.New(store.Client(), clock, rand.New(rand.NewPCG(1, 1)), callbudget.WithRate(waxwingpick.CallGet, callbudget.Rate{
		PerSecond: 1e9,
		Burst:     1e9,
	}))
	require.NoError(b, err)
	for _, bench := range []struct {
		name string
		kv   waxwingpick.KeyValue
	}{
		{
			name: "budgeted",
			kv:   budgeted,
		},
		{
			name: "direct",
			kv:   store.Client(),
		},
	} {
		b.Run(bench.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := bench.kv.Get(b.Context(), "k"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
