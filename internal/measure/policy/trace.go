package main

import (
	"math"
	"time"

	"waxwingpick"
	"waxwingpick/internal/virtual"
)

// fleet is one customer's engines and the kinds of its requests.
type fleet struct {
	name    string
	engines int
	// plain is the number of plain service targets, which have no roles.
	plain int
	zones []waxwingpick.AvailabilityZone
	// splits are the numbers of prefill engines that fixed splits try.
	splits []int
	// price is the goodput, in requests, that a role change costs in the customer's score.
	price float64
	// quick, reader and writer are requests with a short prompt, a long prompt and a long output.
	quick, reader, writer virtual.Stream
}

func tanzplan() fleet {
	return fleet{
		name:    "Tanzplan",
		engines: 12,
		plain:   4,
		zones:   []waxwingpick.AvailabilityZone{"at-ost-a", "at-ost-b", "at-ost-c", "at-ost-d"},
		splits:  []int{5, 6, 7, 8},
		price:   20,
		quick:   stream("quick", waxwingpick.ClassQuick, 300, 80, 12*time.Second),
		reader:  stream("history", waxwingpick.ClassLong, 12000, 250, time.Minute),
		writer:  stream("season", waxwingpick.ClassLong, 2000, 900, time.Minute),
	}
}

func cacaotera() fleet {
	return fleet{
		name:    "Cacaotera",
		engines: 18,
		plain:   3,
		zones:   []waxwingpick.AvailabilityZone{"sierra-a", "sierra-b", "sierra-c"},
		splits:  []int{8, 9, 10},
		price:   2,
		quick:   stream("quick", waxwingpick.ClassQuick, 500, 80, 12*time.Second),
		reader:  stream("dossier", waxwingpick.ClassLong, 20000, 150, time.Minute),
		writer:  stream("recipe", waxwingpick.ClassLong, 1500, 700, time.Minute),
	}
}

func stream(name string, class waxwingpick.Class, prompt, output float64, deadline time.Duration) virtual.Stream {
	return virtual.Stream{
		Name:  name,
		Class: class,
		Prompt: virtual.Size{
			Median: prompt,
			Sigma:  0.4,
			Most:   60_000,
		},
		Output: virtual.Size{
			Median: output,
			Sigma:  0.3,
			Most:   2500,
		},
		PrefixBlocks:   1,
		Deadline:       deadline,
		Workspaces:     workspaces,
		WorkspaceSigma: 0.2,
	}
}

func engineSpec(id waxwingpick.TargetID, zone waxwingpick.AvailabilityZone) virtual.EngineSpec {
	spec := virtual.DefaultSpec(id, zone)
	spec.PrefillStepTokens = prefillStepTokens
	return spec
}

const prefillStepTokens = 2048

// trace is one load with its faults.
type trace struct {
	name   string
	moving bool
	// share returns the part of the long requests' work that reads long prompts, from 0 to 1, at a part of the run.
	share func(part float64) float64
	// level multiplies the load.
	level func(part float64) float64
	// late is the age of reports when they arrive.
	late time.Duration
	// withdraws takes one engine out for good in the middle.
	withdraws bool
}

const (
	// workspaces is few enough for the shared prefixes to fit one engine's cache, so that it does not decide.
	workspaces   = 20
	phaseLength  = 10 * time.Second
	defaultQuick = 0.3
	// reportLate is the age of reports where they are not said to be late.
	reportLate = time.Second
	veryLate   = 15 * time.Second
)

func steady(float64) float64 { return 0.4 }

func even(float64) float64 { return 1 }

// flip alternates between reading and writing in three phases.
func flip(part float64) float64 {
	if int(part*3)%2 == 0 {
		return 0.1
	}
	return 0.85
}

// drift moves the share by half up and down once in a run.
func drift(part float64) float64 {
	return 0.4 + 0.2*math.Sin(2*math.Pi*part)
}

func peak(part float64) float64 {
	if part >= 0.4 && part < 0.7 {
		return 1.35
	}
	return 1
}

func traces() []trace {
	return []trace{
		{
			name:  "steady",
			share: steady,
			level: even,
			late:  reportLate,
		},
		{
			name:   "flip",
			moving: true,
			share:  flip,
			level:  even,
			late:   reportLate,
		},
		{
			name:   "drift",
			moving: true,
			share:  drift,
			level:  even,
			late:   reportLate,
		},
		{
			name:   "peak",
			moving: true,
			share:  flip,
			level:  peak,
			late:   reportLate,
		},
		{
			name:      "withdrawn",
			moving:    true,
			share:     flip,
			level:     even,
			late:      reportLate,
			withdraws: true,
		},
		{
			name:   "late",
			moving: true,
			share:  flip,
			level:  even,
			late:   veryLate,
		},
	}
}

// mix returns the load of a trace: level 1 keeps the given part of the fleet busy, quick is the quick requests' part
// of the work.
func (f fleet) mix(t trace, load, quick float64, length time.Duration) virtual.Mix {
	spec := engineSpec("", "")
	m := virtual.Mix{
		Streams: []virtual.Stream{f.quick, f.reader, f.writer},
	}
	for at := time.Duration(0); at < length; at += phaseLength {
		part := float64(at) / float64(length)
		work := load * t.level(part) * float64(f.engines)
		share := t.share(part)
		shares := []float64{quick, (1 - quick) * share, (1 - quick) * (1 - share)}
		p := virtual.Phase{
			Length: phaseLength,
		}
		for i, s := range m.Streams {
			p.Rates = append(p.Rates, work*shares[i]/engineSeconds(s, spec))
		}
		m.Phases = append(m.Phases, p)
	}
	return m
}

// engineSeconds returns the work of a request whose shared prefix is cached.
func engineSeconds(s virtual.Stream, spec virtual.EngineSpec) float64 {
	s.PrefixBlocks = 0
	return s.EngineSeconds(spec)
}
