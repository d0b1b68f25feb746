package main

import (
	"math"
	"time"

	"waxwingpick"
	"waxwingpick/internal/virtual"
)

// fleet is a set of engines and the request streams that it serves.
type fleet struct {
	name    string
	engines int
	// plain is the number of targets of plain services, which have no roles.
	plain int
	zones []waxwingpick.AvailabilityZone
	// splits are the numbers of prefill engines of the fixed splits.
	splits []int
	// price is the price of a role change in the score, in requests.
	price float64
	// quick, longPrompt and longOutput are streams of requests with a short prompt, a long prompt and a long output.
	quick, longPrompt, longOutput virtual.Stream
}

func tanzplan() fleet {
	return fleet{
		name:       "Tanzplan",
		engines:    12,
		plain:      4,
		zones:      []waxwingpick.AvailabilityZone{"at-ost-a", "at-ost-b", "at-ost-c", "at-ost-d"},
		splits:     []int{5, 6, 7, 8},
		price:      20,
		quick:      stream("quick", waxwingpick.ClassQuick, 300, 80, 12*time.Second),
		longPrompt: stream("history", waxwingpick.ClassLong, 12000, 250, time.Minute),
		longOutput: stream("season", waxwingpick.ClassLong, 2000, 900, time.Minute),
	}
}

func cacaotera() fleet {
	return fleet{
		name:       "Cacaotera",
		engines:    18,
		plain:      3,
		zones:      []waxwingpick.AvailabilityZone{"sierra-a", "sierra-b", "sierra-c"},
		splits:     []int{8, 9, 10},
		price:      2,
		quick:      stream("quick", waxwingpick.ClassQuick, 500, 80, 12*time.Second),
		longPrompt: stream("dossier", waxwingpick.ClassLong, 20000, 150, time.Minute),
		longOutput: stream("recipe", waxwingpick.ClassLong, 1500, 700, time.Minute),
	}
}

func stream(name string, class waxwingpick.Class, prompt, output float64, deadline time.Duration) virtual.Stream {
	return virtual.Stream{
		Name:  name,
		Class: class,
		Prompt: virtual.Size{
			Median: prompt,
			Sigma:  0.4,
			Max:    60_000,
		},
		Output: virtual.Size{
			Median: output,
			Sigma:  0.3,
			Max:    2500,
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

// trace is a load over time, with the faults of the run.
type trace struct {
	name    string
	varying bool
	// share returns the fraction of the work of long requests that is due to long prompts, at a fraction of the run.
	share func(part float64) float64
	// level returns the factor of the load, at a fraction of the run.
	level func(part float64) float64
	// reportAge is the age of reports when entries receive them.
	reportAge time.Duration
	// withdraws is whether one engine is removed permanently in the middle of the run.
	withdraws bool
}

const (
	// workspaces is so small that all shared prefixes fit one engine's cache, so that cache hits do not affect the
	// result.
	workspaces   = 20
	phaseLength  = 10 * time.Second
	defaultQuick = 0.3
	// usualReportAge is the usual age of reports, longReportAge that in the trace of late reports.
	usualReportAge = time.Second
	longReportAge  = 15 * time.Second
)

func steady(float64) float64 { return 0.4 }

func even(float64) float64 { return 1 }

// flip alternates between long outputs and long prompts in three phases.
func flip(part float64) float64 {
	if int(part*3)%2 == 0 {
		return 0.1
	}
	return 0.85
}

// drift varies the share by half of its mean, up and down, once in a run.
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
			name:      "steady",
			share:     steady,
			level:     even,
			reportAge: usualReportAge,
		},
		{
			name:      "flip",
			varying:   true,
			share:     flip,
			level:     even,
			reportAge: usualReportAge,
		},
		{
			name:      "drift",
			varying:   true,
			share:     drift,
			level:     even,
			reportAge: usualReportAge,
		},
		{
			name:      "peak",
			varying:   true,
			share:     flip,
			level:     peak,
			reportAge: usualReportAge,
		},
		{
			name:      "withdrawn",
			varying:   true,
			share:     flip,
			level:     even,
			reportAge: usualReportAge,
			withdraws: true,
		},
		{
			name:      "late",
			varying:   true,
			share:     flip,
			level:     even,
			reportAge: longReportAge,
		},
	}
}

// mix returns the load of a trace. At level 1 it occupies the fraction load of the fleet, of which quick requests are
// the fraction quick.
func (f fleet) mix(t trace, load, quick float64, length time.Duration) virtual.Mix {
	spec := engineSpec("", "")
	m := virtual.Mix{
		Streams: []virtual.Stream{f.quick, f.longPrompt, f.longOutput},
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

// engineSeconds returns the engine time of a request whose shared prefix is cached, in seconds.
func engineSeconds(s virtual.Stream, spec virtual.EngineSpec) float64 {
	s.PrefixBlocks = 0
	return s.EngineSeconds(spec)
}
