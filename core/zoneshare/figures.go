package zoneshare

import (
	"math"
	"slices"
	"time"

	"waxwingpick"
)

// ZoneFigures is what a zone reports about one service.
type ZoneFigures struct {
	Zone waxwingpick.AvailabilityZone
	// Demand is the work that the zone's own callers request, wherever it is executed, in seconds of target work per
	// second.
	Demand float64
	// Capacity is the work that the zone's targets can execute, in the same unit.
	Capacity float64
	// Wait is the predicted wait of a new request in the zone.
	Wait time.Duration
	// Room is the work that the zone accepts from all other zones together, in the same unit.
	Room float64
	At   time.Time
}

const (
	// drainTime is the time within which waiting work has to be executed. It counts as additional demand over this time. In
	// trials with a capacity stated too high, 250 ms gave a quarter more flips than 400 ms.
	drainTime = 400 * time.Millisecond
	// roomUtilisation is the utilisation up to which a zone accepts work from others, so that it serves its own variations
	// of demand.
	roomUtilisation = 0.95
	// maxUtilisation limits the computed utilisation of a zone without capacity.
	maxUtilisation = 10.0
	// maxWait limits the reported wait, at a few times the longest wait of a request.
	maxWait = time.Minute
	// medianMultiple limits a reported capacity, as a multiple of the median zone's. In the replay with a capacity stated
	// too high, 1.5 served 99.97% in time, 2 served 99.86%.
	medianMultiple = 1.5
	// demandMultiple limits a reported capacity, as a multiple of the zone's own demand, for zones that are larger than the
	// others. It exceeds 1/waitUtilisation, so that the limit alone never makes a zone send work away. The highest demand
	// of the past is not used, since shares would then change while the figures are constant.
	demandMultiple = 1.25
	// maxSize limits a reported capacity in any case, as a multiple of the median zone's.
	maxSize = 10.0
	// trendTime and meanTime are the time constants of the means of the demand's change and of the demand. With figures
	// late by 1 s, 250 ms served 99.90% in time, 500 ms 99.82% and 1 s 99.54%.
	trendTime = 250 * time.Millisecond
	meanTime  = 15 * time.Second
	// maxTrendAge limits the time over which the demand is extrapolated.
	maxTrendAge = time.Second
	// maxTrend limits the trend, and a smaller one than minTrend doesn't count, as fractions of the demand per second. A
	// wave of 55% with a period of 8 s has at most 0.5.
	maxTrend = 2.0
	minTrend = 0.005
)

// Room returns the work per second that a zone can accept from other zones after serving its own callers.
func Room(demand, capacity float64, wait time.Duration) float64 {
	return max(0, roomUtilisation*capacity-demand-backlog(capacity, wait))
}

// backlog returns the waiting work as a demand over drainTime.
func backlog(capacity float64, wait time.Duration) float64 {
	return capacity * wait.Seconds() / drainTime.Seconds()
}

// valid reports whether the figures can be used. A zone with unusable figures neither receives nor sends work.
func (f ZoneFigures) valid() bool {
	for _, v := range []float64{f.Demand, f.Capacity, f.Room} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return f.Wait >= 0
}

// zoneState is what is known about one zone.
type zoneState struct {
	figures ZoneFigures
	known   bool
	valid   bool
	// mean is the mean demand, trend the mean change of the demand per second.
	mean  float64
	trend float64
}

func (z *zoneState) observe(f ZoneFigures) {
	if z.known && !f.At.After(z.figures.At) {
		return
	}
	valid := f.valid()
	switch {
	case !valid:
	case !z.valid:
		z.mean, z.trend = f.Demand, 0
	default:
		took := f.At.Sub(z.figures.At).Seconds()
		z.mean += (f.Demand - z.mean) * (1 - math.Exp(-took/meanTime.Seconds()))
		change := (f.Demand - z.figures.Demand) / took
		z.trend += (change - z.trend) * (1 - math.Exp(-took/trendTime.Seconds()))
		z.trend = min(maxTrend*f.Demand, max(-maxTrend*f.Demand, z.trend))
		if math.Abs(z.trend) < minTrend*f.Demand {
			z.trend = 0
		}
	}
	f.Wait = min(f.Wait, maxWait)
	z.figures, z.known, z.valid = f, true, valid
}

// demand returns the demand at a time: extrapolated for figures of up to a second, closer to the mean for older ones.
func (z *zoneState) demand(age time.Duration) float64 {
	w := weight(age)
	recent := max(0, z.figures.Demand+z.trend*min(max(0, age), maxTrendAge).Seconds())
	return w*recent + (1-w)*z.mean
}

// bounded is a zone's load after the check of its figures.
type bounded struct {
	demand   float64
	capacity float64
	// load is the demand with the waiting work.
	load float64
	room float64
	// weight is how much the figures count because of their age: 0 to 1.
	weight float64
}

// utilisation of the zone's targets; above 1 if work accumulates.
func (b bounded) utilisation() float64 {
	if b.load <= 0 {
		return 0
	}
	if b.load >= maxUtilisation*b.capacity {
		return maxUtilisation
	}
	return b.load / b.capacity
}

// need is the work per second above the utilisation from which requests wait.
func (b bounded) need() float64 {
	return min(b.demand, max(0, b.load-waitUtilisation*b.capacity))
}

// bound limits the zone's capacity to what can be true, given the median capacity of all zones.
func (z *zoneState) bound(now time.Time, median float64) bounded {
	if !z.known || !z.valid || now.Sub(z.figures.At) > forgetAge {
		return bounded{}
	}
	f, age := z.figures, now.Sub(z.figures.At)
	b := bounded{
		demand:   z.demand(age),
		capacity: min(f.Capacity, max(medianMultiple*median, demandMultiple*f.Demand), maxSize*median),
		weight:   weight(age),
	}
	// Waiting work is drained over the age of the figures at least, since the effect of a change is only seen after it.
	waiting := b.weight * backlog(b.capacity, f.Wait) * min(1, float64(drainTime)/float64(max(1, age)))
	b.load = b.demand + waiting
	// The room follows the extrapolated demand. If the zone reports less room than its figures imply, it is reduced by the
	// same factor; more room than they imply cannot be true.
	b.room = max(0, roomUtilisation*b.capacity-b.load)
	if own := Room(f.Demand, f.Capacity, f.Wait); f.Room < own {
		b.room *= f.Room / own
	}
	return b
}

const (
	// fullWeightAge is the age up to which figures count in full.
	fullWeightAge = time.Second
	// weightHalfLife is the further age after which they count half. Demand varies with periods of 8 to 12 s, so that
	// figures of a quarter of a period say little.
	weightHalfLife = time.Second
	// maxAge is the age from which figures don't count.
	maxAge = 10 * time.Second
)

// weight returns how much figures of an age count.
func weight(age time.Duration) float64 {
	if age >= maxAge {
		return 0
	}
	return min(1, math.Exp2(-(age-fullWeightAge).Seconds()/weightHalfLife.Seconds()))
}

// lowerMedian returns the median, of an even number of values the lower one, so that one of two zones cannot raise it.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
