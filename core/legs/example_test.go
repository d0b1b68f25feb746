package legs_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingpick"
	"waxwingpick/core/legs"
)

// The first engine crashes during the export, and the request falls back to one engine.
func Example() {
	now := time.Unix(1000, 0)
	m := legs.New(legs.Choice{
		Single:  legs.Estimate{Target: "engine-2", Prefill: 4 * time.Second},
		Prefill: legs.Estimate{Target: "engine-1", Prefill: time.Second},
		Decode:  legs.Estimate{Target: "engine-2"},
	}, "attempt", now.Add(time.Minute))
	show := func(actions []legs.Action) {
		for _, a := range actions {
			fmt.Printf("%T%+v\n", a, a)
		}
	}
	show(m.Start(now))
	show(m.Step(now, legs.Failed{Call: 1, Failure: legs.Lost}))
	show(m.Step(now, legs.Opened{Call: 2}))
	fmt.Println("serving:", m.Serving())
	// Output:
	// legs.Prefill{Call:1 Target:engine-1 StreamID:attempt/prefill}
	// legs.Free{Target:engine-1 Name:attempt/prefill}
	// legs.Generate{Call:2 Target:engine-2 StreamID:attempt Handle:}
	// serving: true
}

// BenchmarkTwoLegs steps a request through both stages.
func BenchmarkTwoLegs(b *testing.B) {
	now := time.Unix(1000, 0)
	export := waxwingpick.KVExport{}
	b.ReportAllocs()
	for b.Loop() {
		m := newMachine(choice, now.Add(time.Hour))
		m.Start(now)
		m.Step(now, legs.Prefilled{Call: 1, Export: export})
		m.Step(now, legs.Imported{Call: 2, Handle: "h"})
		m.Step(now, legs.Opened{Call: 3})
		if !m.Serving() {
			b.Fatal("not serving")
		}
	}
}
