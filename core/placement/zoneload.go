package placement

import (
	"slices"
	"time"

	"waxwingpick"
)

// meterPeriod is half of the longest time over which the demand is measured.
const meterPeriod = time.Second

// workMeter measures work per second over the last one to two periods.
type workMeter struct {
	began             time.Time
	previous, current time.Duration
}

func (m *workMeter) add(now time.Time, work time.Duration) {
	m.advance(now)
	m.current += work
}

// rate returns the seconds of work per second.
func (m *workMeter) rate(now time.Time) float64 {
	m.advance(now)
	return float64(m.previous+m.current) / float64(meterPeriod+max(0, now.Sub(m.began)))
}

// advance begins a new period if the current one has passed. Times before the current period count as its beginning, since requests of
// concurrent callers are not recorded in order.
func (m *workMeter) advance(now time.Time) {
	switch passed := now.Sub(m.began); {
	case passed >= 2*meterPeriod:
		*m = workMeter{
			began: now,
		}
	case passed >= meterPeriod:
		*m = workMeter{
			began:    m.began.Add(meterPeriod),
			previous: m.current,
		}
	}
}

// recordGeneration adds the work of a request's generation to the demand of this process: the time in its slot as a fraction of the
// engine's slots.
func (f *Fleet) recordGeneration(l *Stage, now time.Time) {
	if l.prefilled && l.engine.target.Role != waxwingpick.RolePrefill {
		f.demand.add(now, max(0, now.Sub(l.prefilledAt))/time.Duration(max(1, l.engine.target.Slots)))
	}
}

// ZoneLoad is what a process knows about the load of its availability zone.
type ZoneLoad struct {
	// Demand is the work that this process's requests caused at engines of any zone, in seconds of target work per second.
	Demand float64
	// Capacity is the work that the zone's engines can execute, in the same unit.
	Capacity float64
	// Wait is the predicted wait of a new request at the zone's median engine.
	Wait time.Duration
	// Others are the other availability zones with engines.
	Others waxwingpick.Set[waxwingpick.AvailabilityZone]
}

// ZoneLoad returns the load of the local availability zone.
func (f *Fleet) ZoneLoad(now time.Time) ZoneLoad {
	z := ZoneLoad{
		Demand: f.demand.rate(now),
		Others: waxwingpick.NewSet[waxwingpick.AvailabilityZone](),
	}
	var waits []time.Duration
	for _, id := range f.order {
		e := f.engines[id]
		switch {
		case e.target.Leaving || e.health.Ejected(now):
		case e.target.Zone != f.zone:
			z.Others.Add(e.target.Zone)
		default:
			all := e.load(now)
			waits = append(waits, f.paceOf(e.target.Role).scale(all.work)+all.overdue)
			z.Capacity += 1 / e.speed.Factor(now)
		}
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		z.Wait = waits[(len(waits)-1)/2]
	}
	return z
}

// SharedKey returns the hash of all segments but the last, which requests with a common context share. A prompt of one segment
// has that segment's hash, and one without segments has none.
func (p Parts) SharedKey() (key uint64, ok bool) {
	if len(p.keys) == 0 {
		return 0, false
	}
	return p.keys[max(0, len(p.keys)-2)], true
}
