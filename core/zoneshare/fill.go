package zoneshare

import (
	"math"
	"slices"
	"time"
)

const (
	// waitUtilisation is the utilisation from which requests begin to wait for each other.
	waitUtilisation = 0.85
	// waitHorizon is the time over which a load counts. At utilisation u above waitUtilisation (w), the mean wait is
	// waitHorizon*(u-w)^2/(2*(1-w)).
	waitHorizon = time.Second
)

// marginalCost returns the time that an additional request costs at a utilisation: its own wait, and the wait that it
// adds for the others there.
func marginalCost(u float64) float64 {
	over := max(0, u-waitUtilisation)
	return waitHorizon.Seconds() * (over*over/2 + u*over) / (1 - waitUtilisation)
}

// utilisationAt returns the utilisation at which the marginal cost has a value; it is the inverse of marginalCost.
func utilisationAt(cost float64) float64 {
	if cost < 0 {
		return 0
	}
	v := cost * (1 - waitUtilisation) / waitHorizon.Seconds()
	return (2*waitUtilisation + math.Sqrt(waitUtilisation*waitUtilisation+6*v)) / 3
}

// outlet is another zone that may take work.
type outlet struct {
	zone bounded
	// limit is the work per second that this zone may send there.
	limit float64
	// part is this zone's fraction of the work that all zones together send there.
	part float64
	// price is the cost of the link and the threshold, in seconds.
	price float64
}

// accepted returns the work per second that the outlet takes at a cost level.
func (o outlet) accepted(level float64) float64 {
	free := utilisationAt(level-o.price)*o.zone.capacity - o.zone.load
	return min(o.limit, max(0, free*o.part))
}

// fillSteps is the number of bisection steps, which make the error of the level smaller than a nanosecond.
const fillSteps = 48

// fill divides the load of a zone between itself and the outlets, so that the marginal cost is equal wherever an
// outlet's limit is not reached. It returns the work per second for each outlet.
func fill(home bounded, outlets []outlet) []float64 {
	low, high := 0.0, marginalCost(maxUtilisation)
	for range fillSteps {
		level := (low + high) / 2
		total := utilisationAt(level) * home.capacity
		for _, o := range outlets {
			total += o.accepted(level)
		}
		if total < home.load {
			low = level
		} else {
			high = level
		}
	}
	works := make([]float64, len(outlets))
	for i, o := range outlets {
		works[i] = o.accepted(high)
	}
	return works
}

// fairPart returns the part of the room that the zone with a need gets, as a fraction of what all zones get. The room is
// divided equally, except that no zone gets more than its need, so that a zone cannot get more by stating a huge need.
func fairPart(need, room float64, needs []float64) float64 {
	slices.Sort(needs)
	left, granted, own := room, 0.0, 0.0
	for i, n := range needs {
		g := min(n, left/float64(len(needs)-i))
		left -= g
		granted += g
		if n == need {
			own = g
		}
	}
	if granted <= 0 {
		return 0
	}
	return min(1, own/granted)
}
