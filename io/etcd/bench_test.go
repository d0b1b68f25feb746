package etcd_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
)

func BenchmarkGet(b *testing.B) {
	_, client, _ := start(b, timer.NewManual(time.Unix(0, 0)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Get(b.Context(), "k"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompareAndSwap(b *testing.B) {
	_, client, _ := start(b, timer.NewManual(time.Unix(0, 0)))
	value := make([]byte, 4096)
	b.ReportAllocs()
	var revision int64
	for b.Loop() {
		e, err := client.CompareAndSwap(b.Context(), "k", revision, value, 0)
		require.NoError(b, err)
		revision = e.Revision
	}
}
