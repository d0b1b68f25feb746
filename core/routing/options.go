package routing

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	defaultSubset = 48
	// leastSubset is the number of targets of a group whose load is held whatever the bound on all.
	leastSubset          = 2
	defaultSample        = 2
	defaultExtraSlots    = 32
	defaultLoadHalfLife  = 2 * time.Second
	defaultHintHalfLife  = 60 * time.Second
	defaultBoundedLoad   = 0.5
	defaultZonePenalty   = time.Millisecond
	defaultZoneTolerance = 0.05
	defaultProbeRefresh  = 250 * time.Millisecond
	defaultProbeRate     = 40.0
	defaultFailures      = 3
	defaultEjection      = 5 * time.Second
	defaultMaxEjection   = time.Minute
	defaultReturn        = 10 * time.Second
	defaultEjectedShare  = 0.3
	defaultTokenInterval = 30 * time.Millisecond
	defaultPrefillRate   = 8000.0
)

type settings struct {
	entry         waxwingpick.InstanceID
	zone          waxwingpick.AvailabilityZone
	rand          *rand.Rand
	subset        int
	sample        int
	extraSlots    int
	loadHalfLife  time.Duration
	hintHalfLife  time.Duration
	boundedLoad   float64
	zonePenalty   time.Duration
	zoneTolerance float64
	probeRefresh  time.Duration
	probeRate     float64
	failures      int
	ejection      time.Duration
	maxEjection   time.Duration
	returnTime    time.Duration
	ejectedShare  float64
	// total bounds the subsets of all groups together; zero leaves each at its own bound.
	total    int
	ownSends bool
	affinity bool
}

func defaults() settings {
	return settings{
		subset:        defaultSubset,
		sample:        defaultSample,
		extraSlots:    defaultExtraSlots,
		loadHalfLife:  defaultLoadHalfLife,
		hintHalfLife:  defaultHintHalfLife,
		boundedLoad:   defaultBoundedLoad,
		zonePenalty:   defaultZonePenalty,
		zoneTolerance: defaultZoneTolerance,
		probeRefresh:  defaultProbeRefresh,
		probeRate:     defaultProbeRate,
		failures:      defaultFailures,
		ejection:      defaultEjection,
		maxEjection:   defaultMaxEjection,
		returnTime:    defaultReturn,
		ejectedShare:  defaultEjectedShare,
		ownSends:      true,
		affinity:      true,
	}
}

// subsetOf returns the bound of each of n groups.
func (s *settings) subsetOf(groups int) int {
	if s.total == 0 {
		return s.subset
	}
	return min(s.subset, max(leastSubset, s.total/max(1, groups)))
}

// Option sets one parameter of a Router.
type Option func(*settings) error

// Entry sets the instance and availability zone of the entry, which decide its subset of targets.
func Entry(id waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone) Option {
	return func(s *settings) error {
		s.entry = id
		s.zone = zone
		return nil
	}
}

// Rand sets the source of random numbers; without it one is seeded by the entry's instance, so that entries differ.
func Rand(r *rand.Rand) Option {
	return func(s *settings) error {
		if r == nil {
			return eris.New("random source is nil")
		}
		s.rand = r
		return nil
	}
}

// Subset bounds the targets per model whose load is held, and the candidates drawn from them for one choice.
func Subset(size, sample int) Option {
	return func(s *settings) error {
		if size < 1 || sample < 1 {
			return eris.Errorf("subset %d and sample %d must be positive", size, sample)
		}
		s.subset = size
		s.sample = sample
		return nil
	}
}

// LoadHalfLife sets the age at which a report counts half and the mean load of all reports the other half.
func LoadHalfLife(d time.Duration) Option {
	return func(s *settings) error {
		if d <= 0 {
			return eris.Errorf("load half-life %v must be positive", d)
		}
		s.loadHalfLife = d
		return nil
	}
}

// BoundedLoad sets how far above the mean load a target may be to be taken for its cached prefix.
func BoundedLoad(excess float64) Option {
	return func(s *settings) error {
		if excess < 0 {
			return eris.Errorf("bounded load excess %v is negative", excess)
		}
		s.boundedLoad = excess
		return nil
	}
}

// ZoneTolerance sets by which fraction the predicted completion in the own availability zone may be later
// than elsewhere while the answer stays in time.
func ZoneTolerance(fraction float64) Option {
	return func(s *settings) error {
		if fraction < 0 {
			return eris.Errorf("zone tolerance %v is negative", fraction)
		}
		s.zoneTolerance = fraction
		return nil
	}
}

// ProbeRate sets the greatest number of probes per second and the age from which a report is refreshed.
func ProbeRate(perSecond float64, refresh time.Duration) Option {
	return func(s *settings) error {
		if perSecond <= 0 || refresh <= 0 {
			return eris.Errorf("probe rate %v with refresh %v must be positive", perSecond, refresh)
		}
		s.probeRate = perSecond
		s.probeRefresh = refresh
		return nil
	}
}

// Ejection sets after how many failures in a row a target is ejected, for how long at first, and the time of its gradual return.
func Ejection(failures int, first, gradual time.Duration) Option {
	return func(s *settings) error {
		if failures < 1 || first <= 0 || gradual < 0 {
			return eris.Errorf("ejection after %d failures for %v and return in %v is not valid", failures, first, gradual)
		}
		s.failures = failures
		s.ejection = first
		s.returnTime = gradual
		return nil
	}
}

// Affinity switches the preference for targets that hold a request's prefix.
func Affinity(on bool) Option {
	return func(s *settings) error {
		s.affinity = on
		return nil
	}
}

// CountOwnSends switches the correction of reports by the entry's own unreported sends.
func CountOwnSends(on bool) Option {
	return func(s *settings) error {
		s.ownSends = on
		return nil
	}
}
