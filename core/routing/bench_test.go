package routing_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/routing"
)

const benchTargets = 600

var start = time.Unix(1_000_000, 0)

// fleet returns targets spread evenly over zones, all serving one model.
func fleet(n, zones int) []routing.TargetInfo {
	infos := make([]routing.TargetInfo, n)
	for i := range infos {
		infos[i] = routing.TargetInfo{
			ID:    waxwingpick.TargetID(fmt.Sprintf("t-%03d", i)),
			Zone:  waxwingpick.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
			Model: "m",
		}
	}
	return infos
}

func benchRouter(tb testing.TB) *routing.Router {
	r, err := routing.New(routing.Entry("entry-1", "zone-0"))
	require.NoError(tb, err)
	infos := fleet(benchTargets, 9)
	r.SetTargets(start, infos)
	for i, info := range infos {
		r.Observe(start, routing.Report{
			Target: info.ID,
			Load: waxwingpick.TargetLoad{
				Running:             i % 30,
				Slots:               32,
				TokenIntervalMicros: 30_000,
				AgeMillis:           int64(i),
			},
		})
	}
	return r
}

func benchRequest() routing.Request {
	return routing.Request{
		Class:        waxwingpick.ClassQuick,
		Model:        "m",
		PromptTokens: 5000,
		OutputTokens: 200,
		Prefix:       []uint64{77, 78},
		Deadline:     start.Add(10 * time.Second),
	}
}

func BenchmarkChoose600Targets(b *testing.B) {
	r := benchRouter(b)
	req := benchRequest()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Choose(start, req); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkChooseSendDone600Targets(b *testing.B) {
	r := benchRouter(b)
	req := benchRequest()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		req.Prefix[0]++
		c, err := r.Choose(now, req)
		if err != nil {
			b.Fatal(err)
		}
		r.Done(now, r.Sent(now, c), routing.ResultResponded)
	}
}

func BenchmarkSetTargets600(b *testing.B) {
	r := benchRouter(b)
	infos := fleet(benchTargets, 9)
	for b.Loop() {
		infos[0].Leaving = !infos[0].Leaving
		r.SetTargets(start, infos)
	}
}

// BenchmarkRouterMemory reports the heap size of a router with a full sample of a fleet that serves seven models.
func BenchmarkRouterMemory(b *testing.B) {
	const models = 7
	infos := fleet(benchTargets, 9)
	for i := range infos {
		infos[i].Model = fmt.Sprint("model-", i%models)
	}
	for b.Loop() {
		before := heap()
		r, err := routing.New(routing.Entry("entry-1", "zone-0"))
		require.NoError(b, err)
		r.SetTargets(start, infos)
		for _, info := range infos {
			r.Observe(start, routing.Report{
				Target: info.ID,
			})
		}
		b.ReportMetric(float64(heap()-before), "B/router")
		require.Empty(b, r.Ejected(start))
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
