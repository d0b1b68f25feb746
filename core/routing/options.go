package routing

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	defaultSubset = 48
	// minSubset is the number of targets of a group whose load is tracked regardless of the bound on the total.
	minSubset            = 2
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
	defaultSlowStart     = 10 * time.Second
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
	slowStart     time.Duration
	ejectedShare  float64
	// total bounds the sum of the subsets of all groups. Zero means that only the bound of each group applies.
	total           int
	countUnreported bool
	affinity        bool
}

func defaults() settings {
	return settings{
		subset:          defaultSubset,
		sample:          defaultSample,
		extraSlots:      defaultExtraSlots,
		loadHalfLife:    defaultLoadHalfLife,
		hintHalfLife:    defaultHintHalfLife,
		boundedLoad:     defaultBoundedLoad,
		zonePenalty:     defaultZonePenalty,
		zoneTolerance:   defaultZoneTolerance,
		probeRefresh:    defaultProbeRefresh,
		probeRate:       defaultProbeRate,
		failures:        defaultFailures,
		ejection:        defaultEjection,
		maxEjection:     defaultMaxEjection,
		slowStart:       defaultSlowStart,
		ejectedShare:    defaultEjectedShare,
		countUnreported: true,
		affinity:        true,
	}
}

// subsetOf returns the maximum size of each group's subset when there are the given number of groups.
func (s *settings) subsetOf(groups int) int {
	if s.total == 0 {
		return s.subset
	}
	return min(s.subset, max(minSubset, s.total/max(1, groups)))
}

// Option sets one parameter of a Router.
type Option func(*settings) error

// Entry sets the instance and availability zone of the entry, which determine its subset of targets.
func Entry(id waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone) Option {
	return func(s *settings) error {
		s.entry = id
		s.zone = zone
		return nil
	}
}

// Rand sets the source of random numbers. By default it is seeded with the entry's instance ID, so that entries differ.
func Rand(r *rand.Rand) Option {
	return func(s *settings) error {
		if r == nil {
			return eris.New("random source is nil")
		}
		s.rand = r
		return nil
	}
}

// Subset bounds the number of targets per model whose load is tracked, and the number of candidates sampled from them
// for one choice.
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

// LoadHalfLife sets the age at which a target's own report and the mean over all reports have equal weight.
func LoadHalfLife(d time.Duration) Option {
	return func(s *settings) error {
		if d <= 0 {
			return eris.Errorf("load half-life %v must be positive", d)
		}
		s.loadHalfLife = d
		return nil
	}
}

// BoundedLoad sets the excess over the mean load, as a fraction, up to which a target is considered for its cached
// prefix.
func BoundedLoad(excess float64) Option {
	return func(s *settings) error {
		if excess < 0 {
			return eris.Errorf("bounded load excess %v is negative", excess)
		}
		s.boundedLoad = excess
		return nil
	}
}

// ZoneTolerance sets the fraction by which the predicted completion in the entry's availability zone may exceed that
// in another zone and still be preferred, as long as it meets the deadline.
func ZoneTolerance(fraction float64) Option {
	return func(s *settings) error {
		if fraction < 0 {
			return eris.Errorf("zone tolerance %v is negative", fraction)
		}
		s.zoneTolerance = fraction
		return nil
	}
}

// ProbeRate sets the maximum number of probes per second and the age at which a report is refreshed.
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

// Ejection sets the number of failures in a row after which a target is ejected, the duration of the first ejection
// and the slow-start period after it.
func Ejection(failures int, first, slowStartTime time.Duration) Option {
	return func(s *settings) error {
		if failures < 1 || first <= 0 || slowStartTime < 0 {
			return eris.Errorf("ejection after %d failures for %v with slow start of %v is not valid", failures, first, slowStartTime)
		}
		s.failures = failures
		s.ejection = first
		s.slowStart = slowStartTime
		return nil
	}
}

// Affinity enables or disables the preference for targets that hold a request's prefix.
func Affinity(on bool) Option {
	return func(s *settings) error {
		s.affinity = on
		return nil
	}
}

// CountUnreportedSends enables or disables the correction of reports by requests that this entry sent after them.
func CountUnreportedSends(on bool) Option {
	return func(s *settings) error {
		s.countUnreported = on
		return nil
	}
}
