package entry

import (
	"time"

	"waxwingpick"
	"waxwingpick/core/routing"
)

const (
	samplePeriod = time.Second
	// maxFullSampleTargets is the largest number of targets for which an entry tracks the load of all.
	maxFullSampleTargets = 24
	// maxSampledTargets and maxExtraTargets bound the targets, over all services, whose load an entry of a larger fleet
	// tracks.
	maxSampledTargets = 10
	maxExtraTargets   = 4
	// maxProbeRate is the maximum number of probes per second sent by an entry of a larger fleet, and maxSidecarProbeRate the
	// maximum received by one sidecar from all entries.
	maxProbeRate        = 24.0
	maxSidecarProbeRate = 30.0
	// minProbeRate is the minimum number of probes per second of a service, regardless of the number of entries.
	minProbeRate = 0.5
)

// updateSamples divides the entry's probe rate among its services.
func (p *Process) updateSamples(now time.Time) {
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
		sample := sampleFor(s.size(), total, entries)
		if held.Has(s.service) && entries*maxSampledTargets < total {
			// The samples of few entries cover little of a large fleet, so the lease holder uses the largest sample.
			sample = routing.DefaultSample()
		}
		s.setSample(now, sample, held.Has(s.service))
	}
}

// sampleFor returns the sample size and probe rate of a service with the given share of all targets.
func sampleFor(targets, total, entries int) routing.Sample {
	sample := routing.DefaultSample()
	if total > maxFullSampleTargets {
		share := float64(targets) / float64(total)
		sample.Total = max(1, int(share*maxSampledTargets))
		sample.Extra = max(1, int(share*maxExtraTargets))
		sample.PerSecond = share * maxProbeRate
	}
	bound := maxSidecarProbeRate * float64(targets) / float64(entries)
	sample.PerSecond = max(minProbeRate, min(sample.PerSecond, bound))
	return sample
}

func (s *serviceTargets) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targets)
}

func (s *serviceTargets) setSample(now time.Time, sample routing.Sample, holdsAuthority bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdsAuthority = holdsAuthority
	s.router.SetSample(now, sample)
}
