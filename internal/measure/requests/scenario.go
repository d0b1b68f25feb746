package main

import (
	"fmt"
	"time"

	"waxwingpick"
	"waxwingpick/internal/virtual"
)

// fleet is a set of engines and the request streams that it serves.
type fleet struct {
	name    string
	engines int
	// entries is the number of entries; there is at least one in each availability zone.
	entries int
	spec    func(id waxwingpick.TargetID, zone waxwingpick.AvailabilityZone) virtual.EngineSpec
	zones   []waxwingpick.AvailabilityZone
	streams []virtual.Stream
	// capacity is the load, relative to the computed capacity of the engines, up to which the greedy upper bound still
	// completes 99 % of each class in time under a steady mix. The flag -capacity prints it.
	capacity float64
}

func tanzplan() fleet {
	return fleet{
		name:    "Tanzplan",
		engines: 12,
		spec:    virtual.DefaultSpec,
		zones:   []waxwingpick.AvailabilityZone{"at-ost-a", "at-ost-b", "at-ost-c", "at-ost-d"},
		streams: []virtual.Stream{
			quickStream(300, 80),
			longStream(9000, 1200, 2*time.Minute),
		},
		capacity: 1.26,
	}
}

func cacaotera() fleet {
	return fleet{
		name:    "Cacaotera",
		engines: 18,
		spec:    virtual.DefaultSpec,
		zones:   []waxwingpick.AvailabilityZone{"sierra-a", "sierra-b", "sierra-c"},
		streams: []virtual.Stream{
			quickStream(500, 80),
			longStream(24000, 300, time.Minute),
		},
		capacity: 0.99,
	}
}

// plain returns a fleet of plain services. Their calls share a target's processor, so that latency grows with the
// number of concurrent calls.
func (f fleet) plain(targets int) fleet {
	return fleet{
		name:    f.name + " plain services",
		engines: targets,
		spec:    plainSpec,
		zones:   f.zones,
		streams: []virtual.Stream{{
			Name:  "order",
			Class: waxwingpick.ClassOrder,
			Prompt: virtual.Size{
				Median: 1,
				Max:    1,
			},
			Output: virtual.Size{
				Median: 20,
				Sigma:  0.3,
				Max:    60,
			},
			Deadline:   2 * time.Second,
			Workspaces: 300,
		}},
		capacity: 1,
	}
}

// plainSpec describes a service in which a call takes 20 time slices of 1 ms on average.
func plainSpec(id waxwingpick.TargetID, zone waxwingpick.AvailabilityZone) virtual.EngineSpec {
	return virtual.EngineSpec{
		ID:                     id,
		Zone:                   zone,
		Slots:                  plainSlots,
		KVBlocks:               plainSlots,
		StepPerSequence:        time.Millisecond,
		PrefillTokensPerSecond: 10_000,
		StepTokens:             plainSlots,
		RestartTime:            10 * time.Second,
	}
}

// plainSlots exceeds the concurrency that a plain service reaches, so that slots do not limit it.
const plainSlots = 1_000_000

func quickStream(prompt, output float64) virtual.Stream {
	return virtual.Stream{
		Name:  "quick",
		Class: waxwingpick.ClassQuick,
		Prompt: virtual.Size{
			Median: prompt,
			Sigma:  0.6,
			Max:    3000,
		},
		Output: virtual.Size{
			Median: output,
			Sigma:  0.3,
			Max:    600,
		},
		PrefixBlocks:   1,
		Deadline:       12 * time.Second,
		Workspaces:     300,
		WorkspaceSigma: 0.3,
	}
}

func longStream(prompt, output float64, deadline time.Duration) virtual.Stream {
	return virtual.Stream{
		Name:  "long",
		Class: waxwingpick.ClassLong,
		Prompt: virtual.Size{
			Median: prompt,
			Sigma:  0.5,
			Max:    80000,
		},
		Output: virtual.Size{
			Median: output,
			Sigma:  0.4,
			Max:    2500,
		},
		PrefixBlocks:   1,
		Deadline:       deadline,
		Workspaces:     100,
		WorkspaceSigma: 0.4,
	}
}

// loadPhase holds the factors of the mean rates of the two streams in one phase.
type loadPhase struct {
	seconds     int
	quick, long float64
}

func steadyPhases() []loadPhase {
	return []loadPhase{{
		seconds: 60,
		quick:   1,
		long:    1,
	}}
}

func varyingPhases() []loadPhase {
	return []loadPhase{
		{
			seconds: 60,
			quick:   1.4,
			long:    0.5,
		},
		{
			seconds: 75,
			quick:   0.6,
			long:    1.7,
		},
		{
			seconds: 45,
			quick:   1.6,
			long:    1.3,
		},
		{
			seconds: 60,
			quick:   0.5,
			long:    0.6,
		},
	}
}

// mixOf returns a mix of streams with equal work on average, which together occupy the fraction load of the fleet's
// capacity.
func (f fleet) mixOf(phases []loadPhase, load float64) virtual.Mix {
	spec := f.spec("", "")
	mix := virtual.Mix{
		Streams: f.streams,
	}
	for _, s := range phases {
		phase := virtual.Phase{
			Length: time.Duration(s.seconds) * time.Second,
		}
		factors := []float64{s.quick, s.long}
		for i, stream := range f.streams {
			phase.Rates = append(phase.Rates, factors[i]/stream.EngineSeconds(spec))
		}
		mix.Phases = append(mix.Phases, phase)
	}
	return mix.Scaled(load*f.capacity*float64(f.engines), spec)
}

func (f fleet) zone(i int) waxwingpick.AvailabilityZone {
	return f.zones[i%len(f.zones)]
}

// entryName returns the name of an entry, which determines its sample of targets.
func (f fleet) entryName(i int) waxwingpick.InstanceID {
	name := "entry-" + string(f.zone(i))
	if f.entries > len(f.zones) {
		name += fmt.Sprintf("-%d", i/len(f.zones))
	}
	return waxwingpick.InstanceID(name)
}

func (f fleet) newEngineSpec(i int) virtual.EngineSpec {
	return f.spec(waxwingpick.TargetID(fmt.Sprintf("engine-%02d", i)), f.zone(i))
}

// scenario is a load over time, with the faults of the run.
type scenario struct {
	name   string
	phases []loadPhase
	load   float64
	// reportDelay is the age of load reports when they reach the entries.
	reportDelay time.Duration
	// slowEngine is whether the steps of the first engine take slowFactor times as long.
	slowEngine bool
	// poison is whether one request crashes each engine that runs it.
	poison bool
}

const slowFactor = 3

// plainScenarios returns scenarios with load below and above the capacity of plain services.
func plainScenarios() []scenario {
	return []scenario{
		{
			name:        "steady, reports 250 ms late",
			phases:      steadyPhases(),
			load:        0.9,
			reportDelay: 250 * time.Millisecond,
		},
		{
			name:        "surge, reports 250 ms late",
			phases:      steadyPhases(),
			load:        1.3,
			reportDelay: 250 * time.Millisecond,
		},
	}
}

func scenarios(load float64) []scenario {
	return []scenario{
		{
			name:   "steady, reports 0 ms late",
			phases: steadyPhases(),
			load:   load,
		},
		{
			name:   "moving, reports 0 ms late",
			phases: varyingPhases(),
			load:   load,
		},
		{
			name:        "moving, reports 250 ms late",
			phases:      varyingPhases(),
			load:        load,
			reportDelay: 250 * time.Millisecond,
		},
		{
			name:        "moving, reports 1,000 ms late",
			phases:      varyingPhases(),
			load:        load,
			reportDelay: time.Second,
		},
		{
			name:        "moving, reports 250 ms late, a third more load",
			phases:      varyingPhases(),
			load:        load * 4 / 3,
			reportDelay: 250 * time.Millisecond,
		},
		{
			name:        "moving, 250 ms late, one engine slow",
			phases:      varyingPhases(),
			load:        load,
			reportDelay: 250 * time.Millisecond,
			slowEngine:  true,
		},
		{
			name:        "moving, 250 ms late, one poison request",
			phases:      varyingPhases(),
			load:        load,
			reportDelay: 250 * time.Millisecond,
			poison:      true,
		},
	}
}
