package routing

import (
	"time"

	"waxwingpick"
)

// maxSends is the number of unreported sends that are tracked in one slot. The oldest is dropped first.
const maxSends = 32

// batchSlowdown is the relative increase of the token interval between an empty batch and a full one.
const batchSlowdown = 0.5

// send is an attempt of this entry that may not be included in a report yet.
type send struct {
	serial  uint64
	at      time.Time
	prefill int
	quick   bool
}

// slot holds the load and health of one target in the sample.
type slot struct {
	target int32
	used   time.Time
	pinned bool

	hasLoad bool
	load    waxwingpick.TargetLoad
	loadAt  time.Time
	probed  time.Time
	// leavingAt is when the sidecar last refused an attempt because its target was leaving.
	leavingAt time.Time

	sends             []send
	unreportedPrefill int
	unreportedQuick   int
	// counted is the slot's contribution to the total, valid if inTotal is set.
	counted int
	inTotal bool

	outstanding   int
	failuresInRow int
	ejections     int
	ejectedUntil  time.Time
	slowStartEnd  time.Time
}

func (s *slot) addSend(e send) {
	if len(s.sends) == maxSends {
		s.dropSend(0)
	}
	s.sends = append(s.sends, e)
	s.unreportedPrefill += e.prefill
	if e.quick {
		s.unreportedQuick += e.prefill
	}
}

func (s *slot) dropSend(i int) {
	e := s.sends[i]
	s.unreportedPrefill -= e.prefill
	if e.quick {
		s.unreportedQuick -= e.prefill
	}
	s.sends = append(s.sends[:i], s.sends[i+1:]...)
}

// dropReported drops the sends that are included in a report made at the given time.
func (s *slot) dropReported(at time.Time) {
	for len(s.sends) > 0 && !s.sends[0].at.After(at) {
		s.dropSend(0)
	}
}

func (s *slot) removeSend(serial uint64) {
	for i := range s.sends {
		if s.sends[i].serial == serial {
			s.dropSend(i)
			return
		}
	}
}

// requests returns the number of requests in the newest report plus the sends since then.
func (s *slot) requests() int {
	return s.load.Running + s.load.Queued + len(s.sends)
}

// ejected reports whether the target is ejected after failures.
func (s *slot) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil)
}

// idle reports whether the slot can be freed without losing state that choices depend on.
func (s *slot) idle(now time.Time) bool {
	return !s.pinned && !s.load.Leaving && s.outstanding == 0 && s.failuresInRow == 0 && !now.Before(s.slowStartEnd)
}

// clear resets the slot and keeps the memory of its list of sends.
func (s *slot) clear() {
	*s = slot{
		target: none,
		sends:  s.sends[:0],
	}
}

// total sums the requests of all slots that have received a report.
type total struct {
	requests int
	slots    int
}

// addToTotal updates the total with the slot's requests.
func (r *Router) addToTotal(s *slot) {
	r.removeFromTotal(s)
	if !s.hasLoad {
		return
	}
	s.inTotal = true
	s.counted = s.requests()
	r.total.requests += s.counted
	r.total.slots++
}

// removeFromTotal subtracts the slot from the total.
func (r *Router) removeFromTotal(s *slot) {
	if !s.inTotal {
		return
	}
	s.inTotal = false
	r.total.requests -= s.counted
	r.total.slots--
}

// meanRequests returns the mean number of requests over the targets that have reported.
func (r *Router) meanRequests() float64 {
	return float64(r.total.requests) / float64(max(1, r.total.slots))
}

// means holds the moving averages over all reports. They are the prior for targets whose load is old or unknown.
type means struct {
	initialized  bool
	prefill      float64
	quickPrefill float64
	quickWait    float64
	longWait     float64
	rate         float64
	interval     float64
	slots        float64
}

const meansSmoothing = 0.05

func (m *means) observe(l waxwingpick.TargetLoad) {
	weight := meansSmoothing
	if !m.initialized {
		weight = 1
		m.initialized = true
	}
	move := func(mean *float64, value float64) {
		*mean += weight * (value - *mean)
	}
	move(&m.prefill, float64(l.PrefillTokens))
	move(&m.quickPrefill, float64(l.QuickPrefillTokens))
	move(&m.quickWait, l.Wait(waxwingpick.ClassQuick).Seconds())
	move(&m.longWait, l.Wait(waxwingpick.ClassLong).Seconds())
	move(&m.slots, float64(l.Slots))
	if l.PrefillTokensPerSecond > 0 {
		move(&m.rate, l.PrefillTokensPerSecond)
	}
	if l.TokenIntervalMicros > 0 {
		move(&m.interval, l.TokenInterval().Seconds())
	}
}

// estimate is a slot's estimated current load.
type estimate struct {
	busy       float64
	unreported float64
	prefill    float64
	wait       float64
	rate       float64
	interval   float64
	slots      float64
}

// estimate blends the newest report with the means, weighted by the report's age, and adds the unreported sends.
func (r *Router) estimate(now time.Time, s *slot, class waxwingpick.Class) estimate {
	weight := 0.0
	if s.hasLoad {
		half := float64(r.settings.loadHalfLife)
		weight = half / (half + max(0, float64(now.Sub(s.loadAt))))
	}
	blended := func(reported, mean float64) float64 {
		return weight*reported + (1-weight)*mean
	}
	e := estimate{
		busy:     blended(float64(s.load.Running+s.load.Queued), r.meanRequests()),
		rate:     r.means.rate,
		interval: r.means.interval,
		slots:    r.means.slots,
	}
	if class == waxwingpick.ClassLong {
		e.prefill = blended(float64(s.load.PrefillTokens), r.means.prefill)
		e.wait = blended(s.load.Wait(class).Seconds(), r.means.longWait)
	} else {
		e.prefill = blended(float64(s.load.QuickPrefillTokens), r.means.quickPrefill)
		e.wait = blended(s.load.Wait(class).Seconds(), r.means.quickWait)
	}
	e.useRates(&s.load)
	if r.settings.countUnreported {
		e.addSends(s, class)
	}
	return e
}

// useRates replaces the mean rates by the target's own, which change slowly, and falls back to defaults where none
// was ever reported.
func (e *estimate) useRates(l *waxwingpick.TargetLoad) {
	if l.PrefillTokensPerSecond > 0 {
		e.rate = l.PrefillTokensPerSecond
	}
	if l.TokenIntervalMicros > 0 {
		e.interval = l.TokenInterval().Seconds()
	}
	if l.Slots > 0 {
		e.slots = float64(l.Slots)
	}
	if e.rate == 0 {
		e.rate = defaultPrefillRate
	}
	if e.interval == 0 {
		e.interval = defaultTokenInterval.Seconds()
	}
	e.slots = max(1, e.slots)
}

func (e *estimate) addSends(s *slot, class waxwingpick.Class) {
	e.unreported = float64(len(s.sends))
	if class == waxwingpick.ClassLong {
		e.prefill += float64(s.unreportedPrefill)
		return
	}
	e.prefill += float64(s.unreportedQuick)
}

// completion predicts the time in seconds until a request with the given tokens is complete.
func (e *estimate) completion(prefill, output int) float64 {
	interval := e.interval * (1 + batchSlowdown*(e.busy+e.unreported)/e.slots)
	serviceTime := (e.prefill+float64(prefill))/e.rate + float64(output)*interval
	over := max(0, e.unreported+1-max(0, e.slots-e.busy))
	return e.wait + serviceTime + over*serviceTime/e.slots
}
