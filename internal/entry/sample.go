package entry

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/routing"
)

const (
	samplePeriod = time.Second
	// wholeFleet is the number of targets up to which an entry holds the load of all.
	wholeFleet = 24
	// sampledTargets and sampledExtra bound the targets of all services whose load an entry of a larger fleet holds.
	sampledTargets = 10
	sampledExtra   = 4
	// probeRate bounds an entry's probes a second in a larger fleet, and sidecarRate those of all entries at one sidecar.
	probeRate   = 24.0
	sidecarRate = 30.0
	// leastProbeRate is the rate in probes a second that a service keeps however many entries there are.
	leastProbeRate = 0.5
)

// shareProbes divides the entry's probes among its services.
func (p *Process) shareProbes(now time.Time) {
	entries := max(1, waxwingpick.CountKind(p.instances(), waxwingpick.KindEntry))
	held := waxwingpick.NewSet[waxwingpick.ServiceName]()
	for _, h := range p.authority.Holdings() {
		if h.Held {
			held.Add(h.Service)
		}
	}
	all := p.fleet.all()
	total := 0
	for _, s := range all {
		total += s.size()
	}
	for _, s := range all {
		sample := sampleOf(s.size(), total, entries)
		if held.Has(s.service) && entries*sampledTargets < total {
			// The samples of few entries leave out much of a large fleet; the holder's, at least, is as large as it gets.
			sample = routing.DefaultSample()
		}
		s.setSample(now, sample, held.Has(s.service))
	}
}

// sampleOf returns the sample of a service with some of the targets that all entries probe.
func sampleOf(targets, total, entries int) routing.Sample {
	sample := routing.DefaultSample()
	if total > wholeFleet {
		share := float64(targets) / float64(total)
		sample.Total = max(1, int(share*sampledTargets))
		sample.Extra = max(1, int(share*sampledExtra))
		sample.PerSecond = share * probeRate
	}
	bound := sidecarRate * float64(targets) / float64(entries)
	sample.PerSecond = max(leastProbeRate, min(sample.PerSecond, bound))
	return sample
}

func (s *serviceTargets) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targets)
}

func (s *serviceTargets) setSample(now time.Time, sample routing.Sample, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
	s.router.SetSample(now, sample)
}
