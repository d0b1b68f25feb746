package stages_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingpick"
	"waxwingpick/core/stages"
)

// The first engine crashes during the export, and the request falls back to one engine.
func Example() {
	now := time.Unix(1000, 0)
	m := stages.New(stages.Choice{
		Single:  stages.Estimate{Target: "engine-2", Prefill: 4 * time.Second},
		Prefill: stages.Estimate{Target: "engine-1", Prefill: time.Second},
		Decode:  stages.Estimate{Target: "engine-2"},
	}, "attempt", now.Add(time.Minute))
	show := func(actions []stages.Action) {
		for _, a := range actions {
			fmt.Printf("%T%+v\n", a, a)
		}
	}
	show(m.Start(now))
	show(m.Step(now, stages.Failed{Call: 1, Failure: stages.Lost}))
	show(m.Step(now, stages.Opened{Call: 2}))
	fmt.Println("serving:", m.Serving())
	// Output:
	// stages.Prefill{Call:1 Target:engine-1 StreamID:attempt/prefill}
	// stages.Free{Target:engine-1 Name:attempt/prefill}
	// stages.Generate{Call:2 Target:engine-2 StreamID:attempt Handle:}
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
		m.Step(now, stages.Prefilled{Call: 1, Export: export})
		m.Step(now, stages.Imported{Call: 2, Handle: "h"})
		m.Step(now, stages.Opened{Call: 3})
		if !m.Serving() {
			b.Fatal("not serving")
		}
	}
}
